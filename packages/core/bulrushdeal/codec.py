"""Turns typed messages into CBOR or JSON-ready values, and back.

A message is a `NamedTuple` whose fields are scalars, bytes, `None`, other
messages, tuples of these, or mappings from strings to these. In CBOR a
message is an array of its fields, so names cost nothing on the wire; a
field added at the end with a default is understood by older and newer
processes alike. In JSON a message is an object.
"""

import collections.abc
from collections.abc import Callable, Iterable
import functools
import itertools
import types
import typing
from typing import Any, Protocol, TypeVar

import cbor2


class CodecError(Exception):
    """The bytes or values do not have the shape that the message asks."""


class _WrongError(Exception):
    """A value has another shape; knows the way to it from the message.

    Attributes:
        where: The fields and indices on the way.
        problem: What is wrong there.
    """

    def __init__(self, where: str, problem: str) -> None:
        super().__init__(where, problem)
        self.where = where
        self.problem = problem

    def inside(self, outer: str) -> "_WrongError":
        """Returns the same as seen from further out."""
        return _WrongError(outer + self.where, self.problem)


class Message(Protocol):
    """Any `NamedTuple`."""

    _fields: typing.ClassVar[tuple[str, ...]]
    _field_defaults: typing.ClassVar[dict[str, Any]]

    def _asdict(self) -> dict[str, Any]: ...


M = TypeVar("M")
_Builder = Callable[[Any], Any]
_SCALARS = frozenset((str, int, float, bool, bytes, types.NoneType))


def to_array(value: Any) -> Any:
    """Returns `value` with each message in it turned into an array."""
    # Most items are scalars: a call for each, or a test for an abstract
    # type, takes far longer than to look at their types here.
    if isinstance(value, (tuple, list)):
        return [
            item if type(item) in _SCALARS else to_array(item) for item in value
        ]
    if isinstance(value, collections.abc.Mapping):
        return {name: to_array(item) for name, item in value.items()}
    return value


def to_object(value: Any) -> Any:
    """Returns `value` with each message in it turned into an object."""
    if hasattr(value, "_asdict"):
        return {name: to_object(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list | frozenset):
        return [to_object(item) for item in value]
    if isinstance(value, collections.abc.Mapping):
        return {name: to_object(item) for name, item in value.items()}
    return value


def from_plain(kind: type[M], value: Any) -> M:
    """Builds a `kind` from an array or an object, checking each field.

    Args:
        kind: A `NamedTuple` class.
        value: What `to_array` or `to_object` gave, perhaps after a journey.

    Raises:
        CodecError: A field is missing or has another type.
    """
    try:
        return typing.cast(M, _builder(typing.cast(Any, kind))(value))
    except _WrongError as wrong:
        raise CodecError(
            f"{kind.__name__}{wrong.where}: {wrong.problem}"
        ) from None


@functools.cache
def _builder(hint: Any) -> _Builder:
    """Returns what builds values of a type, worked out once for each type."""
    if hint is Any or hint is object:
        return lambda value: value
    if isinstance(hint, type) and hasattr(hint, "_fields"):
        return _message_builder(hint)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin is typing.Union or origin is types.UnionType:
        return _union_builder(arguments)
    if origin is tuple:
        if len(arguments) == 2 and arguments[1] is Ellipsis:  # noqa: PLR2004
            return _array_builder(_builder(arguments[0]))
        return _tuple_builder(tuple(map(_builder, arguments)))
    if origin in (dict, collections.abc.Mapping):
        return _mapping_builder(*map(_builder, arguments))
    if origin is typing.Literal:
        return _literal_builder(arguments)
    if hint is float:
        return _build_float
    return _exact_builder(hint)


def _exact_builder(kind: Any) -> _Builder:
    def build(value: Any) -> Any:
        if type(value) is kind:
            return value
        raise _WrongError("", f"expected {getattr(kind, '__name__', kind)}")

    return build


def _build_float(value: Any) -> Any:
    if type(value) is float:
        return value
    if type(value) is int:
        return float(value)
    raise _WrongError("", "expected float")


def _literal_builder(choices: tuple[Any, ...]) -> _Builder:
    def build(value: Any) -> Any:
        if value in choices:
            return value
        raise _WrongError("", f"{value!r} is not allowed")

    return build


def _message_builder(kind: Any) -> _Builder:
    names: tuple[str, ...] = kind._fields
    hints = typing.get_type_hints(kind)
    builders = tuple(_builder(hints[name]) for name in names)
    least = len(names) - len(kind._field_defaults)

    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            if isinstance(value, collections.abc.Mapping):
                return _build_named(kind, builders, value)
            raise _WrongError("", f"expected {kind.__name__}")
        if len(value) < least:
            raise _WrongError(f".{names[len(value)]}", "missing")
        built: list[Any] = []
        try:
            for builder, item in zip(builders, value, strict=False):
                built.append(builder(item))
        except _WrongError as wrong:
            raise wrong.inside(f".{names[len(built)]}") from None
        return kind(*built)

    return build


def _build_named(kind: Any, builders: tuple[_Builder, ...], value: Any) -> Any:
    built: dict[str, Any] = {}
    for name, builder in zip(kind._fields, builders, strict=True):
        if name not in value:
            if name not in kind._field_defaults:
                raise _WrongError(f".{name}", "missing")
            continue
        try:
            built[name] = builder(value[name])
        except _WrongError as wrong:
            raise wrong.inside(f".{name}") from None
    return kind(**built)


def _union_builder(choices: tuple[Any, ...]) -> _Builder:
    builders = tuple(
        _builder(choice) for choice in choices if choice is not types.NoneType
    )
    has_none = types.NoneType in choices

    def build(value: Any) -> Any:
        if value is None and has_none:
            return None
        problem = _WrongError("", "no choice fits")
        for builder in builders:
            try:
                return builder(value)
            except _WrongError as wrong:
                problem = wrong
        raise problem

    return build


def _array_builder(builder: _Builder) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise _WrongError("", "expected an array")
        return tuple(_build_items(itertools.repeat(builder), value))

    return build


def _tuple_builder(builders: tuple[_Builder, ...]) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise _WrongError("", "expected an array")
        if len(value) != len(builders):
            raise _WrongError("", f"expected {len(builders)} items")
        return tuple(_build_items(builders, value))

    return build


def _build_items(builders: Iterable[_Builder], value: Any) -> list[Any]:
    built: list[Any] = []
    try:
        for builder, item in zip(builders, value, strict=False):
            built.append(builder(item))
    except _WrongError as wrong:
        raise wrong.inside(f"[{len(built)}]") from None
    return built


def _mapping_builder(build_name: _Builder, build_item: _Builder) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, collections.abc.Mapping):
            raise _WrongError("", "expected an object")
        built: dict[Any, Any] = {}
        for name, item in value.items():
            key = build_name(name)
            try:
                built[key] = build_item(item)
            except _WrongError as wrong:
                raise wrong.inside(f".{name}") from None
        return built

    return build


def pack(message: Any) -> bytes:
    """Returns one message as CBOR: its type's name and its fields."""
    return cbor2.dumps([type(message).__name__, to_array(message)])


class Registry:
    """Knows the message types that may arrive, by name."""

    def __init__(self) -> None:
        self._kinds: dict[str, type] = {}

    def add(self, *kinds: type) -> None:
        """Lets messages of these `NamedTuple` types be unpacked."""
        for kind in kinds:
            self._kinds[kind.__name__] = kind

    def unpack(self, data: bytes) -> Any:
        """Returns the message in `data`.

        Raises:
            CodecError: Not CBOR, an unknown type, or a wrong field.
        """
        try:
            name, fields = cbor2.loads(data)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise CodecError(f"not a message: {error}") from error
        kind = self._kinds.get(name)
        if kind is None:
            raise CodecError(f"unknown message {name!r}")
        return from_plain(kind, fields)

"""Encodes typed messages as CBOR or JSON-ready values and decodes them.

A message is a `NamedTuple` whose fields are scalars, bytes, `None`, other
messages, tuples of these, or mappings from strings to these. In CBOR a
message is an array of its fields, so field names take no bytes on the wire.
A field added at the end with a default keeps old and new processes
compatible: a missing field gets its default and an extra one is ignored. In
JSON a message is an object.
"""

import collections.abc
from collections.abc import Callable, Iterable
import functools
import itertools
import types
import typing
from typing import Any, Protocol, TypeVar

import cbor2

# Ids and counters have up to 64 bits.
_MAX_INT = 2**64


class CodecError(Exception):
    """The bytes or values do not match the fields of the message type."""


class _MismatchError(Exception):
    """A value does not match its type hint.

    Attributes:
        path: The fields and indices that lead to the value, such as
            `.rows[0].name`.
        problem: What is wrong with the value.
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(path, problem)
        self.path = path
        self.problem = problem

    def prefixed(self, prefix: str) -> "_MismatchError":
        """Returns the same error with a field or index before its path."""
        return _MismatchError(prefix + self.path, self.problem)


class Message(Protocol):
    """The type of any `NamedTuple` instance."""

    _fields: typing.ClassVar[tuple[str, ...]]
    _field_defaults: typing.ClassVar[dict[str, Any]]

    def _asdict(self) -> dict[str, Any]: ...


M = TypeVar("M")
_Builder = Callable[[Any], Any]
_SCALARS = frozenset((str, int, float, bool, bytes, types.NoneType))


def to_array(value: Any) -> Any:
    """Returns `value` with each message in it turned into an array."""
    # Most items are scalars. Checking their type here is much faster than a
    # call for each of them or an `isinstance` check on an abstract class.
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
        value: A result of `to_array` or `to_object`, possibly decoded from
            CBOR or JSON.

    Raises:
        CodecError: A field is missing or has the wrong type.
    """
    try:
        return typing.cast(M, _builder(typing.cast(Any, kind))(value))
    except _MismatchError as mismatch:
        raise CodecError(
            f"{kind.__name__}{mismatch.path}: {mismatch.problem}"
        ) from None


@functools.cache
def _builder(hint: Any) -> _Builder:
    """Returns the function that checks and builds values of a type hint."""
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
    if hint is int:
        return _build_int
    return _exact_builder(hint)


def _exact_builder(kind: Any) -> _Builder:
    def build(value: Any) -> Any:
        if type(value) is kind:
            return value
        raise _MismatchError("", f"expected {getattr(kind, '__name__', kind)}")

    return build


def _build_int(value: Any) -> Any:
    if type(value) is not int:
        raise _MismatchError("", "expected int")
    # A number of any length makes divisions and conversions fail.
    if abs(value) > _MAX_INT:
        raise _MismatchError("", "out of range")
    return value


def _build_float(value: Any) -> Any:
    if type(value) is float:
        return value
    if type(value) is int:
        return float(_build_int(value))
    raise _MismatchError("", "expected float")


def _literal_builder(choices: tuple[Any, ...]) -> _Builder:
    def build(value: Any) -> Any:
        if value in choices:
            return value
        raise _MismatchError("", f"{value!r} is not allowed")

    return build


def _message_builder(kind: Any) -> _Builder:
    names: tuple[str, ...] = kind._fields
    hints = typing.get_type_hints(kind)
    builders = tuple(_builder(hints[name]) for name in names)
    required_count = len(names) - len(kind._field_defaults)

    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            if isinstance(value, collections.abc.Mapping):
                return _build_named(kind, builders, value)
            raise _MismatchError("", f"expected {kind.__name__}")
        if len(value) < required_count:
            raise _MismatchError(f".{names[len(value)]}", "missing")
        built: list[Any] = []
        try:
            for builder, item in zip(builders, value, strict=False):
                built.append(builder(item))
        except _MismatchError as mismatch:
            raise mismatch.prefixed(f".{names[len(built)]}") from None
        return kind(*built)

    return build


def _build_named(kind: Any, builders: tuple[_Builder, ...], value: Any) -> Any:
    built: dict[str, Any] = {}
    for name, builder in zip(kind._fields, builders, strict=True):
        if name not in value:
            if name not in kind._field_defaults:
                raise _MismatchError(f".{name}", "missing")
            continue
        try:
            built[name] = builder(value[name])
        except _MismatchError as mismatch:
            raise mismatch.prefixed(f".{name}") from None
    return kind(**built)


def _union_builder(choices: tuple[Any, ...]) -> _Builder:
    builders = tuple(
        _builder(choice) for choice in choices if choice is not types.NoneType
    )
    has_none = types.NoneType in choices

    def build(value: Any) -> Any:
        if value is None and has_none:
            return None
        problem = _MismatchError("", "no choice fits")
        for builder in builders:
            try:
                return builder(value)
            except _MismatchError as mismatch:
                problem = mismatch
        raise problem

    return build


def _array_builder(builder: _Builder) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise _MismatchError("", "expected an array")
        return tuple(_build_items(itertools.repeat(builder), value))

    return build


def _tuple_builder(builders: tuple[_Builder, ...]) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, (list, tuple)):
            raise _MismatchError("", "expected an array")
        if len(value) != len(builders):
            raise _MismatchError("", f"expected {len(builders)} items")
        return tuple(_build_items(builders, value))

    return build


def _build_items(builders: Iterable[_Builder], value: Any) -> list[Any]:
    built: list[Any] = []
    try:
        for builder, item in zip(builders, value, strict=False):
            built.append(builder(item))
    except _MismatchError as mismatch:
        raise mismatch.prefixed(f"[{len(built)}]") from None
    return built


def _mapping_builder(build_name: _Builder, build_item: _Builder) -> _Builder:
    def build(value: Any) -> Any:
        if not isinstance(value, collections.abc.Mapping):
            raise _MismatchError("", "expected an object")
        built: dict[Any, Any] = {}
        for name, item in value.items():
            key = build_name(name)
            try:
                built[key] = build_item(item)
            except _MismatchError as mismatch:
                raise mismatch.prefixed(f".{name}") from None
        return built

    return build


def pack(message: Any) -> bytes:
    """Returns a message as CBOR: an array of its class name and its fields."""
    return cbor2.dumps([type(message).__name__, to_array(message)])


class Registry:
    """Holds the message types that can be unpacked, by class name."""

    def __init__(self) -> None:
        self._kinds: dict[str, type] = {}

    def add(self, *kinds: type) -> None:
        """Registers `NamedTuple` classes whose messages may be unpacked."""
        for kind in kinds:
            self._kinds[kind.__name__] = kind

    def unpack(self, data: bytes) -> Any:
        """Decodes one packed message.

        Raises:
            CodecError: The data is not valid CBOR, the message type is not
                registered, or a field does not match.
        """
        try:
            name, fields = cbor2.loads(data)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            raise CodecError(f"not a message: {error}") from error
        kind = self._kinds.get(name)
        if kind is None:
            raise CodecError(f"unknown message {name!r}")
        return from_plain(kind, fields)

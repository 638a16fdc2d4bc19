"""Turns typed messages into CBOR or JSON-ready values, and back.

A message is a `NamedTuple` whose fields are scalars, bytes, `None`, other
messages, tuples of these, or mappings from strings to these. In CBOR a
message is an array of its fields, so names cost nothing on the wire; a
field added at the end with a default is understood by older and newer
processes alike. In JSON a message is an object.
"""

import collections.abc
import functools
import types
import typing
from typing import Any, Protocol, TypeVar

import cbor2


class CodecError(Exception):
    """The bytes or values do not have the shape that the message asks."""


class Message(Protocol):
    """Any `NamedTuple`."""

    _fields: typing.ClassVar[tuple[str, ...]]
    _field_defaults: typing.ClassVar[dict[str, Any]]

    def _asdict(self) -> dict[str, Any]: ...


M = TypeVar("M")


def to_array(value: Any) -> Any:
    """Returns `value` with each message in it turned into an array."""
    if isinstance(value, tuple | list):
        return [to_array(item) for item in value]
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


@functools.cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


def from_plain(kind: type[M], value: Any) -> M:
    """Builds a `kind` from an array or an object, checking each field.

    Args:
        kind: A `NamedTuple` class.
        value: What `to_array` or `to_object` gave, perhaps after a journey.

    Raises:
        CodecError: A field is missing or has another type.
    """
    return typing.cast(M, _build(kind, value, kind.__name__))


def _build(hint: Any, value: Any, where: str) -> Any:
    if hint is Any or hint is object:
        return value
    if isinstance(hint, type) and hasattr(hint, "_fields"):
        return _build_message(hint, value, where)
    origin = typing.get_origin(hint)
    if origin is typing.Union or origin is types.UnionType:
        return _build_union(hint, value, where)
    if origin is tuple:
        return _build_tuple(typing.get_args(hint), value, where)
    if origin in (dict, collections.abc.Mapping):
        return _build_mapping(typing.get_args(hint), value, where)
    if origin is typing.Literal:
        if value in typing.get_args(hint):
            return value
        raise CodecError(f"{where}: {value!r} is not allowed")
    if hint is float and type(value) is int:
        return float(value)
    if type(value) is hint:
        return value
    raise CodecError(f"{where}: expected {getattr(hint, '__name__', hint)}")


def _build_message(kind: Any, value: Any, where: str) -> Any:
    hints = _hints(kind)
    names: tuple[str, ...] = kind._fields
    if isinstance(value, collections.abc.Mapping):
        given = {name: value[name] for name in names if name in value}
    elif isinstance(value, list | tuple):
        given = dict(zip(names, value, strict=False))
    else:
        raise CodecError(f"{where}: expected {kind.__name__}")
    for name in names:
        if name not in given and name not in kind._field_defaults:
            raise CodecError(f"{where}.{name}: missing")
    built = {
        name: _build(hints[name], item, f"{where}.{name}")
        for name, item in given.items()
    }
    return kind(**built)


def _build_union(hint: Any, value: Any, where: str) -> Any:
    choices = typing.get_args(hint)
    if value is None and types.NoneType in choices:
        return None
    problem = CodecError(f"{where}: no choice fits")
    for choice in choices:
        if choice is types.NoneType:
            continue
        try:
            return _build(choice, value, where)
        except CodecError as error:
            problem = error
    raise problem


def _build_tuple(choices: tuple[Any, ...], value: Any, where: str) -> Any:
    if not isinstance(value, list | tuple):
        raise CodecError(f"{where}: expected an array")
    if len(choices) == 2 and choices[1] is Ellipsis:  # noqa: PLR2004
        return tuple(
            _build(choices[0], item, f"{where}[{index}]")
            for index, item in enumerate(value)
        )
    if len(value) != len(choices):
        raise CodecError(f"{where}: expected {len(choices)} items")
    return tuple(
        _build(choice, item, f"{where}[{index}]")
        for index, (choice, item) in enumerate(zip(choices, value, strict=True))
    )


def _build_mapping(choices: tuple[Any, ...], value: Any, where: str) -> Any:
    if not isinstance(value, collections.abc.Mapping):
        raise CodecError(f"{where}: expected an object")
    return {
        _build(choices[0], name, where): _build(
            choices[1], item, f"{where}.{name}"
        )
        for name, item in value.items()
    }


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

"""Network addresses as text, `HOST:PORT`."""

import re
from typing import NamedTuple

_MAX_PORT = 65535
# `int` takes digits of all scripts, signs, spaces and underscores as well.
_PORT = re.compile(r"[0-9]{1,5}")


class AddressError(ValueError):
    """A text is no address, or its port is out of range."""


class Address(NamedTuple):
    """A host and a port, as sockets take them."""

    host: str
    port: int


def parse(text: str, min_port: int = 0) -> Address:
    """Decodes `HOST:PORT`.

    Sockets raise errors of other types for ports that are too large, and take
    some of those for other ports.

    Args:
        text: The address.
        min_port: The smallest port; 0 stands for any free one.

    Raises:
        AddressError: The text has no host or no port in range.
    """
    host, _, digits = text.rpartition(":")
    if not host or not _PORT.fullmatch(digits):
        raise AddressError(f"{text[:100]!r} is not HOST:PORT")
    port = int(digits)
    if not min_port <= port <= _MAX_PORT:
        raise AddressError(f"the port of {text[:100]!r} is out of range")
    return Address(host, port)

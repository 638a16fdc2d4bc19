"""Fixtures of stand-ins."""

from collections.abc import Iterator

import pytest

from standins import plain


@pytest.fixture
def booking() -> Iterator[plain.PlainService]:
    server = plain.PlainService()
    server.start()
    yield server
    server.stop()

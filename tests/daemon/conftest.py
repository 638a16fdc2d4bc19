"""Fixtures shared by the daemon's tests."""

from collections.abc import Iterator
import pathlib

import pytest

from bulrushdeald import batchrecords
from standins import plain
from support import batchfakes
from support import batchscene


@pytest.fixture
def booking() -> Iterator[plain.PlainService]:
    """A running plain service that stands in for a booking service."""
    server = plain.PlainService()
    server.start()
    yield server
    server.stop()


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> Iterator[batchfakes.Fleet]:
    """Three VMs that split input files into chunks of two items."""
    monkeypatch.setattr(batchrecords, "MAX_CHUNK_ITEMS", 2)
    yield batchscene.make(tmp_path)

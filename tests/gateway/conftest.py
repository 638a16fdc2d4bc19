"""Fixtures for tests that run whole gateways."""

from collections.abc import Iterator
import logging

import pytest

from support import gatewayscene


@pytest.fixture
def scene() -> Iterator[gatewayscene.Scene]:
    created = gatewayscene.Scene()
    yield created
    created.close()


def _append_fields(record: logging.LogRecord) -> bool:
    """Adds the event fields to the log that pytest prints on a failure."""
    record.msg = f"{record.msg} {getattr(record, 'fields', {})}"
    return True


@pytest.fixture(autouse=True)
def events_with_fields(request: pytest.FixtureRequest) -> Iterator[None]:
    logger = logging.getLogger("bulrushdeal.events")
    if "scene" in request.fixturenames:
        logger.addFilter(_append_fields)
    yield
    logger.removeFilter(_append_fields)

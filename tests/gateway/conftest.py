"""Scenes of whole gateways."""

from collections.abc import Iterator
import logging

import pytest

from support import gatewayscene


@pytest.fixture
def scene() -> Iterator[gatewayscene.Scene]:
    made = gatewayscene.Scene()
    yield made
    made.close()


def _with_fields(record: logging.LogRecord) -> bool:
    """Lets what pytest prints of a failing test tell what decided."""
    record.msg = f"{record.msg} {getattr(record, 'fields', {})}"
    return True


@pytest.fixture(autouse=True)
def events_with_fields(request: pytest.FixtureRequest) -> Iterator[None]:
    logger = logging.getLogger("bulrushdeal.events")
    if "scene" in request.fixturenames:
        logger.addFilter(_with_fields)
    yield
    logger.removeFilter(_with_fields)

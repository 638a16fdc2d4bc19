"""Decodes JSON that other systems write."""

import json
from typing import Any


def parse(data: str | bytes) -> Any:
    """Decodes a JSON text.

    Raises:
        ValueError: The text is not JSON, or is nested too deeply.
    """
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error

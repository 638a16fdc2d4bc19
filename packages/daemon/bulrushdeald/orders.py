"""Parses requests to create batch jobs and derives the jobs' IDs."""

from collections.abc import Mapping
import hashlib
import json
import re
import secrets
from typing import Any, NamedTuple

import result

from bulrushdeal import jsontext
from bulrushdeald import batchrecords
from bulrushdeald import refusals
from bulrushdeald import services

MAX_BODY_BYTES = 64 * 1024
_MAX_METADATA_PAIRS = 16
_WINDOW = re.compile(r"^([1-9][0-9]{0,3})([hm])$")
_UNIT_S = {"h": 3600.0, "m": 60.0}


class JobRequest(NamedTuple):
    """A validated request to create a job.

    Attributes:
        input_file: The ID of the input file.
        path: The API path that each item calls.
        window: The completion window as the caller wrote it, such as `24h`.
        window_s: The completion window in seconds.
        metadata: The caller's own key-value pairs.
    """

    input_file: str
    path: str
    window: str
    window_s: float
    metadata: Mapping[str, str]


def job_id(customer: str, key: str) -> str:
    """Returns a new job's ID; equal for equal non-empty idempotency keys."""
    tag = batchrecords.customer_tag(customer)
    if not key:
        return f"batch_{tag}{secrets.token_hex(12)}"
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return f"batch_{tag}{digest[:24]}"


def digest(job_request: JobRequest, file: batchrecords.FileRecord) -> str:
    """Returns a hash that is equal for a request that is sent again."""
    # The hash covers the file's content and not its ID: a client that lost
    # the responses to upload and request uploads the file again, gets
    # another ID and still requests the same job.
    parts = [
        file.digest,
        job_request.path,
        job_request.window,
        dict(job_request.metadata),
    ]
    text = json.dumps(parts, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def parse(body: bytes) -> result.Result[JobRequest, services.Refusal]:
    """Parses and validates the body of a request to create a job."""
    if len(body) > MAX_BODY_BYTES:
        return result.Err(
            services.Refusal(413, "too_large", "The request is too large.")
        )
    try:
        value = jsontext.parse(body)
    except ValueError as error:
        return result.Err(refusals.bad_input(f"The body is not JSON: {error}"))
    if not isinstance(value, dict):
        return result.Err(refusals.bad_input("The body is not an object."))
    for field in ("input_file_id", "endpoint"):
        if not isinstance(value.get(field), str) or not value[field]:
            message = f"{field} is required."
            return result.Err(refusals.bad_input(message, field))
    window = _WINDOW.match(str(value.get("completion_window")))
    if window is None:
        message = "A duration such as 24h or 90m is required."
        return result.Err(refusals.bad_input(message, "completion_window"))
    metadata = value.get("metadata") or {}
    if not _is_valid_metadata(metadata):
        message = f"At most {_MAX_METADATA_PAIRS} pairs of strings are allowed."
        return result.Err(refusals.bad_input(message, "metadata"))
    window_s = int(window.group(1)) * _UNIT_S[window.group(2)]
    return result.Ok(
        JobRequest(
            value["input_file_id"],
            value["endpoint"],
            window.group(0),
            window_s,
            metadata,
        )
    )


def _is_valid_metadata(metadata: Any) -> bool:
    if not isinstance(metadata, dict) or len(metadata) > _MAX_METADATA_PAIRS:
        return False
    return all(isinstance(value, str) for value in metadata.values())

"""Builds the result lines of batch items and reads files from the stores."""

from collections.abc import Iterator
import json
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import logs
from bulrushdeald import batchrecords
from bulrushdeald import objects
from bulrushdeald import refusals
from bulrushdeald import replicas
from bulrushdeald import services

_log = logs.Log("results")

_OUTPUT = "-output"
_ERRORS = "-errors"
_RETRY_AFTER_S = 10.0
_FIRST_ERROR_STATUS = 400
# Longer than the first pauses between two connection attempts to a peer.
_RETRY_READS_FOR_S = 1.0
_READ_RETRY_PAUSE_S = 0.05
Part = Literal["output", "errors"]


class File(NamedTuple):
    """A file for a caller to download.

    Attributes:
        description: The file object of the API, as client libraries expect it.
        size_bytes: The length of the content.
        pieces: Yields the content; raises ConnectionError if a part of it
            cannot be read.
    """

    description: dict[str, Any]
    size_bytes: int
    pieces: Iterator[bytes]


class Line(NamedTuple):
    """The result line of one item.

    Attributes:
        data: JSON without a trailing newline.
        is_success: Whether the line goes to the output file or, if not, to the
            error file.
    """

    data: bytes
    is_success: bool


def answer_line(
    job: str, custom_id: str, number: int, status: int, body: Any
) -> Line:
    """Returns the result line of an item that an upstream answered."""
    value = {
        "id": f"{job}-{number}",
        "custom_id": custom_id,
        "response": {
            "status_code": status,
            "request_id": f"{job}-{number}",
            "body": body,
        },
        "error": None,
    }
    return Line(_encode(value), status < _FIRST_ERROR_STATUS)


def error_line(
    job: str, custom_id: str, number: int, refusal: services.Refusal
) -> Line:
    """Returns the result line of an item that failed for good."""
    value = {
        "id": f"{job}-{number}",
        "custom_id": custom_id,
        "response": None,
        "error": {
            "code": refusal.code,
            "message": refusal.message,
            "ran": refusal.ran,
        },
    }
    return Line(_encode(value), False)


def _encode(value: dict[str, Any]) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def output_file(job: str) -> str:
    """Returns the ID of a job's output file, with the items that succeeded."""
    return f"file-{job}{_OUTPUT}"


def error_file(job: str) -> str:
    """Returns the ID of a job's error file, with the items that failed."""
    return f"file-{job}{_ERRORS}"


def job_of(file: str) -> str:
    """Returns the job of a result file; empty if `file` is not one."""
    for suffix in (_OUTPUT, _ERRORS):
        job = file.removeprefix("file-").removesuffix(suffix)
        if file == f"file-{job}{suffix}" and batchrecords.is_job(job):
            return job
    return ""


class Reader:
    """Reads input and result files from the bulk stores."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        stores: replicas.Replicas,
        clock: clock_lib.Clock,
    ) -> None:
        self._keyvalue = keyvalue
        self._replicas = stores
        self._clock = clock

    def input_file(
        self, record: batchrecords.FileRecord, description: dict[str, Any]
    ) -> result.Result[File, services.Refusal]:
        """Returns an input file.

        Args:
            record: The file's record.
            description: The file object to return with the content.
        """
        index = self._read_index(batchrecords.FileIndex, record.index_ref)
        if isinstance(index, result.Err):
            return index
        refs = [chunk.ref for chunk in index.ok_value.chunks]
        size = sum(ref.size_bytes for ref in refs)
        pieces = (self._read_or_abort(ref) for ref in refs)
        return result.Ok(File(description, size, pieces))

    def result_file(
        self, file: str, job: str, customer: str
    ) -> result.Result[File, services.Refusal]:
        """Returns a result file of a job that has ended.

        The file counts as missing if the job is another customer's or has
        not ended.
        """
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return result.Err(_unavailable("The platform does not answer."))
        missing = refusals.not_found(f"No file {file}.")
        if entry.ok_value is None:
            return result.Err(missing)
        record = batchrecords.load(batchrecords.JobRecord, entry.ok_value.value)
        if record.customer != customer or record.results is None:
            return result.Err(missing)
        index = self._read_index(batchrecords.ResultIndex, record.results)
        if isinstance(index, result.Err):
            return index
        part: Part = "output" if file.endswith(_OUTPUT) else "errors"
        return result.Ok(
            self._result_file_of(file, part, record, index.ok_value)
        )

    def _result_file_of(
        self,
        file: str,
        part: Part,
        record: batchrecords.JobRecord,
        index: batchrecords.ResultIndex,
    ) -> File:
        size = sum(_part_size_bytes(chunk, part) for chunk in index.chunks)
        description = {
            "id": file,
            "object": "file",
            "bytes": size,
            "created_at": int(record.ended_wall_s),
            "filename": f"{file}.jsonl",
            "purpose": "batch_output",
            "status": "processed",
        }
        pieces = (
            self._read_part(chunk, part)
            for chunk in index.chunks
            if _part_size_bytes(chunk, part)
        )
        return File(description, size, pieces)

    def _read_part(self, chunk: batchrecords.ChunkResult, part: Part) -> bytes:
        data = self._read_or_abort(chunk.ref)
        if part == "output":
            return data[: chunk.output_bytes]
        return data[chunk.output_bytes :]

    def _read_index(
        self, kind: type[batchrecords.M], ref: objects.ObjectRef
    ) -> result.Result[batchrecords.M, services.Refusal]:
        data = self._get_with_retries(ref)
        if isinstance(data, result.Err):
            return result.Err(
                _unavailable("No store that has the file answers.")
            )
        return result.Ok(batchrecords.load(kind, data.ok_value))

    def _read_or_abort(self, ref: objects.ObjectRef) -> bytes:
        data = self._get_with_retries(ref)
        if isinstance(data, result.Err):
            # The response head was sent already. Closing the connection
            # before Content-Length bytes shows the client that the file is
            # incomplete.
            raise ConnectionError(f"{ref.name} could not be read")
        return data.ok_value

    def _get_with_retries(
        self, ref: objects.ObjectRef
    ) -> result.Result[bytes, services.StoreError]:
        """Reads an object, with retries for about a second.

        After a pause of this VM, its connections to all stores are closed,
        and the first read of an intact object fails at once. Reads are
        idempotent, and new connections are open within a fraction of a
        second.
        """
        retry_until_s = self._clock.monotonic_s() + _RETRY_READS_FOR_S
        while True:
            data = self._replicas.get(ref)
            is_final = data.is_ok() or data.unwrap_err().kind == "missing"
            if is_final or self._clock.monotonic_s() >= retry_until_s:
                return data
            self._clock.sleep_s(_READ_RETRY_PAUSE_S)


def _part_size_bytes(chunk: batchrecords.ChunkResult, part: Part) -> int:
    if part == "output":
        return chunk.output_bytes
    return chunk.ref.size_bytes - chunk.output_bytes


def _unavailable(message: str) -> services.Refusal:
    return services.Refusal(
        503, "unavailable", message, "not_run", _RETRY_AFTER_S
    )

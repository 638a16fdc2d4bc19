"""HTTP routes to upload input files and download result files."""

from collections.abc import Iterator
import hashlib
import secrets
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchrecords
from bulrushdeald import bodies
from bulrushdeald import defaults
from bulrushdeald import multipart
from bulrushdeald import refusals
from bulrushdeald import replicas
from bulrushdeald import results
from bulrushdeald import retention
from bulrushdeald import services
from bulrushdeald import splitter

_log = logs.Log("files")

NAME = "files"
PATH = "/v1/files"
_RETRY_AFTER_S = 10.0
_MAX_FILENAME_LENGTH = 256


class Files:
    """Accepts input files of batch jobs and serves input and result files."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._retention_s = settings.batch_retention_s
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._accepted = 0
        self._refused = 0

    def start(self) -> None:
        """Registers the callers' routes."""
        self._keyvalue = self._kernel.find(services.KEYVALUE, services.KeyValue)
        self._replicas = self._kernel.find(replicas.NAME, replicas.Replicas)
        self._results = results.Reader(
            self._keyvalue, self._replicas, self._clock
        )
        self._retention = retention.Retention(
            self._keyvalue, self._clock, self._retention_s
        )
        self._limits = self._kernel.find(services.LIMITS, services.Limits)
        routes = self._kernel.find(services.CALLERS, services.CallerRoutes)
        routes.route("POST", PATH, self._post, bulk=True)
        routes.route("GET", PATH + "/", self._get, bulk=True)

    def stop(self, grace_s: float) -> None:
        """Does nothing: an upload that is cut off was not acknowledged."""
        del grace_s

    def dump(self) -> Any:
        """Returns the counts of accepted and refused uploads since start."""
        return {"accepted": self._accepted, "refused": self._refused}

    def _post(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        customer = principal.customer.customer
        taken = self._limits.take(customer)
        if isinstance(taken, result.Err):
            self._refused += 1
            return refusals.response(taken.err_value)
        key = request.headers.get("idempotency-key", "")
        accepted = self._accept(request, customer, key)
        if isinstance(accepted, result.Err):
            self._refused += 1
            return refusals.response(accepted.err_value)
        self._accepted += 1
        return httpd.json_response(200, describe(accepted.ok_value))

    def _accept(
        self, request: httpd.Request, customer: str, key: str
    ) -> result.Result[batchrecords.FileRecord, services.Refusal]:
        purpose = ""
        stored: batchrecords.FileRecord | None = None
        file = file_id(customer, key)
        try:
            content_type = request.headers.get("content-type", "")
            for part in multipart.Reader(request.body, content_type).parts():
                if part.name == "purpose":
                    purpose = b"".join(part.body).decode(errors="replace")
                elif part.name == "file" and stored is None:
                    stored = self._store(part, file, customer)
        except multipart.MultipartError as error:
            return result.Err(bodies.refusal_of(request, str(error)))
        except splitter.SplitError as error:
            return result.Err(error.refusal)
        except _StoreFailedError as error:
            _log.warning("A file was refused: %s.", error)
            return result.Err(_unavailable("The file could not be stored."))
        if purpose != "batch":
            return result.Err(
                refusals.bad_input("The purpose must be batch.", "purpose")
            )
        if stored is None:
            return result.Err(refusals.bad_input("A file is required.", "file"))
        return self._save(stored)

    def _store(
        self, part: multipart.Part, file: str, customer: str
    ) -> batchrecords.FileRecord:
        # Each attempt has its own object names, so that two concurrent
        # uploads of one file do not mix their chunks.
        attempt = f"{file}/{secrets.token_hex(6)}"
        split = splitter.Splitter()
        chunks: list[batchrecords.ChunkInput] = []
        for chunk in split.chunks(part.body):
            ref = self._replicas.put(f"{attempt}.{len(chunks)}", chunk.data)
            if isinstance(ref, result.Err):
                raise _StoreFailedError(ref.err_value.message)
            chunks.append(batchrecords.ChunkInput(ref.ok_value, chunk.items))
        index = batchrecords.FileIndex(tuple(chunks))
        put = self._replicas.put(f"{attempt}.index", batchrecords.dump(index))
        if isinstance(put, result.Err):
            raise _StoreFailedError(put.err_value.message)
        return batchrecords.FileRecord(
            file,
            customer,
            part.filename[:_MAX_FILENAME_LENGTH],
            split.size_bytes,
            split.items,
            len(chunks),
            split.digest,
            tuple(sorted(split.paths)),
            tuple(sorted(split.models)),
            self._clock.wall_s(),
            put.ok_value,
        )

    def _save(
        self, record: batchrecords.FileRecord
    ) -> result.Result[batchrecords.FileRecord, services.Refusal]:
        put = self._keyvalue.put(
            batchrecords.file_key(record.file), batchrecords.dump(record), 0
        )
        if isinstance(put, result.Ok):
            # If this write is lost, the small record is never deleted. The
            # file itself still expires in the stores.
            key = batchrecords.file_key(record.file)
            self._retention.add(record.customer, record.file, key)
            return result.Ok(record)
        current = put.err_value.current
        if put.err_value.kind == "unknown":
            message = "The platform did not confirm that it recorded the file."
            return result.Err(_unavailable(message, "unknown"))
        if put.err_value.kind != "conflict" or current is None:
            return result.Err(_unavailable("The platform does not answer."))
        stored_record = batchrecords.load(
            batchrecords.FileRecord, current.value
        )
        if stored_record.digest != record.digest:
            return result.Err(
                services.Refusal(
                    422,
                    "idempotency_key_reused",
                    "The idempotency key was used for another file.",
                )
            )
        return result.Ok(stored_record)

    def _get(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        name, _, rest = request.path[len(PATH) + 1 :].partition("/")
        if rest not in ("", "content"):
            return refusals.response(refusals.not_found("No such path."))
        customer = principal.customer.customer
        job = results.job_of(name)
        if job:
            found = self._results.result_file(name, job, customer)
        else:
            found = self._input_file(name, customer)
        if isinstance(found, result.Err):
            return refusals.response(found.err_value)
        if rest == "":
            return httpd.json_response(200, found.ok_value.description)
        return _content_response(found.ok_value)

    def _input_file(
        self, file: str, customer: str
    ) -> result.Result[results.File, services.Refusal]:
        record = read_file(self._keyvalue, file, customer)
        if isinstance(record, result.Err):
            return record
        return self._results.input_file(
            record.ok_value, describe(record.ok_value)
        )


class _StoreFailedError(Exception):
    """The bulk stores did not accept an object."""


def read_file(
    keyvalue: services.KeyValue, file: str, customer: str
) -> result.Result[batchrecords.FileRecord, services.Refusal]:
    """Returns the record of a customer's file.

    Another customer's file is refused as not found.
    """
    if not batchrecords.is_file(file):
        return result.Err(refusals.not_found(f"No file {file}."))
    entry = keyvalue.get(batchrecords.file_key(file))
    if isinstance(entry, result.Err):
        return result.Err(_unavailable("The platform does not answer."))
    if entry.ok_value is None:
        return result.Err(refusals.not_found(f"No file {file}."))
    try:
        record = batchrecords.load(
            batchrecords.FileRecord, entry.ok_value.value
        )
    except codec.CodecError as error:
        _log.error("File %s has an unreadable record: %s.", file, error)
        return result.Err(refusals.not_found(f"No file {file}."))
    if record.customer != customer:
        return result.Err(refusals.not_found(f"No file {file}."))
    return result.Ok(record)


def file_id(customer: str, key: str) -> str:
    """Returns a new file's ID; equal for equal non-empty idempotency keys."""
    tag = batchrecords.customer_tag(customer)
    if not key:
        return f"file-{tag}{secrets.token_hex(12)}"
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return f"file-{tag}{digest[:24]}"


def describe(record: batchrecords.FileRecord) -> dict[str, Any]:
    """Returns the file object of the API, as client libraries expect it."""
    return {
        "id": record.file,
        "object": "file",
        "bytes": record.size_bytes,
        "created_at": int(record.created_wall_s),
        "filename": record.filename,
        "purpose": "batch",
        "status": "processed",
    }


def _content_response(file: results.File) -> httpd.Response:
    headers = (
        ("Content-Type", "application/jsonl"),
        ("Content-Length", str(file.size_bytes)),
    )
    return httpd.Response(200, headers, _yield_pieces(file.pieces))


def _yield_pieces(pieces: Iterator[bytes]) -> Iterator[bytes]:
    yield from pieces


def _unavailable(
    message: str, ran: services.ExecutionStatus = "not_run"
) -> services.Refusal:
    return services.Refusal(503, "unavailable", message, ran, _RETRY_AFTER_S)

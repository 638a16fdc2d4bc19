"""Batch jobs as callers and operators see them."""

from collections.abc import Mapping
import hashlib
import json
import re
import secrets
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import coordinators
from bulrushdeald import defaults
from bulrushdeald import files
from bulrushdeald import jobviews
from bulrushdeald import refusals
from bulrushdeald import services

_log = logs.Log("jobs")

PATH = "/v1/batches"
OPERATORS_PATH = "/v1/jobs"
_MAX_BODY_BYTES = 64 * 1024
_MAX_METADATA = 16
_CALL_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 10.0
_CANCEL_TRIES = 5
# Well below the age at which `finishing` drops an entry without a job.
_ENTRY_FRESH_S = 300.0
_WINDOW = re.compile(r"^([1-9][0-9]{0,3})([hm])$")
_UNIT_S = {"h": 3600.0, "m": 60.0}


class Order(NamedTuple):
    """A checked request for a job."""

    input_file: str
    path: str
    window: str
    window_s: float
    metadata: Mapping[str, str]


class Jobs:
    """Accepts, shows and cancels batch jobs."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        del settings
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._accepted = 0
        self._refused = 0

    def start(self) -> None:
        """Adds the callers' and the operators' routes."""
        find = self._kernel.find
        self._keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._peers = find(services.PEERS, services.Peers)
        self._limits = find(services.LIMITS, services.Limits)
        membership = find(services.MEMBERSHIP, services.Membership)
        self._coordinators = coordinators.Coordinators(membership, self._clock)
        self._peers.understand(*batchmessages.ANSWERS)
        callers = find(services.CALLERS, services.CallerRoutes)
        callers.route("POST", PATH, self._post, bulk=True)
        callers.route("GET", PATH, self._list, bulk=True)
        callers.route("GET", PATH + "/", self._get, bulk=True)
        callers.route("POST", PATH + "/", self._post_cancel, bulk=True)
        operators = find(services.OPERATORS, services.OperatorRoutes)
        operators.route("GET", OPERATORS_PATH, self._operators_list)
        operators.route("GET", OPERATORS_PATH + "/", self._operators_get)
        operators.route("POST", OPERATORS_PATH + "/", self._operators_cancel)

    def stop(self, grace_s: float) -> None:
        """Has nothing to end: accepted jobs are in the platform's service."""
        del grace_s

    def dump(self) -> Any:
        """Returns counts since the start."""
        return {"accepted": self._accepted, "refused": self._refused}

    # Accepting a job.

    def _post(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        accepted = self._accept(request, principal.customer.customer)
        if isinstance(accepted, result.Err):
            self._refused += 1
            return refusals.response(accepted.err_value)
        self._accepted += 1
        return httpd.json_response(200, accepted.ok_value)

    def _accept(
        self, request: httpd.Request, customer: str
    ) -> result.Result[dict[str, Any], services.Refusal]:
        order = _read_order(request.body.read(_MAX_BODY_BYTES + 1))
        if isinstance(order, result.Err):
            return order
        taken = self._limits.take(customer)
        if isinstance(taken, result.Err):
            return taken
        file = files.read_file(
            self._keyvalue, order.ok_value.input_file, customer
        )
        if isinstance(file, result.Err):
            return file
        if file.ok_value.paths != (order.ok_value.path,):
            return result.Err(
                refusals.bad_input(
                    "Lines of the input file ask for another url.", "endpoint"
                )
            )
        key = request.headers.get("idempotency-key", "")
        record = self._new_record(order.ok_value, file.ok_value, key)
        return self._record(record)

    def _new_record(
        self, order: Order, file: batchrecords.FileRecord, key: str
    ) -> batchrecords.JobRecord:
        now_s = self._clock.wall_s()
        return batchrecords.JobRecord(
            job_id(file.customer, key),
            file.customer,
            file.file,
            order.path,
            order.window,
            order.metadata,
            _order_digest(order, file),
            now_s,
            now_s + order.window_s,
            file.items,
            file.chunk_count,
            file.index_ref,
        )

    def _record(
        self, record: batchrecords.JobRecord
    ) -> result.Result[dict[str, Any], services.Refusal]:
        entry = self._entry(record)
        # The queue entry goes first: a job that was accepted is always
        # found by the coordinators, also when this VM is lost just now.
        if not self._enqueue(entry):
            return result.Err(_unavailable())
        put = self._keyvalue.put(
            batchrecords.job_key(record.job), batchrecords.dump(record), 0
        )
        if isinstance(put, result.Err):
            return self._settle(record, put.err_value)
        if not self._enqueue(entry):
            return result.Err(_unavailable("unknown"))
        self._notify(entry)
        return result.Ok(jobviews.describe(record, None))

    def _settle(
        self, record: batchrecords.JobRecord, error: services.KeyValueError
    ) -> result.Result[dict[str, Any], services.Refusal]:
        if error.kind == "unavailable":
            return result.Err(_unavailable())
        if error.kind == "unknown" or error.current is None:
            return result.Err(_unavailable("unknown"))
        held = batchrecords.load(batchrecords.JobRecord, error.current.value)
        if held.digest != record.digest:
            # Its entry stays in the queue: the held job has the same ID.
            refusal = services.Refusal(
                422,
                "idempotency_key_reused",
                "The key came with another job before.",
            )
            return result.Err(refusal)
        self._notify(self._entry(held))
        return self._show(held)

    def _entry(self, record: batchrecords.JobRecord) -> batchrecords.QueueEntry:
        return batchrecords.QueueEntry(
            record.job,
            record.customer,
            record.deadline_wall_s,
            record.items,
            record.chunk_count,
            self._clock.wall_s(),
            record.state != "in_progress",
        )

    def _enqueue(self, entry: batchrecords.QueueEntry) -> bool:
        key = batchrecords.queue_key(entry.customer, entry.job)
        value = batchrecords.dump(entry)
        put = self._keyvalue.put(key, value, 0)
        if isinstance(put, result.Ok):
            return True
        held = put.err_value.current
        if put.err_value.kind != "conflict" or held is None:
            return False
        old = batchrecords.load(batchrecords.QueueEntry, held.value)
        if entry.written_wall_s - old.written_wall_s < _ENTRY_FRESH_S:
            return True
        # An old entry without a job is about to be dropped as an orphan.
        renewed = old._replace(written_wall_s=entry.written_wall_s)
        put = self._keyvalue.put(key, batchrecords.dump(renewed), held.revision)
        return isinstance(put, result.Ok)

    def _notify(self, entry: batchrecords.QueueEntry) -> None:
        # Only makes it quick: the coordinators' sweep finds it as well.
        bucket = batchrecords.bucket_of(entry.customer)
        vm = self._coordinators.of_bucket(bucket)
        if not vm:
            return
        notice = batchmessages.JobNotice(entry)
        answer = self._peers.call(vm, notice, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self._coordinators.suspect(vm)

    # Showing jobs.

    def _get(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        job = request.path[len(PATH) + 1 :]
        record = self._read(job, principal.customer.customer)
        if isinstance(record, result.Err):
            return refusals.response(record.err_value)
        return _respond(self._show(record.ok_value.record))

    def _list(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        customer = principal.customer.customer
        return self._respond_list(
            request, f"batch_{batchrecords.customer_tag(customer)}", customer
        )

    def _operators_list(self, request: httpd.Request) -> httpd.Response:
        return self._respond_list(request, "", "")

    def _respond_list(
        self, request: httpd.Request, prefix: str, customer: str
    ) -> httpd.Response:
        entries = self._keyvalue.list(batchrecords.job_key(prefix))
        if isinstance(entries, result.Err):
            return refusals.response(_unavailable())
        held = [
            record
            for entry in entries.ok_value
            if (record := _load(entry)) is not None
            and (not customer or record.customer == customer)
        ]
        return httpd.json_response(200, jobviews.page(held, request.query))

    def _operators_get(self, request: httpd.Request) -> httpd.Response:
        job = request.path[len(OPERATORS_PATH) + 1 :]
        record = self._read(job, "")
        if isinstance(record, result.Err):
            return refusals.response(record.err_value)
        held = record.ok_value.record
        shown = self._show(held)
        if isinstance(shown, result.Ok):
            shown.ok_value["customer"] = held.customer
        return _respond(shown)

    def _show(
        self, record: batchrecords.JobRecord
    ) -> result.Result[dict[str, Any], services.Refusal]:
        if record.has_ended:
            return result.Ok(jobviews.describe(record, None))
        chunks = self._keyvalue.list(f"chunks/{record.job}/")
        if isinstance(chunks, result.Err):
            return result.Err(_unavailable())
        # The job may have ended and its chunks been cleaned up meanwhile.
        again = self._read(record.job, "")
        if isinstance(again, result.Ok) and again.ok_value.record.has_ended:
            return result.Ok(jobviews.describe(again.ok_value.record, None))
        counts = jobviews.count(chunks.ok_value)
        return result.Ok(jobviews.describe(record, counts))

    def _read(
        self, job: str, customer: str
    ) -> result.Result["_Held", services.Refusal]:
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return result.Err(_unavailable())
        record = _load(entry.ok_value) if entry.ok_value else None
        if record is None or (customer and record.customer != customer):
            return result.Err(refusals.not_found(f"No batch {job}."))
        assert entry.ok_value is not None
        return result.Ok(_Held(record, entry.ok_value.revision))

    # Cancelling.

    def _post_cancel(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        rest = request.path[len(PATH) + 1 :]
        return self._respond_cancel(rest, principal.customer.customer)

    def _operators_cancel(self, request: httpd.Request) -> httpd.Response:
        return self._respond_cancel(request.path[len(OPERATORS_PATH) + 1 :], "")

    def _respond_cancel(self, rest: str, customer: str) -> httpd.Response:
        job, _, verb = rest.partition("/")
        if verb != "cancel":
            return refusals.response(refusals.not_found("No such path."))
        for _ in range(_CANCEL_TRIES):
            held = self._read(job, customer)
            if isinstance(held, result.Err):
                return refusals.response(held.err_value)
            record = held.ok_value.record
            if record.state != "in_progress":
                # Ended, or cancelled before: nothing to decide any more.
                if record.state == "cancelling":
                    self._stop_everywhere(record)
                return _respond(self._show(record))
            cancelled = record._replace(
                state="cancelling", cancelling_wall_s=self._clock.wall_s()
            )
            put = self._keyvalue.put(
                batchrecords.job_key(job),
                batchrecords.dump(cancelled),
                held.ok_value.revision,
            )
            if isinstance(put, result.Ok):
                self._stop_everywhere(cancelled)
                return _respond(self._show(cancelled))
            if put.err_value.kind != "conflict":
                break
        return refusals.response(_unavailable("unknown"))

    def _stop_everywhere(self, record: batchrecords.JobRecord) -> None:
        # The entry carries the mark, so that a coordinator that misses the
        # notice sees it in its next sweep.
        entry = self._entry(record)
        key = batchrecords.queue_key(record.customer, record.job)
        held = self._keyvalue.get(key)
        if isinstance(held, result.Ok) and held.ok_value is not None:
            self._keyvalue.put(
                key, batchrecords.dump(entry), held.ok_value.revision
            )
        self._notify(entry)
        chunks = self._keyvalue.list(f"chunks/{record.job}/")
        if isinstance(chunks, result.Err):
            return
        for vm in jobviews.holders(chunks.ok_value):
            self._peers.call(
                vm, batchmessages.StopJob(record.job), _CALL_TIMEOUT_S
            )


class _Held(NamedTuple):
    """A job's record and its revision."""

    record: batchrecords.JobRecord
    revision: int


def _load(entry: services.Entry) -> batchrecords.JobRecord | None:
    try:
        return batchrecords.load(batchrecords.JobRecord, entry.value)
    except codec.CodecError as error:
        _log.error("%s is unreadable: %s.", entry.key, error)
        return None


def job_id(customer: str, key: str) -> str:
    """Returns the ID of a new job: the same for the same key."""
    tag = batchrecords.customer_tag(customer)
    if not key:
        return f"batch_{tag}{secrets.token_hex(12)}"
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return f"batch_{tag}{digest[:24]}"


def _order_digest(order: Order, file: batchrecords.FileRecord) -> str:
    # The file's content counts, not its ID: a client that lost both answers
    # sends the file again, gets another ID and still means the same job.
    asked = [file.digest, order.path, order.window, dict(order.metadata)]
    text = json.dumps(asked, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()


def _read_order(body: bytes) -> result.Result[Order, services.Refusal]:
    if len(body) > _MAX_BODY_BYTES:
        return result.Err(
            services.Refusal(413, "too_large", "The request is too large.")
        )
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        return result.Err(refusals.bad_input(f"The body is not JSON: {error}"))
    if not isinstance(value, dict):
        return result.Err(refusals.bad_input("The body is not an object."))
    for field in ("input_file_id", "endpoint"):
        if not isinstance(value.get(field), str) or not value[field]:
            message = f"{field} is required."
            return result.Err(refusals.bad_input(message, field))
    window = _WINDOW.match(str(value.get("completion_window")))
    if window is None:
        message = "A time such as 24h or 90m is required."
        return result.Err(refusals.bad_input(message, "completion_window"))
    metadata = value.get("metadata") or {}
    if not _is_metadata(metadata):
        message = f"At most {_MAX_METADATA} pairs of strings are allowed."
        return result.Err(refusals.bad_input(message, "metadata"))
    window_s = int(window.group(1)) * _UNIT_S[window.group(2)]
    return result.Ok(
        Order(
            value["input_file_id"],
            value["endpoint"],
            window.group(0),
            window_s,
            metadata,
        )
    )


def _is_metadata(metadata: Any) -> bool:
    if not isinstance(metadata, dict) or len(metadata) > _MAX_METADATA:
        return False
    return all(isinstance(value, str) for value in metadata.values())


def _respond(
    shown: result.Result[dict[str, Any], services.Refusal],
) -> httpd.Response:
    if isinstance(shown, result.Err):
        return refusals.response(shown.err_value)
    return httpd.json_response(200, shown.ok_value)


def _unavailable(ran: services.Ran = "not_run") -> services.Refusal:
    return services.Refusal(
        503,
        "unavailable",
        "The platform's service does not answer.",
        ran,
        _RETRY_AFTER_S,
    )

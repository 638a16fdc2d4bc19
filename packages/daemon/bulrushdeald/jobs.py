"""Batch jobs as callers and operators see them."""

from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import cancelling
from bulrushdeald import coordinators
from bulrushdeald import defaults
from bulrushdeald import files
from bulrushdeald import jobqueue
from bulrushdeald import jobviews
from bulrushdeald import orders
from bulrushdeald import refusals
from bulrushdeald import services

_log = logs.Log("jobs")

PATH = "/v1/batches"
OPERATORS_PATH = "/v1/jobs"


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
        peers = find(services.PEERS, services.Peers)
        self._config = find(services.CONFIG, services.Config)
        self._limits = find(services.LIMITS, services.Limits)
        membership = find(services.MEMBERSHIP, services.Membership)
        known = coordinators.Coordinators(membership, self._clock)
        peers.understand(*batchmessages.ANSWERS)
        self._queue = jobqueue.JobQueue(self._keyvalue, peers, known)
        self._canceller = cancelling.Canceller(
            self._keyvalue, peers, self._queue, self._clock
        )
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
        order = orders.read(request.body.read(orders.MAX_BODY_BYTES + 1))
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
        served = {
            model
            for upstream in self._config.upstreams()
            for model in upstream.models
        }
        for model in file.ok_value.models:
            if model not in served:
                message = f"No upstream serves the model {model}."
                return result.Err(refusals.bad_input(message, "model"))
        key = request.headers.get("idempotency-key", "")
        record = self._new_record(order.ok_value, file.ok_value, key)
        return self._record(record)

    def _new_record(
        self, order: orders.Order, file: batchrecords.FileRecord, key: str
    ) -> batchrecords.JobRecord:
        now_s = self._clock.wall_s()
        return batchrecords.JobRecord(
            orders.job_id(file.customer, key),
            file.customer,
            file.file,
            order.path,
            file.models,
            order.window,
            order.metadata,
            orders.digest(order, file),
            now_s,
            now_s + order.window_s,
            file.items,
            file.chunk_count,
            file.index_ref,
        )

    def _record(
        self, record: batchrecords.JobRecord
    ) -> result.Result[dict[str, Any], services.Refusal]:
        entry = jobqueue.entry(record, self._clock.wall_s())
        # The queue entry goes first: a job that was accepted is always
        # found by the coordinators, also when this VM is lost just now.
        if not self._queue.add(entry):
            return result.Err(jobqueue.unavailable())
        put = self._keyvalue.put(
            batchrecords.job_key(record.job), batchrecords.dump(record), 0
        )
        if isinstance(put, result.Err):
            return self._settle(record, put.err_value)
        # Whether it is still there is asked last: a VM paused for long in
        # between finds that its entry was dropped as an orphan.
        if not self._queue.has(entry):
            return result.Err(jobqueue.unavailable("unknown"))
        self._queue.notify(entry)
        return result.Ok(jobviews.describe(record, None))

    def _settle(
        self, record: batchrecords.JobRecord, error: services.KeyValueError
    ) -> result.Result[dict[str, Any], services.Refusal]:
        if error.kind == "unavailable":
            return result.Err(jobqueue.unavailable())
        if error.kind == "unknown" or error.current is None:
            return result.Err(jobqueue.unavailable("unknown"))
        held = batchrecords.load(batchrecords.JobRecord, error.current.value)
        if held.digest != record.digest:
            refusal = services.Refusal(
                422,
                "idempotency_key_reused",
                "The key came with another job before.",
            )
            return result.Err(refusal)
        self._queue.notify(jobqueue.entry(held, self._clock.wall_s()))
        return self._show(held)

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
            return refusals.response(jobqueue.unavailable())
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
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(record.job))
        if isinstance(chunks, result.Err):
            return result.Err(jobqueue.unavailable())
        # The job may have ended and its chunks been cleaned up meanwhile.
        again = self._read(record.job, "")
        if isinstance(again, result.Ok) and again.ok_value.record.has_ended:
            return result.Ok(jobviews.describe(again.ok_value.record, None))
        counts = jobviews.count(chunks.ok_value)
        return result.Ok(jobviews.describe(record, counts))

    def _read(
        self, job: str, customer: str
    ) -> result.Result[jobqueue.Held, services.Refusal]:
        if not batchrecords.is_job(job):
            return result.Err(refusals.not_found(f"No batch {job}."))
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return result.Err(jobqueue.unavailable())
        if entry.ok_value is None:
            return result.Err(refusals.not_found(f"No batch {job}."))
        record = _load(entry.ok_value)
        if record is None or (customer and record.customer != customer):
            return result.Err(refusals.not_found(f"No batch {job}."))
        return result.Ok(jobqueue.Held(record, entry.ok_value.revision))

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
        held = self._read(job, customer)
        if isinstance(held, result.Err):
            return refusals.response(held.err_value)
        cancelled = self._canceller.cancel(held.ok_value)
        if isinstance(cancelled, result.Err):
            return refusals.response(cancelled.err_value)
        return _respond(self._show(cancelled.ok_value))


def _load(entry: services.Entry) -> batchrecords.JobRecord | None:
    try:
        return batchrecords.load(batchrecords.JobRecord, entry.value)
    except codec.CodecError as error:
        _log.error("%s is unreadable: %s.", entry.key, error)
        return None


def _respond(
    shown: result.Result[dict[str, Any], services.Refusal],
) -> httpd.Response:
    if isinstance(shown, result.Err):
        return refusals.response(shown.err_value)
    return httpd.json_response(200, shown.ok_value)

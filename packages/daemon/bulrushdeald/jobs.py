"""HTTP routes for batch jobs, for callers and for operators."""

from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import bodies
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
    """Creates, shows, lists and cancels batch jobs."""

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
        """Registers the callers' and the operators' routes."""
        find = self._kernel.find
        self._keyvalue = find(services.KEYVALUE, services.KeyValue)
        peers = find(services.PEERS, services.Peers)
        self._config = find(services.CONFIG, services.Config)
        self._limits = find(services.LIMITS, services.Limits)
        membership = find(services.MEMBERSHIP, services.Membership)
        bucket_coordinators = coordinators.Coordinators(membership, self._clock)
        peers.register_answers(*batchmessages.ANSWERS)
        self._queue = jobqueue.JobQueue(
            self._keyvalue, peers, bucket_coordinators
        )
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
        """Does nothing: accepted jobs are stored in the platform's service."""
        del grace_s

    def dump(self) -> Any:
        """Returns the counts of accepted and refused jobs since start."""
        return {"accepted": self._accepted, "refused": self._refused}

    # Creating a job.

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
        try:
            body = request.body.read(orders.MAX_BODY_BYTES + 1)
        except (OSError, ValueError) as error:
            message = f"The body broke off: {error}"
            return result.Err(bodies.refusal_of(request, message))
        job_request = orders.parse(body)
        if isinstance(job_request, result.Err):
            return job_request
        taken = self._limits.take(customer)
        if isinstance(taken, result.Err):
            return taken
        file = files.read_file(
            self._keyvalue, job_request.ok_value.input_file, customer
        )
        if isinstance(file, result.Err):
            return file
        if file.ok_value.paths != (job_request.ok_value.path,):
            return result.Err(
                refusals.bad_input(
                    "The input file has lines for another url.",
                    "endpoint",
                )
            )
        served_models = {
            model
            for upstream in self._config.upstreams()
            for model in upstream.models
        }
        for model in file.ok_value.models:
            if model not in served_models:
                message = f"No upstream serves the model {model}."
                return result.Err(refusals.bad_input(message, "model"))
        key = request.headers.get("idempotency-key", "")
        record = self._new_record(job_request.ok_value, file.ok_value, key)
        return self._save(record)

    def _new_record(
        self,
        job_request: orders.JobRequest,
        file: batchrecords.FileRecord,
        key: str,
    ) -> batchrecords.JobRecord:
        now_s = self._clock.wall_s()
        return batchrecords.JobRecord(
            orders.job_id(file.customer, key),
            file.customer,
            file.file,
            job_request.path,
            file.models,
            job_request.window,
            job_request.metadata,
            orders.digest(job_request, file),
            now_s,
            now_s + job_request.window_s,
            file.items,
            file.chunk_count,
            file.index_ref,
        )

    def _save(
        self, record: batchrecords.JobRecord
    ) -> result.Result[dict[str, Any], services.Refusal]:
        entry = jobqueue.entry(record, self._clock.wall_s())
        # The queue entry is written before the job's record, so that the
        # coordinators find every accepted job even if this VM is lost
        # between the two writes.
        if not self._queue.add(entry):
            return result.Err(jobqueue.unavailable())
        put = self._keyvalue.put(
            batchrecords.job_key(record.job), batchrecords.dump(record), 0
        )
        if isinstance(put, result.Err):
            return self._resolve_failed_put(record, put.err_value)
        # If this VM was paused for long between the two writes, the entry
        # may have been deleted as an orphan, and no coordinator would find
        # the job.
        if not self._queue.has(entry):
            return result.Err(jobqueue.unavailable("unknown"))
        self._queue.notify(entry)
        return result.Ok(jobviews.describe(record, None))

    def _resolve_failed_put(
        self, record: batchrecords.JobRecord, error: services.KeyValueError
    ) -> result.Result[dict[str, Any], services.Refusal]:
        if error.kind == "unavailable":
            return result.Err(jobqueue.unavailable())
        if error.kind == "unknown" or error.current is None:
            return result.Err(jobqueue.unavailable("unknown"))
        stored = batchrecords.load(batchrecords.JobRecord, error.current.value)
        if stored.digest != record.digest:
            refusal = services.Refusal(
                422,
                "idempotency_key_reused",
                "The idempotency key was used for another job.",
            )
            return result.Err(refusal)
        self._queue.notify(jobqueue.entry(stored, self._clock.wall_s()))
        return self._show(stored)

    # Showing jobs.

    def _get(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        job = request.path[len(PATH) + 1 :]
        stored = self._read(job, principal.customer.customer)
        if isinstance(stored, result.Err):
            return refusals.response(stored.err_value)
        return _to_response(self._show(stored.ok_value.record))

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
        records = [
            record
            for entry in entries.ok_value
            if (record := _load_record(entry)) is not None
            and (not customer or record.customer == customer)
        ]
        return httpd.json_response(200, jobviews.page(records, request.query))

    def _operators_get(self, request: httpd.Request) -> httpd.Response:
        job = request.path[len(OPERATORS_PATH) + 1 :]
        stored = self._read(job, "")
        if isinstance(stored, result.Err):
            return refusals.response(stored.err_value)
        record = stored.ok_value.record
        shown = self._show(record)
        if isinstance(shown, result.Ok):
            shown.ok_value["customer"] = record.customer
        return _to_response(shown)

    def _show(
        self, record: batchrecords.JobRecord
    ) -> result.Result[dict[str, Any], services.Refusal]:
        if record.has_ended:
            return result.Ok(jobviews.describe(record, None))
        chunks = self._keyvalue.list(batchrecords.chunk_prefix(record.job))
        if isinstance(chunks, result.Err):
            return result.Err(jobqueue.unavailable())
        # The job may have ended since `record` was read, and its chunk
        # records may have been deleted.
        reread = self._read(record.job, "")
        if isinstance(reread, result.Ok) and reread.ok_value.record.has_ended:
            return result.Ok(jobviews.describe(reread.ok_value.record, None))
        counts = jobviews.count(chunks.ok_value)
        return result.Ok(jobviews.describe(record, counts))

    def _read(
        self, job: str, customer: str
    ) -> result.Result[jobqueue.StoredJob, services.Refusal]:
        if not batchrecords.is_job(job):
            return result.Err(refusals.not_found(f"No batch {job}."))
        entry = self._keyvalue.get(batchrecords.job_key(job))
        if isinstance(entry, result.Err):
            return result.Err(jobqueue.unavailable())
        if entry.ok_value is None:
            return result.Err(refusals.not_found(f"No batch {job}."))
        record = _load_record(entry.ok_value)
        if record is None or (customer and record.customer != customer):
            return result.Err(refusals.not_found(f"No batch {job}."))
        return result.Ok(jobqueue.StoredJob(record, entry.ok_value.revision))

    # Cancelling.

    def _post_cancel(
        self, request: httpd.Request, principal: services.Principal
    ) -> httpd.Response:
        rest = request.path[len(PATH) + 1 :]
        return self._respond_cancel(rest, principal.customer.customer)

    def _operators_cancel(self, request: httpd.Request) -> httpd.Response:
        return self._respond_cancel(request.path[len(OPERATORS_PATH) + 1 :], "")

    def _respond_cancel(self, rest: str, customer: str) -> httpd.Response:
        job, _, action = rest.partition("/")
        if action != "cancel":
            return refusals.response(refusals.not_found("No such path."))
        stored = self._read(job, customer)
        if isinstance(stored, result.Err):
            return refusals.response(stored.err_value)
        cancelled = self._canceller.cancel(stored.ok_value)
        if isinstance(cancelled, result.Err):
            return refusals.response(cancelled.err_value)
        return _to_response(self._show(cancelled.ok_value))


def _load_record(entry: services.Entry) -> batchrecords.JobRecord | None:
    try:
        return batchrecords.load(batchrecords.JobRecord, entry.value)
    except codec.CodecError as error:
        _log.error("%s is unreadable: %s.", entry.key, error)
        return None


def _to_response(
    shown: result.Result[dict[str, Any], services.Refusal],
) -> httpd.Response:
    if isinstance(shown, result.Err):
        return refusals.response(shown.err_value)
    return httpd.json_response(200, shown.ok_value)

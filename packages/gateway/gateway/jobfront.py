"""Answers callers' HTTP requests about batch jobs."""

import threading

import result

from bulrushdeal import eventlog
from bulrushdeal import exchanges
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from gateway import dialect as dialect_lib
from gateway import jobmessages
from gateway import jobs
from gateway import names
from gateway import records
from gateway import refusals

_events = eventlog.Events("jobs")

_STATUSES: dict[jobmessages.ErrorKind, int] = {
    "missing": 404,
    "unavailable": 503,
    # Not 503, which would promise that no item runs.
    "unknown": 504,
    "too_large": 413,
    "no_room": 429,
}
_UNAVAILABLE_RETRY_S = 0.4
# The memory to decode a job, pack its items and send them to the store, as a
# multiple of the job's body.
MEMORY_FACTOR = 8
# The memory to encode a page of results, as a multiple of their outputs.
_PAGE_FACTOR = 3


class JobFront:
    """Handles callers' requests about jobs and builds the responses."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._jobs = kernel.find(names.JOBS, jobs.Jobs)
        self._dialect = kernel.find(names.DIALECT, dialect_lib.Dialect)
        # Large jobs and pages take the interpreter for milliseconds each. If
        # many threads did so side by side, all others would wait for it behind
        # each of them, at every step.
        self._converting = threading.Lock()

    def submit(
        self,
        job: str,
        customer: str,
        route: records.Route,
        path: str,
        body: bytes,
    ) -> httpd.Response:
        """Accepts a job and answers 202, or refuses it."""
        if not job or "/" in job:
            return refusals.refusal_response(
                refusals.Refusal(400, "the job has no id")
            )
        try:
            with self._converting:
                submission = self._dialect.decode_submission(body)
        except dialect_lib.BadInputError as error:
            return refusals.refusal_response(refusals.Refusal(400, str(error)))
        accepted = self._jobs.submit(job, customer, route, path, submission)
        if isinstance(accepted, result.Err):
            return _refuse(job, accepted.err_value)
        return httpd.json_response(202, {"id": job})

    def call(
        self,
        call: dialect_lib.JobCall,
        customer: str,
        exchange: exchanges.Exchange,
    ) -> httpd.Response:
        """Answers a call about a job that was submitted.

        Args:
            call: The call.
            customer: The customer that calls.
            exchange: The account of what is held for the answer.
        """
        if call.kind == "end":
            ended = self._jobs.end(call.job, customer)
            if isinstance(ended, result.Err):
                return _refuse(call.job, ended.err_value)
            return httpd.json_response(200, {})
        if call.kind == "input":
            return self._input(call, customer, exchange)
        page = self._jobs.read(
            call.job, customer, call.after, call.wait_s, exchange
        )
        if isinstance(page, result.Err):
            return _refuse(call.job, page.err_value)
        size_bytes = sum(len(row.output) for row in page.ok_value.results)
        before_bytes = exchange.held_bytes
        if not exchange.grow(size_bytes * _PAGE_FACTOR):
            return _refuse(call.job, jobmessages.NO_MEMORY)
        with self._converting:
            data = self._dialect.encode_job_page(page.ok_value)
        exchange.shrink_to(before_bytes + len(data))
        return refusals.whole_response(200, "application/json", data)

    def _input(
        self,
        call: dialect_lib.JobCall,
        customer: str,
        exchange: exchanges.Exchange,
    ) -> httpd.Response:
        before_bytes = exchange.held_bytes
        body = self._jobs.input(call.job, customer, call.item, exchange)
        if isinstance(body, result.Err):
            return _refuse(call.job, body.err_value)
        exchange.shrink_to(before_bytes)
        if not exchange.grow(len(body.ok_value)):
            return _refuse(call.job, jobmessages.NO_MEMORY)
        return refusals.whole_response(
            200, "application/octet-stream", body.ok_value
        )


def _refuse(job: str, error: jobmessages.JobError) -> httpd.Response:
    status = _STATUSES[error.kind]
    _events.warning("refused", job=job, status=status, why=error.message)
    retry_s = error.retry_after_s
    if error.kind == "unavailable":
        retry_s = _UNAVAILABLE_RETRY_S
    return refusals.refusal_response(
        refusals.Refusal(status, error.message, retry_s)
    )

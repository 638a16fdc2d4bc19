"""The commands `job list`, `show`, `cancel`, `submit` and `results`.

Operators use the first three; customers use `submit` and `results`.
"""

from collections.abc import Iterator
import pathlib
import secrets
import sys
import time
from typing import Any
from urllib import parse

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui import api
from bulrushdealui import tables
from bulrushdealui.commands import base

_FINAL_STATUSES = ("completed", "failed", "cancelled", "expired")
_POLL_S = 1.0
_PAGE_JOBS = 100
_CHUNK_BYTES = 256 * 1024
_ID_ARGUMENT = argument("id", description="The job's id.")


class ListCommand(base.OperatorCommand):
    """Lists all jobs."""

    name = "job list"
    description = "List the batch jobs."

    def run_command(self) -> None:
        """See `base.Command`."""
        jobs = list(_all_jobs(self.client()))
        if self.option("json"):
            self.show(tables.as_json({"jobs": jobs}))
            return
        self.show(tables.as_text([_summary_row(job) for job in jobs]))


class ShowCommand(base.OperatorCommand):
    """Shows one job."""

    name = "job show"
    description = "Show one job and how far it has come."
    arguments = [_ID_ARGUMENT]
    options = [option("follow", description="Show it until it has finished.")]

    def run_command(self) -> None:
        """See `base.Command`."""
        client = self.client()
        path = f"/v1/jobs/{base.quote(self.argument('id'))}"
        value = client.read_value(path)
        self.show_fields(value)
        while self.option("follow") and not _has_finished(value):
            time.sleep(_POLL_S)
            previous, value = value, client.read_value(path)
            if value != previous:
                self.show(tables.as_text([_summary_row(value)]))


class CancelCommand(base.OperatorCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job; finished items keep their results."
    arguments = [_ID_ARGUMENT]

    def run_command(self) -> None:
        """See `base.Command`."""
        path = f"/v1/jobs/{base.quote(self.argument('id'))}/cancel"
        self.show_fields(self.client().change("POST", path))


class SubmitCommand(base.Command):
    """Submits a file of items through the callers' API."""

    name = "job submit"
    description = "Submit a JSONL file of items, with a customer's key."
    arguments = [argument("file", description="The file.")]
    options = [
        *base.CALLER_OPTIONS,
        option(
            "endpoint",
            description="The path that each item calls.",
            flag=False,
            default="/v1/chat/completions",
        ),
        option(
            "idempotency-key",
            description="A retry with the same key creates no second job.",
            flag=False,
        ),
        base.JSON,
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        client = self.caller_client()
        path = pathlib.Path(self.argument("file"))
        boundary = secrets.token_hex(16)
        head, tail = _multipart_head_and_tail(boundary, path.name)
        size_bytes = len(head) + path.stat().st_size + len(tail)
        idempotency_key = self.option("idempotency-key") or secrets.token_hex(
            16
        )
        # Printed before anything is sent, because the user needs the key to
        # retry a submission that failed.
        self.show_on_stderr(f"Idempotency key: {idempotency_key}")
        stored = client.send(
            "/v1/files",
            _upload_chunks(head, path, tail),
            {
                "Content-Type": f"multipart/form-data; boundary={boundary}",
                "Content-Length": str(size_bytes),
                "Idempotency-Key": f"{idempotency_key}-file",
            },
        )
        job = client.change(
            "POST",
            "/v1/batches",
            {
                "input_file_id": stored["id"],
                "endpoint": self.option("endpoint"),
                "completion_window": "24h",
            },
            {"Idempotency-Key": idempotency_key},
        )
        self.show_fields(job)


class ResultsCommand(base.Command):
    """Reads a job's results through the callers' API."""

    name = "job results"
    description = "Write a finished job's results as JSONL."
    arguments = [_ID_ARGUMENT]
    options = [
        *base.CALLER_OPTIONS,
        option("output", description="The file to write to.", flag=False),
        option("wait", description="Wait until the job has finished."),
        option("errors", description="Write the failed items instead."),
        base.JSON,
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        client = self.caller_client()
        path = f"/v1/batches/{base.quote(self.argument('id'))}"
        job = client.read_value(path)
        while self.option("wait") and not _has_finished(job):
            time.sleep(_POLL_S)
            job = client.read_value(path)
        field = "error_file_id" if self.option("errors") else "output_file_id"
        file_id = job.get(field)
        if not file_id:
            raise errors.UserError(
                f"The job is {job.get('status')} and has no such results."
            )
        chunks = client.stream("GET", f"/v1/files/{file_id}/content")
        self._write(chunks)

    def _write(self, chunks: Iterator[bytes]) -> None:
        if not self.option("output"):
            for chunk in chunks:
                sys.stdout.buffer.write(chunk)
            sys.stdout.buffer.flush()
            return
        with pathlib.Path(self.option("output")).open("wb") as file:
            for chunk in chunks:
                file.write(chunk)


def _all_jobs(client: api.Client) -> Iterator[tables.Row]:
    query: dict[str, Any] = {"limit": _PAGE_JOBS}
    while True:
        value = client.read_value(f"/v1/jobs?{parse.urlencode(query)}")
        yield from tables.rows_of(value, "data")
        if not value.get("has_more"):
            return
        query["after"] = value["last_id"]


def _summary_row(job: tables.Row) -> tables.Row:
    counts = job.get("request_counts") or {}
    return {
        "id": job.get("id"),
        "customer": job.get("customer"),
        "status": job.get("status"),
        **counts,
        "created_at": tables.time_text(job.get("created_at")),
        "expires_at": tables.time_text(job.get("expires_at")),
    }


def _has_finished(job: Any) -> bool:
    if not isinstance(job, dict):
        return True
    return job.get("status", job.get("state")) in _FINAL_STATUSES


def _multipart_head_and_tail(boundary: str, name: str) -> tuple[bytes, bytes]:
    name = name.replace('"', "_")
    head = (
        f"--{boundary}\r\n"
        'Content-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        f"--{boundary}\r\n"
        f'Content-Disposition: form-data; name="file"; filename="{name}"\r\n'
        "Content-Type: application/jsonl\r\n\r\n"
    )
    return head.encode(), f"\r\n--{boundary}--\r\n".encode()


def _upload_chunks(
    head: bytes, path: pathlib.Path, tail: bytes
) -> Iterator[bytes]:
    yield head
    with path.open("rb") as file:
        while chunk := file.read(_CHUNK_BYTES):
            yield chunk
    yield tail

"""Records and keys of batch jobs in the platform's store."""

from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec
from gateway import dialect


class JobMeta(NamedTuple):
    """A job's metadata, written at acceptance and never changed.

    Attributes:
        job: The job's id.
        customer: The customer that submitted it.
        host: The host it was submitted to.
        path: The path it was submitted to.
        accepted_ms: When it was accepted, in milliseconds of the epoch.
        items: The ids of its items in order.
        parts: How many keys of the store hold its input.
        max_attempts: Failed attempts after which an item is given up.
        retention_s: How long after acceptance unfinished items are given up,
            in seconds.
        due_s: How long after acceptance all results should be available, in
            seconds; 0 if the job has no due time.
        backlog: The name of the customer's backlog on the job's route.
    """

    job: str
    customer: str
    host: str
    path: str
    accepted_ms: int
    items: tuple[str, ...]
    parts: int
    max_attempts: int
    retention_s: float
    due_s: float
    backlog: str = ""

    def open_record(self, tokens: int) -> "OpenJob":
        """Returns the record of the open job with the tokens still to run."""
        due_ms = self.accepted_ms + int(self.due_s * 1000)
        return OpenJob(due_ms, self.backlog, tokens)


class OpenJob(NamedTuple):
    """Marks a job that still has items to run.

    Attributes:
        due_ms: When it is due, in milliseconds of the epoch.
        backlog: The name of the customer's backlog on the job's route.
        tokens: The total tokens of the items without a result.
    """

    due_ms: int
    backlog: str = ""
    tokens: int = 0


class Backlog(NamedTuple):
    """An upper bound of the tokens that a customer has waiting on a route.

    Attributes:
        tokens: The bound; `None` if jobs were accepted without being counted.
    """

    tokens: int | None


class Claim(NamedTuple):
    """The VM that runs a job; the key is removed with that VM's lease."""

    vm: str


class Progress(NamedTuple):
    """An unfinished item's progress, for the VM that runs it next.

    Attributes:
        item: The item's id.
        output: The output so far, in texts that are joined by line feeds.
        last_event: The last event's id; -1 if there is none.
        failures: The number of failed attempts so far.
        ran_s: How long the output so far took, in seconds.
        service: The service at which the output began; empty without output.
        software_version: The version that began it; empty if unknown.
    """

    item: str
    output: tuple[str, ...]
    last_event: int
    failures: int
    ran_s: float = 0.0
    service: str = ""
    software_version: str = ""


class Keys:
    """The keys of batch jobs below a prefix of the store."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        # The prefix of both open jobs and backlogs, which are listed together.
        self.listing = f"{prefix}open"
        self.backlogs = f"{prefix}open.backlogs/"
        self.open = f"{prefix}open/"
        self.claims = f"{prefix}claims/"

    def meta(self, job: str) -> str:
        """Returns the key of a job's metadata."""
        return f"{self._prefix}jobs/{job}/meta"

    def ended(self, job: str) -> str:
        """Returns the key that marks a job as ended by its caller."""
        return f"{self._prefix}jobs/{job}/ended"

    def progress(self, job: str) -> str:
        """Returns the key of the progress of a job's items."""
        return f"{self._prefix}jobs/{job}/progress"

    def part(self, job: str, number: int) -> str:
        """Returns the key of a part of a job's input."""
        return f"{self._prefix}jobs/{job}/input/{number:03}"

    def results(self, job: str) -> str:
        """Returns the prefix of a job's results."""
        return f"{self._prefix}jobs/{job}/results/"

    def result(self, job: str, position: int) -> str:
        """Returns the key of the result at a position."""
        return f"{self.results(job)}{position:05}"

    def open_job(self, job: str) -> str:
        """Returns the key that marks a job as having items to run."""
        return self.open + job

    def backlog(self, name: str) -> str:
        """Returns the key of a customer's backlog on a route."""
        return self.backlogs + name

    def claim(self, job: str) -> str:
        """Returns the key of a job's claim."""
        return self.claims + job


def pack(message: Any) -> bytes:
    """Encodes a record for the store."""
    return cbor2.dumps(codec.to_array(message))


def unpack(kind: type[codec.M], value: bytes) -> codec.M:
    """Decodes a record of the store.

    Raises:
        CodecError: The value is not a record, or one of another kind.
    """
    try:
        return codec.from_plain(kind, cbor2.loads(value))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise codec.CodecError(f"not a record: {error}") from error


def claim_holder(value: bytes | None) -> str:
    """Returns the VM that holds a claim; empty if absent or unreadable."""
    if value is None:
        return ""
    try:
        return unpack(Claim, value).vm
    except codec.CodecError:
        return ""


def unpack_backlog(value: bytes | None) -> Backlog:
    """Decodes a backlog; its tokens are `None` if absent or unreadable."""
    if value is None:
        return Backlog(None)
    try:
        return unpack(Backlog, value)
    except codec.CodecError:
        return Backlog(None)


def is_held_by(value: bytes | None, vm: str) -> bool:
    """Returns whether a VM holds a claim; none holds an unreadable one."""
    return claim_holder(value) == vm


class _ItemList(NamedTuple):
    items: tuple[dialect.JobItem, ...]


class _ProgressList(NamedTuple):
    rows: tuple[Progress, ...]


def pack_progress(rows: tuple[Progress, ...]) -> bytes:
    """Encodes the progress of a job's items as one value."""
    return pack(_ProgressList(rows))


def unpack_progress(value: bytes) -> tuple[Progress, ...]:
    """Decodes the progress of a job's items.

    Raises:
        CodecError: The value is not such a record.
    """
    return unpack(_ProgressList, value).rows


def pack_items(
    items: tuple[dialect.JobItem, ...], max_bytes: int
) -> tuple[bytes, ...]:
    """Encodes a job's items as values of bounded part_bytes.

    Args:
        items: The job's items.
        max_bytes: The bound on the encoded items of one value.

    Raises:
        BadInputError: A single item exceeds `max_bytes`.
    """
    parts: list[bytes] = []
    part_items: list[dialect.JobItem] = []
    part_bytes = 0
    for item in items:
        item_bytes = len(pack(item))
        if item_bytes > max_bytes:
            raise dialect.BadInputError(f"item {item.item} is too large")
        if part_items and part_bytes + item_bytes > max_bytes:
            parts.append(pack(_ItemList(tuple(part_items))))
            part_items, part_bytes = [], 0
        part_items.append(item)
        part_bytes += item_bytes
    parts.append(pack(_ItemList(tuple(part_items))))
    return tuple(parts)


def unpack_items(value: bytes) -> tuple[dialect.JobItem, ...]:
    """Decodes one value of a job's input.

    Raises:
        CodecError: The value is not a list of items.
    """
    return unpack(_ItemList, value).items

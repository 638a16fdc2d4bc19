"""How batch jobs lie in the platform's store."""

from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec
from gateway import dialect


class JobMeta(NamedTuple):
    """What is known of a job from its acceptance on, never changed.

    Attributes:
        job: Its id.
        customer: Whose it is.
        host: The host it was submitted to.
        path: The path it was submitted to.
        accepted_ms: When, in milliseconds of the epoch.
        items: The ids of its items in order.
        parts: How many values hold its input.
        max_attempts: Failed attempts after which an item is given up.
        retention_s: How long after acceptance an item may be given up.
        due_s: How long after acceptance all results should be there.
        backlog: Names the customer's backlog on the job's route.
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

    def opened(self, tokens: int) -> "OpenJob":
        """Returns what says that the job has items of so many tokens."""
        due_ms = self.accepted_ms + int(self.due_s * 1000)
        return OpenJob(due_ms, self.backlog, tokens)


class OpenJob(NamedTuple):
    """That a job has items to run.

    Attributes:
        due_ms: When it is due, in milliseconds of the epoch.
        backlog: Names the customer's backlog on the job's route.
        tokens: Of the items that have no result.
    """

    due_ms: int
    backlog: str = ""
    tokens: int = 0


class Backlog(NamedTuple):
    """At most how many tokens a customer has waiting on a route.

    `None` if jobs were accepted that were not counted.
    """

    tokens: int | None


class Claim(NamedTuple):
    """Which VM runs a job; the key goes with that VM's lease."""

    vm: str


class Progress(NamedTuple):
    """How far an item came at a VM that had to stop.

    Attributes:
        item: The item.
        output: What it has brought so far, one text an event.
        last_event: The last event's id; -1 if there is none.
        failures: Failed attempts so far.
        ran_s: How long that took.
    """

    item: str
    output: tuple[str, ...]
    last_event: int
    failures: int
    ran_s: float = 0.0


class Keys:
    """The keys of batch jobs below a prefix of the store."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        # The listing of what is open has the backlogs as well.
        self.listing = f"{prefix}open"
        self.backlogs = f"{prefix}open.backlogs/"
        self.open = f"{prefix}open/"
        self.claims = f"{prefix}claims/"

    def meta(self, job: str) -> str:
        """Returns the key of what is known of a job."""
        return f"{self._prefix}jobs/{job}/meta"

    def ended(self, job: str) -> str:
        """Returns the key that says that a job was ended."""
        return f"{self._prefix}jobs/{job}/ended"

    def progress(self, job: str) -> str:
        """Returns the key of how far a job's items came."""
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
        """Returns the key that says that a job has items to run."""
        return self.open + job

    def backlog(self, name: str) -> str:
        """Returns the key of a customer's backlog on a route."""
        return self.backlogs + name

    def claim(self, job: str) -> str:
        """Returns the key of a job's claim."""
        return self.claims + job


def pack(message: Any) -> bytes:
    """Returns a record as it lies in the store."""
    return cbor2.dumps(codec.to_array(message))


def unpack(kind: type[codec.M], value: bytes) -> codec.M:
    """Reads a record.

    Raises:
        CodecError: It is none, or of another kind.
    """
    try:
        return codec.from_plain(kind, cbor2.loads(value))
    except (cbor2.CBORDecodeError, ValueError) as error:
        raise codec.CodecError(f"not a record: {error}") from error


def holder(value: bytes | None) -> str:
    """Returns whose claim it is; empty if it cannot be read."""
    if value is None:
        return ""
    try:
        return unpack(Claim, value).vm
    except codec.CodecError:
        return ""


def backlog(value: bytes | None) -> Backlog:
    """Returns what is counted; nothing is known if it cannot be read."""
    if value is None:
        return Backlog(None)
    try:
        return unpack(Backlog, value)
    except codec.CodecError:
        return Backlog(None)


def is_held_by(value: bytes | None, vm: str) -> bool:
    """Tells whether a claim is a VM's; what cannot be read is nobody's."""
    return holder(value) == vm


class _Items(NamedTuple):
    items: tuple[dialect.JobItem, ...]


class _Progresses(NamedTuple):
    rows: tuple[Progress, ...]


def pack_progress(rows: tuple[Progress, ...]) -> bytes:
    """Returns how far a job's items came, as one value."""
    return pack(_Progresses(rows))


def unpack_progress(value: bytes) -> tuple[Progress, ...]:
    """Reads how far a job's items came.

    Raises:
        CodecError: It is not that.
    """
    return unpack(_Progresses, value).rows


def pack_items(
    items: tuple[dialect.JobItem, ...], most_bytes: int
) -> tuple[bytes, ...]:
    """Returns a job's input as values of bounded size.

    Raises:
        BadInputError: One item alone is too large.
    """
    parts: list[bytes] = []
    held: list[dialect.JobItem] = []
    size = 0
    for item in items:
        item_size = len(pack(item))
        if item_size > most_bytes:
            raise dialect.BadInputError(f"item {item.item} is too large")
        if held and size + item_size > most_bytes:
            parts.append(pack(_Items(tuple(held))))
            held, size = [], 0
        held.append(item)
        size += item_size
    parts.append(pack(_Items(tuple(held))))
    return tuple(parts)


def unpack_items(value: bytes) -> tuple[dialect.JobItem, ...]:
    """Reads one value of a job's input.

    Raises:
        CodecError: It is none.
    """
    return unpack(_Items, value).items

"""What the platform's key-value service holds for files and batch jobs."""

from collections.abc import Mapping
import hashlib
import json
import re
from typing import Any, Literal, NamedTuple, TypeVar

from bulrushdeal import codec
from bulrushdeald import objects

BUCKETS = 64
MAX_CHUNK_ITEMS = 500
MAX_CHUNK_BYTES = 1_000_000
MAX_JOB_ITEMS = 88_000

_JOB = re.compile(r"batch_[0-9a-f]{36}")
_FILE = re.compile(r"file-[0-9a-f]{36}")

JobState = Literal["in_progress", "cancelling", "cancelled", "completed"]
ChunkState = Literal["running", "open", "done", "void"]

M = TypeVar("M")


class ChunkInput(NamedTuple):
    """Some consecutive lines of an input file, as one object."""

    ref: objects.ObjectRef
    items: int


class FileIndex(NamedTuple):
    """The chunks of an input file in order; an object of its own."""

    chunks: tuple[ChunkInput, ...]


class FileRecord(NamedTuple):
    """An accepted input file, under `files/ID`.

    Attributes:
        file: The file's ID.
        customer: Whose it is.
        filename: As the caller named it.
        size_bytes: Its length.
        items: Its lines.
        chunk_count: Into how many chunks it was split.
        digest: SHA-256 of the content in hexadecimal.
        paths: The paths that its lines ask for.
        models: The models that its lines ask for.
        created_wall_s: When it was accepted.
        index_ref: Where its `FileIndex` is.
    """

    file: str
    customer: str
    filename: str
    size_bytes: int
    items: int
    chunk_count: int
    digest: str
    paths: tuple[str, ...]
    models: tuple[str, ...]
    created_wall_s: float
    index_ref: objects.ObjectRef


class ChunkResult(NamedTuple):
    """The sealed result of one chunk.

    Attributes:
        ref: The object: lines of items that succeeded, then the others.
        output_bytes: The length of the first part.
        completed: Items that succeeded.
        failed: Items that ended otherwise.
    """

    ref: objects.ObjectRef
    output_bytes: int
    completed: int
    failed: int


class ResultIndex(NamedTuple):
    """The results of an ended job in order; an object of its own."""

    chunks: tuple[ChunkResult, ...]


class JobRecord(NamedTuple):
    """A batch job, under `jobs/ID`.

    Attributes:
        job: The job's ID.
        customer: Whose it is.
        input_file: The ID of its input file.
        path: The path that each item asks for.
        models: The models that its items ask for.
        window: The completion window as the caller wrote it.
        metadata: As the caller gave it.
        digest: Hash of what was asked, to tell a resent job from another.
        created_wall_s: When it was accepted.
        deadline_wall_s: When items that have not run are given up.
        items: How many there are.
        chunk_count: In how many chunks.
        index_ref: Where the input's `FileIndex` is.
        state: It never leaves `cancelled` or `completed`.
        cancelling_wall_s: When it was cancelled; 0 if it was not.
        ended_wall_s: When its last item ended.
        completed: Items that succeeded, known when it has ended.
        failed: Items that ended otherwise, known when it has ended.
        results: Where the `ResultIndex` is, when it has ended.
    """

    job: str
    customer: str
    input_file: str
    path: str
    models: tuple[str, ...]
    window: str
    metadata: Mapping[str, str]
    digest: str
    created_wall_s: float
    deadline_wall_s: float
    items: int
    chunk_count: int
    index_ref: objects.ObjectRef
    state: JobState = "in_progress"
    cancelling_wall_s: float = 0.0
    ended_wall_s: float = 0.0
    completed: int = 0
    failed: int = 0
    results: objects.ObjectRef | None = None

    @property
    def has_ended(self) -> bool:
        """Whether no item of it will ever run again."""
        return self.state in ("cancelled", "completed")


class QueueEntry(NamedTuple):
    """A job that has not ended, under `queue/BUCKET/ID`.

    Attributes:
        job: The job's ID.
        customer: Whose it is.
        models: The models that its items ask for.
        deadline_wall_s: When it is due.
        items: How many there are.
        chunk_count: In how many chunks.
        written_wall_s: When this entry was written.
        is_cancelled: Whether a cancellation waits to be carried out.
    """

    job: str
    customer: str
    models: tuple[str, ...]
    deadline_wall_s: float
    items: int
    chunk_count: int
    written_wall_s: float
    is_cancelled: bool = False


class ChunkRecord(NamedTuple):
    """Who runs a chunk, or its result, under `chunks/JOB/N`.

    Attributes:
        state: `running` under `epoch` by `vm`; `open` if it was given back;
            `done` with its result; `void` if its job was cancelled.
        epoch: Raised by each claim; an older holder can never end it.
        vm: The holder, or who held it last.
        incarnation: The run of the holder's process.
        result: The result, when it is done.
        partial: Results of items that need not run again, when it is open.
    """

    state: ChunkState
    epoch: int
    vm: str
    incarnation: str
    result: ChunkResult | None = None
    partial: objects.ObjectRef | None = None


def dump(record: Any) -> bytes:
    """Returns a record as JSON, which operators can read."""
    return json.dumps(codec.to_object(record), separators=(",", ":")).encode()


def load(kind: type[M], value: bytes) -> M:
    """Returns the record in `value`.

    Raises:
        codec.CodecError: It is no such record.
    """
    try:
        plain = json.loads(value)
    except ValueError as error:
        raise codec.CodecError(f"not a record: {error}") from error
    return codec.from_plain(kind, plain)


def is_job(name: str) -> bool:
    """Tells whether a caller's text can be a job's ID."""
    return bool(_JOB.fullmatch(name))


def is_file(name: str) -> bool:
    """Tells whether a caller's text can be an input file's ID."""
    return bool(_FILE.fullmatch(name))


def file_key(file: str) -> str:
    """Returns the key of a file's record."""
    return f"files/{file}"


def job_key(job: str) -> str:
    """Returns the key of a job's record."""
    return f"jobs/{job}"


def chunk_prefix(job: str) -> str:
    """Returns what the keys of a job's chunks begin with."""
    return f"chunks/{job}/"


def chunk_key(job: str, chunk: int) -> str:
    """Returns the key of a chunk's record; they sort by number."""
    return f"{chunk_prefix(job)}{chunk:05d}"


def chunk_of(key: str) -> int:
    """Returns the number of the chunk that a key is for."""
    return int(key.rpartition("/")[2])


def bucket_of(customer: str) -> int:
    """Returns the bucket of a customer's jobs; one VM coordinates each."""
    digest = hashlib.blake2b(customer.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def queue_prefix(bucket: int) -> str:
    """Returns what the keys of a bucket's queue begin with."""
    return f"queue/{bucket:02d}/"


def queue_key(customer: str, job: str) -> str:
    """Returns the key of a job's queue entry."""
    return queue_prefix(bucket_of(customer)) + job


def customer_tag(customer: str) -> str:
    """Returns what a customer's IDs begin with, so that they are listed."""
    return hashlib.sha256(customer.encode()).hexdigest()[:12]

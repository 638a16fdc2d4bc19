"""Records of files and batch jobs in the platform's key-value service."""

from collections.abc import Mapping
import hashlib
import json
import re
from typing import Any, Literal, NamedTuple, TypeVar

from bulrushdeal import codec
from bulrushdeal import jsontext
from bulrushdeald import objects

BUCKETS = 64
MAX_CHUNK_ITEMS = 500
MAX_CHUNK_BYTES = 1_000_000
MAX_JOB_ITEMS = 88_000

_JOB_ID = re.compile(r"batch_[0-9a-f]{36}")
_FILE_ID = re.compile(r"file-[0-9a-f]{36}")

JobState = Literal["in_progress", "cancelling", "cancelled", "completed"]
ChunkState = Literal["running", "open", "done", "void"]

M = TypeVar("M")


class ChunkInput(NamedTuple):
    """A run of consecutive lines of an input file, stored as one object.

    Attributes:
        ref: The object.
        items: The number of items in it.
    """

    ref: objects.ObjectRef
    items: int


class FileIndex(NamedTuple):
    """The chunks of an input file in order, stored as one object."""

    chunks: tuple[ChunkInput, ...]


class FileRecord(NamedTuple):
    """An accepted input file, under `files/ID`.

    Attributes:
        file: The file's ID.
        customer: The customer that owns the file.
        filename: The name that the caller gave it.
        size_bytes: The length of the file.
        items: The number of items, one for each line.
        chunk_count: The number of chunks that it was split into.
        digest: SHA-256 of the content in hexadecimal.
        paths: The request paths of its items.
        models: The models that its items request.
        created_wall_s: When it was accepted, in seconds since the epoch.
        index_ref: The object that holds its `FileIndex`.
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
        ref: The object with the lines of items that succeeded, followed by
            those of the others.
        output_bytes: The length of the first part.
        completed: The number of items that succeeded.
        failed: The number of items that ended otherwise.
    """

    ref: objects.ObjectRef
    output_bytes: int
    completed: int
    failed: int


class ResultIndex(NamedTuple):
    """The chunk results of an ended job in order, stored as one object."""

    chunks: tuple[ChunkResult, ...]


class JobRecord(NamedTuple):
    """A batch job, under `jobs/ID`.

    Attributes:
        job: The job's ID.
        customer: The customer that owns the job.
        input_file: The ID of its input file.
        path: The request path of all its items.
        models: The models that its items request.
        window: The completion window as the caller wrote it.
        metadata: The caller's metadata, unchanged.
        digest: Hash of the request, to tell a resent job from another one.
        created_wall_s: When it was accepted, in seconds since the epoch.
        deadline_wall_s: When items that have not run fail as expired.
        items: The number of items.
        chunk_count: The number of chunks.
        index_ref: The object that holds the input's `FileIndex`.
        state: The state; `cancelled` and `completed` are final.
        cancelling_wall_s: When it was cancelled; 0 if it was not.
        ended_wall_s: When it ended; 0 before that.
        completed: The number of items that succeeded; 0 before it ended.
        failed: The number of items that ended otherwise; 0 before it ended.
        results: The object that holds its `ResultIndex`; `None` before it
            ended.
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
        """Whether the job is in a final state and runs no more items."""
        return self.state in ("cancelled", "completed")


class QueueEntry(NamedTuple):
    """A job that has not ended, under `queue/BUCKET/ID`.

    Attributes:
        job: The job's ID.
        customer: The customer that owns the job.
        models: The models that its items request.
        deadline_wall_s: The job's deadline, in seconds since the epoch.
        items: The number of items.
        chunk_count: The number of chunks.
        written_wall_s: When this entry was written.
        is_cancelled: Whether the job was cancelled and has not ended yet.
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
    """The holder of a chunk, or its result, under `chunks/JOB/N`.

    A chunk that was never claimed has no record.

    Attributes:
        state: `running` at `vm`; `open` if its holder gave it back; `done` if
            it has its result; `void` if its job was cancelled.
        epoch: A fencing number that each claim raises, so that no earlier
            holder can end the chunk.
        vm: The VM that holds the chunk or held it last; empty if the
            coordinator marked the chunk as void.
        incarnation: The random name of the run of that VM's process.
        result: The result, if the chunk is done.
        partial: The stored answers of an earlier holder, whose items need not
            run again.
    """

    state: ChunkState
    epoch: int
    vm: str
    incarnation: str
    result: ChunkResult | None = None
    partial: objects.ObjectRef | None = None


def dump(record: Any) -> bytes:
    """Encodes a record as JSON, so that operators can read it."""
    return json.dumps(codec.to_object(record), separators=(",", ":")).encode()


def load(kind: type[M], value: bytes) -> M:
    """Decodes a record from JSON.

    Args:
        kind: The record's type.
        value: The JSON text.

    Returns:
        The record.

    Raises:
        codec.CodecError: The value is not a record of this type.
    """
    try:
        plain = jsontext.parse(value)
    except ValueError as error:
        raise codec.CodecError(f"not a record: {error}") from error
    return codec.from_plain(kind, plain)


def is_job(name: str) -> bool:
    """Returns whether a text has the form of a job's ID."""
    return bool(_JOB_ID.fullmatch(name))


def is_file(name: str) -> bool:
    """Returns whether a text has the form of an input file's ID."""
    return bool(_FILE_ID.fullmatch(name))


def file_key(file: str) -> str:
    """Returns the key of a file's record."""
    return f"files/{file}"


def job_key(job: str) -> str:
    """Returns the key of a job's record."""
    return f"jobs/{job}"


def chunk_prefix(job: str) -> str:
    """Returns the prefix of the keys of a job's chunk records."""
    return f"chunks/{job}/"


def chunk_key(job: str, chunk: int) -> str:
    """Returns the key of a chunk's record; the keys sort by number."""
    return f"{chunk_prefix(job)}{chunk:05d}"


def chunk_of(key: str) -> int:
    """Returns the chunk's number from the key of its record."""
    return int(key.rpartition("/")[2])


def bucket_of(customer: str) -> int:
    """Returns the bucket of a customer's jobs.

    One VM coordinates all jobs of a bucket.
    """
    digest = hashlib.blake2b(customer.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % BUCKETS


def queue_prefix(bucket: int) -> str:
    """Returns the prefix of the queue keys of a bucket."""
    return f"queue/{bucket:02d}/"


def queue_key(customer: str, job: str) -> str:
    """Returns the key of a job's queue entry."""
    return queue_prefix(bucket_of(customer)) + job


def customer_tag(customer: str) -> str:
    """Returns the customer's tag, with which IDs of its files and jobs begin.

    Listings find all of a customer's files or jobs by this prefix.
    """
    return hashlib.sha256(customer.encode()).hexdigest()[:12]

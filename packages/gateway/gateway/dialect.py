"""What an adapter offers: a platform's names, formats and calls.

An adapter translates and decides nothing: it neither repeats a call nor
waits, and it takes no choice between upstreams.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple, Protocol

import result

from gateway import records


class StoreError(NamedTuple):
    """A call to the platform's store that did not succeed.

    Attributes:
        kind: `refused`: the store takes no calls from here now; it surely
            had no effect. `rejected`: the store does not accept such a
            call; no effect either. `unknown`: it may have had, or may still
            have. `gap`: the history asked for is gone. `no_lease`: the
            lease has ended.
        message: For the log.
    """

    kind: Literal["refused", "rejected", "unknown", "gap", "no_lease"]
    message: str


class Entry(NamedTuple):
    """One key of the store; `value` is `None` if it was deleted."""

    key: str
    value: bytes | None
    revision: int
    created: int = 0


class Page(NamedTuple):
    """A part of a listing, as of a revision of the store."""

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


class Expected(NamedTuple):
    """A condition of a change: the key's revision, 0 if it is absent."""

    key: str
    revision: int


class Write(NamedTuple):
    """One key to write, under a lease if that is not 0."""

    key: str
    value: bytes
    lease: int = 0


class Conflict(NamedTuple):
    """A change that was not made: what its conditions' keys hold."""

    entries: tuple[Entry, ...]


class Lease(NamedTuple):
    """A lease and how long it runs."""

    lease: int
    ttl_s: float


class CallCount(NamedTuple):
    """How many calls of a kind ended in some way."""

    call: str
    outcome: str
    made: int


class Store(Protocol):
    """The platform's store; each call is made once."""

    def get(
        self, key: str, timeout_s: float
    ) -> result.Result[Entry | None, StoreError]:
        """Returns what a key holds."""

    def list(
        self, prefix: str, after: str, timeout_s: float, *, stale: bool = False
    ) -> result.Result[Page, StoreError]:
        """Returns keys under `prefix` that follow `after`."""

    def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> result.Result[Page, StoreError]:
        """Waits for changes under `prefix` after a revision."""

    def commit(
        self,
        expected: tuple[Expected, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[int | Conflict, StoreError]:
        """Makes all changes if all conditions hold, else none.

        Returns:
            The store's new revision, or the conflict.
        """

    def grant(
        self, ttl_s: float, timeout_s: float
    ) -> result.Result[Lease, StoreError]:
        """Makes a lease."""

    def renew(
        self, lease: int, timeout_s: float
    ) -> result.Result[float, StoreError]:
        """Renews a lease; returns how long it runs, in seconds."""

    def end(
        self, lease: int, timeout_s: float
    ) -> result.Result[None, StoreError]:
        """Ends a lease and removes its keys."""

    def counts(self) -> tuple[CallCount, ...]:
        """Returns how many calls were made."""


class Prompt(NamedTuple):
    """What a request says of its prompt and answer.

    Attributes:
        model: The model asked for.
        input_tokens: The whole prompt.
        output_tokens: The most that the answer may have.
        parts: The prompt's parts in order; requests share those that have
            the same name.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[str, ...]


class CallerHead(NamedTuple):
    """What a caller's headers say.

    Attributes:
        attempt: Names this attempt of the caller; empty if it has no name.
        key: The caller's key; empty if there is none.
        deadline_s: How long the caller waits; `None` if it does not say.
        prompt: What is asked of an engine.
        last_event: Where to go on in a stream; `None` from the start.
    """

    attempt: str
    key: str
    deadline_s: float | None
    prompt: Prompt | None
    last_event: int | None


class Load(NamedTuple):
    """What an upstream says of itself."""

    running: int
    waiting: int
    slots: int


class AnswerHead(NamedTuple):
    """What an upstream's headers say.

    Attributes:
        attempt: The request it answers; empty if it does not say.
        has_not_run: Whether the upstream promises that it did not run.
        is_signed: Whether the upstream vouches for the answer.
        is_other: Whether another instance has the address.
        load: What it says of its load.
    """

    attempt: str
    has_not_run: bool
    is_signed: bool
    is_other: bool
    load: Load | None


class JobItem(NamedTuple):
    """One request of a batch job.

    Attributes:
        item: Its id.
        path: Where it goes at an upstream.
        headers: Its own.
        body: Its own.
        tokens: Of its prompt and, at most, its output.
    """

    item: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    tokens: int = 0


class Submission(NamedTuple):
    """A batch job as a caller submits it."""

    items: tuple[JobItem, ...]


class ItemResult(NamedTuple):
    """How an item ended, at its position for good."""

    item: str
    is_completed: bool
    output: str


class JobPage(NamedTuple):
    """A part of a batch job's results."""

    total: int
    next_position: int
    results: tuple[ItemResult, ...]


class JobCall(NamedTuple):
    """A call about a batch job that was submitted.

    Attributes:
        kind: To read results, to read an item's input, or to end the job.
        job: The job's id.
        item: The item whose input is asked for.
        after: The first position asked for.
        wait_s: How long the caller lets itself be kept waiting.
    """

    kind: Literal["results", "input", "end"]
    job: str
    item: str
    after: int
    wait_s: float


class BadInputError(Exception):
    """What came is malformed; the message says what."""


class Dialect(Protocol):
    """How callers, upstreams and operators spell things."""

    def caller_head(self, headers: Mapping[str, str]) -> CallerHead:
        """Decodes a caller's headers, names in lower case.

        Raises:
            BadInputError: A header cannot be read.
        """

    def upstream_headers(
        self,
        headers: Mapping[str, str],
        *,
        left_s: float,
        instance: str,
        customer: str,
        last_event: int | None,
    ) -> dict[str, str]:
        """Returns the headers that a request has towards an upstream.

        Args:
            headers: The caller's.
            left_s: What is left of the caller's deadline; negative for
                none.
            instance: The upstream it is meant for.
            customer: Whom it runs for; empty for nobody.
            last_event: Where a stream goes on; `None` from the start.
        """

    def item_headers(self, item: JobItem, host: str) -> dict[str, str]:
        """Returns a batch item's headers as if a caller had sent it."""

    def answer_head(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> AnswerHead:
        """Decodes an upstream's headers."""

    def configuration(self, value: bytes) -> records.Configuration:
        """Decodes the operators' configuration.

        Raises:
            BadInputError: It cannot be read.
        """

    def upstream(self, key: str, value: bytes) -> records.Upstream:
        """Decodes an upstream's entry.

        Raises:
            BadInputError: It cannot be read.
        """

    def retire_request(self, key: str) -> str:
        """Returns the VM with a disk that is to be emptied; empty if none."""

    def retire_status(self, vm: str) -> Write:
        """Returns what tells the operators that a VM may be removed."""

    def submission(self, body: bytes) -> Submission:
        """Decodes a batch job.

        Raises:
            BadInputError: It cannot be read.
        """

    def job_call(
        self, method: str, path: str, query: str, headers: Mapping[str, str]
    ) -> JobCall | None:
        """Decodes a call about a batch job; `None` if it is none.

        Raises:
            BadInputError: It is one, but cannot be read.
        """

    def job_page(self, page: JobPage) -> bytes:
        """Encodes a part of a job's results."""

    @property
    def names(self) -> "Names":
        """The keys of the store that the platform and operators use."""


class Names(NamedTuple):
    """Keys of the store.

    Attributes:
        configuration: The key of the newest configuration.
        operators: The prefix of what operators write.
        upstreams: The prefix of the upstreams' entries.
        own: The prefix of what this system writes.
    """

    configuration: str
    operators: str
    upstreams: str
    own: str

"""The interface of a platform adapter: its names, formats and store calls.

An adapter only translates. It does not retry a call, wait, or choose between
upstreams.
"""

from collections.abc import Mapping
from typing import Literal, NamedTuple, Protocol

import result

from gateway import records
from gateway.decisions import requestcosts


class StoreError(NamedTuple):
    """A failed call to the platform's store.

    Attributes:
        kind: `refused`: the store takes no calls from this VM at present,
            and the call had no effect. `rejected`: the store does not
            accept this kind of call, and it had no effect. `unknown`: the
            call may have had an effect or may still take effect. `gap`: the
            store no longer has the requested history. `no_lease`: the lease
            has ended.
        message: The reason, for the log.
    """

    kind: Literal["refused", "rejected", "unknown", "gap", "no_lease"]
    message: str


class Entry(NamedTuple):
    """One key of the store.

    Attributes:
        key: The key.
        value: Its value; `None` if the key was deleted.
        revision: The store's revision at which the key last changed.
        create_revision: The revision at which the key was created; 0 if
            unknown.
    """

    key: str
    value: bytes | None
    revision: int
    create_revision: int = 0


class Page(NamedTuple):
    """One page of a listing or of changes.

    Attributes:
        entries: The keys of this page, or the changes in order.
        has_more: Whether further entries follow.
        revision: The store's revision that the page reflects.
    """

    entries: tuple[Entry, ...]
    has_more: bool
    revision: int


class RevisionCondition(NamedTuple):
    """A condition of a commit: a key's revision, 0 if the key is absent."""

    key: str
    revision: int


class Write(NamedTuple):
    """A key to write, bound to a lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


class Conflict(NamedTuple):
    """A commit whose conditions failed, with their keys' current entries."""

    entries: tuple[Entry, ...]


class Lease(NamedTuple):
    """A lease: its id, and how long it runs from its grant."""

    lease: int
    ttl_s: float


class CallCount(NamedTuple):
    """How many calls of a kind ended with an outcome.

    Attributes:
        call: The name of the `Store` method.
        outcome: An HTTP status, or why there is none.
        call_count: The number of calls.
    """

    call: str
    outcome: str
    call_count: int


class Store(Protocol):
    """The platform's key-value store; no call is retried."""

    def get(
        self, key: str, timeout_s: float
    ) -> result.Result[Entry | None, StoreError]:
        """Returns a key's entry; `None` if the key is absent."""

    def list(
        self, prefix: str, after: str, timeout_s: float, *, stale: bool = False
    ) -> result.Result[Page, StoreError]:
        """Returns the keys under a prefix, in order.

        Args:
            prefix: The prefix that the keys have.
            after: Only keys greater than this one are returned; empty for
                all.
            timeout_s: How long the call may take.
            stale: Whether the store may answer from an older state.
        """

    def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> result.Result[Page, StoreError]:
        """Waits for changes under a prefix.

        Args:
            prefix: The prefix that the changed keys have.
            after_revision: Only changes after this revision are returned.
            wait_s: How long the store waits for a change.
            timeout_s: How long the call may take, the wait included.
        """

    def commit(
        self,
        expected: tuple[RevisionCondition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[int | Conflict, StoreError]:
        """Applies all writes and deletes if all conditions hold, else none.

        Returns:
            The store's new revision, or the conflict.
        """

    def grant(
        self, ttl_s: float, timeout_s: float
    ) -> result.Result[Lease, StoreError]:
        """Creates a lease that runs for `ttl_s`."""

    def renew(
        self, lease: int, timeout_s: float
    ) -> result.Result[float, StoreError]:
        """Renews a lease; returns how long it runs, in seconds."""

    def end(
        self, lease: int, timeout_s: float
    ) -> result.Result[None, StoreError]:
        """Ends a lease and removes its keys."""

    def counts(self) -> tuple[CallCount, ...]:
        """Returns how many calls were made, by kind and outcome."""


class Prompt(NamedTuple):
    """A request's description of its prompt and answer.

    Attributes:
        model: The requested model; empty if not given.
        input_tokens: The length of the whole prompt.
        output_tokens: The maximum length of the answer.
        parts: The prompt's parts in order.
        expected_output_tokens: The caller's estimate of the length of the
            answer; `None` if not given or unreadable.
    """

    model: str
    input_tokens: int
    output_tokens: int
    parts: tuple[requestcosts.PromptPart, ...]
    expected_output_tokens: int | None = None

    def cost(self) -> requestcosts.RequestCost:
        """Returns the cost of a request with this prompt and answer."""
        output_tokens = self.output_tokens
        if self.expected_output_tokens is not None:
            output_tokens = min(output_tokens, self.expected_output_tokens)
        return requestcosts.RequestCost(
            self.model, self.input_tokens, output_tokens, self.parts
        )


class CallerHeaders(NamedTuple):
    """The decoded headers of a caller's request.

    Attributes:
        attempt: The id of this attempt of the caller; empty if it has none.
        key: The caller's API key; empty if there is none.
        deadline_s: How long the caller waits; `None` if not given.
        prompt: The description of the prompt; `None` if not given.
        last_event: The number of the last event received, after which the
            stream is to resume; `None` to start at the beginning.
        resumed_attempt: The id of the attempt that got the first event of the
            stream to resume; empty if not given.
    """

    attempt: str
    key: str
    deadline_s: float | None
    prompt: Prompt | None
    last_event: int | None
    resumed_attempt: str = ""


class Load(NamedTuple):
    """The load that an upstream reports.

    Attributes:
        running: The requests that it runs.
        waiting: The requests that wait in it.
        slots: The requests that it runs at once.
        pace: How long work takes on it now, 1.0 as usual; 0 if not reported
            or unreadable.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 0.0

    @property
    def busy(self) -> int:
        """The requests that run or wait in it."""
        return self.running + self.waiting


class AnswerHeaders(NamedTuple):
    """The decoded headers of an upstream's answer.

    Attributes:
        attempt: The id of the attempt that it answers; empty if not given.
        is_not_executed: Whether the upstream guarantees that it did not
            execute the request.
        has_server_stamp: Whether the answer bears the upstream's own stamp.
        is_misdirected: Whether the address now belongs to another instance.
        load: The upstream's load; `None` if not given or unreadable.
        cold_remaining_s: How long the upstream stays cold; `None` if not
            given or unreadable.
    """

    attempt: str
    is_not_executed: bool
    has_server_stamp: bool
    is_misdirected: bool
    load: Load | None
    cold_remaining_s: float | None = None


class JobItem(NamedTuple):
    """One request of a batch job.

    Attributes:
        item: The item's id.
        path: The path of the request at an upstream.
        headers: The headers that the caller set for this item.
        body: The body of the request.
        tokens: The tokens of its prompt plus the maximum of its output.
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
    """How an item ended.

    The result's position in the job's results never changes.
    """

    item: str
    is_completed: bool
    output: str


class JobPage(NamedTuple):
    """One page of a batch job's results.

    Attributes:
        total: How many items the job has.
        next_position: The position after the last result of this page.
        results: The results in the order of their positions.
    """

    total: int
    next_position: int
    results: tuple[ItemResult, ...]


class JobCall(NamedTuple):
    """A call about a submitted batch job.

    Attributes:
        kind: `results` reads results, `input` reads an item's input and
            `end` ends the job.
        job: The job's id.
        item: The id of the item whose input is read; otherwise empty.
        after: The position of the first result to return.
        wait_s: How long the caller is willing to wait for a result.
    """

    kind: Literal["results", "input", "end"]
    job: str
    item: str
    after: int
    wait_s: float


class BadInputError(Exception):
    """Malformed input; the message names the fault."""


class Dialect(Protocol):
    """The platform's encodings, for callers, upstreams and operators."""

    def decode_caller_headers(
        self, headers: Mapping[str, str]
    ) -> CallerHeaders:
        """Decodes a caller's headers, whose names are in lower case.

        Raises:
            BadInputError: A header is malformed.
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
        """Returns the headers of a request to an upstream.

        Args:
            headers: The caller's headers.
            left_s: The time left until the caller's deadline; negative if
                it has none.
            instance: The upstream that the request is sent to.
            customer: The customer that the request runs for; empty for
                none.
            last_event: The event after which the stream resumes; `None` to
                start at the beginning.
        """

    def item_cost(self, item: JobItem) -> requestcosts.RequestCost:
        """Returns the cost of a batch item, as far as it is stated."""

    def item_headers(self, item: JobItem, host: str) -> dict[str, str]:
        """Returns the headers of a batch item as a caller would send them."""

    def decode_answer_headers(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> AnswerHeaders:
        """Decodes the status and headers of an upstream's answer."""

    def decode_configuration(self, value: bytes) -> records.Configuration:
        """Decodes the operators' configuration.

        Raises:
            BadInputError: It is malformed.
        """

    def decode_upstream(self, key: str, value: bytes) -> records.Upstream:
        """Decodes an upstream's entry.

        Raises:
            BadInputError: It is malformed.
        """

    def decode_retire_request(self, key: str) -> str:
        """Returns the VM that the operators want to retire.

        Returns:
            The name of a VM with a disk that is to be emptied; empty if the
            key is no such request.
        """

    def decode_evacuation(self, key: str) -> str:
        """Returns the failure domain that the operators want to evacuate.

        Returns:
            The name of a failure domain whose upstreams are to get nothing;
            empty if the key is no such request.
        """

    def retired_write(self, vm: str) -> Write:
        """Returns the write that reports to operators that a VM is empty."""

    def decode_submission(self, body: bytes) -> Submission:
        """Decodes the body that submits a batch job.

        Raises:
            BadInputError: It is malformed.
        """

    def decode_job_call(
        self, method: str, path: str, query: str, headers: Mapping[str, str]
    ) -> JobCall | None:
        """Decodes a call about a batch job; `None` for any other request.

        Raises:
            BadInputError: The call is malformed.
        """

    def encode_job_page(self, page: JobPage) -> bytes:
        """Encodes one page of a job's results."""

    @property
    def store_keys(self) -> "StoreKeys":
        """The keys and prefixes in the store."""


class StoreKeys(NamedTuple):
    """Keys and prefixes in the store.

    Attributes:
        configuration: The key of the newest configuration.
        operators_prefix: The prefix of the keys that operators write.
        upstreams_prefix: The prefix of the upstreams' entries.
        own_prefix: The prefix of the keys that this system writes.
    """

    configuration: str
    operators_prefix: str
    upstreams_prefix: str
    own_prefix: str

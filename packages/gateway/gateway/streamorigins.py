"""Knows which software version began a stream, also at another VM.

Upstreams of several software versions may serve side by side, and what two of
them write does not fit together. The VM at which a caller takes its stream up
may have never heard of it, and the one that began it may be gone.
"""

import collections
from collections.abc import Callable
from concurrent import futures
import functools
import queue
import threading
import time
from typing import Any, NamedTuple
import zlib

from bulrushdeal import eventlog
from bulrushdeal import fingerprints
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import rendezvous
from bulrushdeald import services
from gateway import members
from gateway import names
from gateway import records
from gateway import upstreamlist

_events = eventlog.Events("origins")

# How many other VMs are told of a stream. Another one is asked, as the VM that
# began the stream is not among those it told, but may rank before them.
_KEEPERS = 2
_ASKED = _KEEPERS + 1
# Streams share the ranks of the VMs that keep them, which take time to sort.
_RANKS = 256
_TELL_TIMEOUT_S = 0.3
_FIND_TIMEOUT_S = 0.3
_TELLING_THREADS = 4
_FINDING_THREADS = 32
_MAX_UNTOLD = 10_000
_MAX_TRIES = 3
# Callers take up a stream within their deadline.
_RETENTION_S = 120.0
_MAX_STREAMS = 20_000


class BegunStream(NamedTuple):
    """A stream, by the attempt whose caller got its first event.

    Attributes:
        attempt: The id of that attempt, or a hash of it if it is long.
        origin: Where it began.
    """

    attempt: str
    origin: records.StreamOrigin


class StreamsBegun(NamedTuple):
    """Tells a VM of streams that have begun."""

    streams: tuple[BegunStream, ...]


class StreamsNoted(NamedTuple):
    """The answer to `StreamsBegun`."""


class FindOrigin(NamedTuple):
    """Asks where a stream began.

    Attributes:
        attempt: The attempt that got its first event; empty if unknown.
        service: The service that it is to go on at.
        span_s: How long ago it may have begun, in seconds.
    """

    attempt: str
    service: str
    span_s: float


class OriginFound(NamedTuple):
    """The answer to `FindOrigin`.

    Attributes:
        origin: Where it began; without a version if that is not known.
        only_version: The version that all upstreams of the service have run
            for the whole span, as far as the answering VM knows; or empty.
        has_several: Whether the answering VM knows of several versions that
            upstreams of the service have run in that time.
    """

    origin: records.StreamOrigin
    only_version: str
    has_several: bool = False


class _Untold(NamedTuple):
    """A stream that VMs are still to be told of, and how often that failed."""

    stream: BegunStream
    tries: int = 0


class StreamOrigins:
    """Keeps where streams began, and tells and asks other VMs; thread-safe."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.Lock()
        # With the time of the record, the oldest first.
        self._origins: collections.OrderedDict[
            str, tuple[records.StreamOrigin, float]
        ] = collections.OrderedDict()
        self._untold: queue.Queue[_Untold | None] = queue.Queue(_MAX_UNTOLD)
        self._is_stopping = False
        # Apart, so that no caller waits for VMs that do not answer others.
        self._telling = futures.ThreadPoolExecutor(
            _TELLING_THREADS, thread_name_prefix="origins"
        )
        self._finding = futures.ThreadPoolExecutor(
            _FINDING_THREADS, thread_name_prefix="origins"
        )

    def start(self) -> None:
        """Starts to tell and to answer other VMs."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._list = find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
        self._peers.register_handler(
            StreamsBegun, services.InlineHandler(self._on_begun)
        )
        self._peers.register_handler(
            FindOrigin, services.InlineHandler(self._on_find)
        )
        self._peers.register_answers(StreamsNoted, OriginFound)
        threads.start(self._tell_all, "origins")

    def stop(self, grace_s: float) -> None:
        """Ends the threads."""
        del grace_s
        self._is_stopping = True
        # An empty queue would keep the thread waiting.
        if self._untold.empty():
            self._untold.put(None)
        for pool in (self._telling, self._finding):
            pool.shutdown(wait=False, cancel_futures=True)

    def dump(self) -> Any:
        """Returns how many streams are kept and how many are still untold."""
        return {"kept": len(self._origins), "untold": self._untold.qsize()}

    def record(
        self,
        attempt: str,
        origin: records.StreamOrigin,
        span_s: float,
        *,
        is_only_service: bool = False,
    ) -> None:
        """Records where a stream began, before its caller gets an event.

        Other VMs are told unless the stream can have begun at one service
        only, and all upstreams of it have run one version for long enough,
        which they know as well.

        Args:
            attempt: The caller's attempt.
            origin: Where the stream began.
            span_s: How long it may last and be taken up, in seconds.
            is_only_service: Whether callers can have no stream of another
                service under the same route.
        """
        stream = BegunStream(fingerprints.short_id(attempt), origin)
        self._keep(stream)
        version = origin.software_version
        only = self._only_version(origin.service, span_s)
        if not version or (is_only_service and only == version):
            return
        try:
            self._untold.put_nowait(_Untold(stream))
        except queue.Full:
            _events.sampled_info("not_told", request=attempt)

    def find(
        self,
        attempt: str,
        service: str,
        span_s: float,
        *,
        is_only_service: bool = False,
    ) -> records.StreamOrigin:
        """Returns where a stream began; without a version if not known.

        Args:
            attempt: The attempt that got its first event; empty if unknown.
            service: The service that it is to go on at.
            span_s: How long ago it may have begun, in seconds.
            is_only_service: Whether it can have begun at that service only.
                If not, nothing follows from the versions there.
        """
        short_id = fingerprints.short_id(attempt)
        known = self._kept(short_id)
        if known is not None:
            return known
        question = FindOrigin(short_id, service, span_s)
        asked = self._keepers(short_id, _ASKED)
        answers = self._ask(asked, question)
        for answer in answers:
            if answer.origin.software_version:
                return answer.origin
        only = {answer.only_version for answer in answers}
        only.add(self._only_version(service, span_s))
        only.discard("")
        is_certain = (
            is_only_service
            and len(only) == 1
            and not any(answer.has_several for answer in answers)
            and self._would_be_known(asked, answers)
        )
        if is_certain:
            return records.StreamOrigin(service, only.pop())
        _events.warning(
            "unknown",
            request=attempt,
            versions=sorted(only),
            asked=asked,
            answers=len(answers),
            list_age_s=round(self._list.age_s(), 3),
        )
        return records.StreamOrigin(service, "")

    def _would_be_known(
        self, asked: list[str], answers: list[OriginFound]
    ) -> bool:
        """Returns whether what began at another version would be known here.

        The VM that began a stream tells two others, if there may be several
        versions. It may be lost itself, and be one of those asked. With fewer
        answers this VM may be cut off: only a list that is read now shows that
        no other version has joined.
        """
        if len(self._members.entry_vms()) <= 1:
            return True
        if answers and len(answers) >= len(asked) - 1:
            return True
        return self._list.await_read()

    def _ask(self, vms: list[str], question: FindOrigin) -> list[OriginFound]:
        """Returns the answers of the VMs that may know.

        Ends with the first that knows.
        """
        asked = {
            self._finding.submit(
                self._peers.call, vm, question, _FIND_TIMEOUT_S
            ): vm
            for vm in vms
        }
        answers: list[OriginFound] = []
        for done in futures.as_completed(asked):
            answer = done.result()
            if answer.is_err():
                # Others do not wait for it as well.
                self._members.suspect(asked[done], answer.unwrap_err())
                continue
            answers.append(answer.unwrap())
            if answers[-1].origin.software_version:
                break
        return answers

    def _keepers(self, attempt: str, count: int) -> list[str]:
        """Returns the other VMs that keep a stream, in different domains.

        A failure domain may be cut off or lose its power as a whole.
        """
        own = self._members.own_vm().vm
        vms = tuple(row.vm for row in self._members.entry_vms())
        lost = self._members.unreachable_domains()
        others = [
            vm
            for vm in _rank(zlib.crc32(attempt.encode()) % _RANKS, vms)
            if vm != own
            and not self._members.is_suspected(vm)
            and self._members.domain(vm) not in lost
        ]
        return _spread(others, self._members.domain, count)

    def _only_version(self, service: str, span_s: float) -> str:
        return self._list.only_version(service, span_s)

    def _keep(self, stream: BegunStream) -> None:
        now_s = time.monotonic()
        with self._lock:
            held = self._origins.pop(stream.attempt, None)
            origin = stream.origin
            if held is not None and held[0] != origin:
                # Two callers use the same id; what began is not known.
                origin = records.StreamOrigin(origin.service, "")
            self._origins[stream.attempt] = (origin, now_s)
            while self._origins:
                _, at_s = next(iter(self._origins.values()))
                if (
                    len(self._origins) <= _MAX_STREAMS
                    and now_s - at_s <= _RETENTION_S
                ):
                    return
                self._origins.popitem(last=False)

    def _kept(self, attempt: str) -> records.StreamOrigin | None:
        with self._lock:
            held = self._origins.get(attempt)
        return None if held is None else held[0]

    def _tell_all(self) -> None:
        while not self._is_stopping:
            rows = [self._untold.get()]
            while not self._untold.empty():
                rows.append(self._untold.get())
            by_vm: dict[str, list[_Untold]] = {}
            for row in rows:
                if row is None:
                    return
                for vm in self._keepers(row.stream.attempt, _KEEPERS):
                    by_vm.setdefault(vm, []).append(row)
            for vm, told in by_vm.items():
                threads.submit(self._telling, self._tell, "origins", vm, told)

    def _tell(self, vm: str, rows: list[_Untold]) -> None:
        message = StreamsBegun(tuple(row.stream for row in rows))
        answer = self._peers.call(vm, message, _TELL_TIMEOUT_S)
        if answer.is_ok():
            return
        # Another VM takes its place.
        self._members.suspect(vm, answer.unwrap_err())
        for row in rows:
            if row.tries + 1 < _MAX_TRIES and not self._untold.full():
                self._untold.put(row._replace(tries=row.tries + 1))

    def _on_begun(self, vm: str, message: StreamsBegun) -> StreamsNoted:
        del vm
        for stream in message.streams:
            self._keep(stream)
        return StreamsNoted()

    def _on_find(self, vm: str, message: FindOrigin) -> OriginFound:
        del vm
        known = self._kept(message.attempt)
        return OriginFound(
            known or records.StreamOrigin(message.service, ""),
            self._only_version(message.service, message.span_s),
            self._list.has_several_versions(message.service, message.span_s),
        )


@functools.lru_cache(maxsize=_RANKS)
def _rank(number: int, vms: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rendezvous.rank(f"streams {number}", vms))


def _spread(
    vms: list[str], domain_of: Callable[[str], str], count: int
) -> list[str]:
    """Returns the first VMs, each of another failure domain if possible."""
    firsts = {domain_of(vm): vm for vm in reversed(vms)}
    others = [vm for vm in vms if firsts[domain_of(vm)] != vm]
    first_of_each = [vm for vm in vms if firsts[domain_of(vm)] == vm]
    return (first_of_each + others)[:count]

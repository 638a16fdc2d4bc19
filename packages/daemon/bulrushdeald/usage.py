"""Counts what the system did and hands the sums over, each once.

A VM sums its events in memory and every `usage_flush_s` hands a numbered
batch to one VM of its failure domain, which folds it into the platform's
key-value service. It sends a batch again until it is known to be durable.
So a lost VM loses what it had not handed over, at most the last few seconds,
and the report says up to when each VM's sums are in.
"""

import collections
import threading
from typing import Any

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeald import defaults
from bulrushdeald import folding
from bulrushdeald import ledger
from bulrushdeald import rendezvous
from bulrushdeald import report
from bulrushdeald import services

_log = logs.Log("usage")
_CALL_TIMEOUT_S = 2.0
# Without events a batch still goes out this often, to show the VM is there.
_IDLE_BATCH_S = 60.0
# What a long outage may cost in memory: about 300 bytes for each row.
_MAX_ROWS = 50_000
_MAX_NAME_CHARACTERS = 64
# Without the platform a planned stop waits no longer for a few sums.
_LAST_FLUSH_S = 10.0
_OTHER = "(other)"


class UsageService:
    """See `services.Usage`."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._flush_s = settings.usage_flush_s
        self._bucket_s = settings.usage_bucket_s
        self._clock = clock or clock_lib.SystemClock()
        self._metrics = metrics_lib.connect(settings.statsd_address)
        self._lock = threading.Lock()
        self._sums: dict[ledger.Group, list[int]] = {}
        self._uncounted = 0
        # A source's batches go one after the other, from one thread.
        self._flush_lock = threading.Lock()
        self._outstanding: ledger.Batch | None = None
        self._sequence = 0
        self._run_number = 1
        self._sent_wall_s = 0.0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="usage", daemon=True
        )

    def start(self) -> None:
        """Finds the other services and begins to hand sums over."""
        self.connect()
        operators = self._kernel.find(
            services.OPERATORS, services.OperatorRoutes
        )
        operators.route("GET", "/v1/usage", self._report.serve)
        self._thread.start()

    def connect(self) -> None:
        """Finds the other services without beginning to work."""
        find = self._kernel.find
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self._peers = find(services.PEERS, services.Peers)
        keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._folder = folding.Folder(
            keyvalue, self._clock, self._membership.is_listed
        )
        self._report = report.Report(keyvalue, self._membership, self._clock)
        self._peers.understand(ledger.Taken)
        self._peers.handle(ledger.Batch, self._on_batch)
        self._head = ledger.head_of(
            self._membership.own().failure_domain, self._membership.own().vm
        )

    def stop(self, grace_s: float) -> None:
        """Folds what is left without a peer, for at most `grace_s`."""
        self._stopping.set()
        grace_s = min(grace_s, _LAST_FLUSH_S)
        deadline_s = self._clock.monotonic_s() + grace_s
        if self._thread.is_alive():
            self._thread.join(grace_s)
        # At least once, even if what stopped before took the whole grace:
        # else a planned stop would lose what a few milliseconds can keep.
        while not self.flush(is_last=True):
            if self._outstanding is None:
                continue
            if self._clock.monotonic_s() >= deadline_s:
                break
            self._clock.sleep_s(min(0.2, grace_s / 10))
        else:
            return
        _log.warning("Stopped with %d rows of usage unfolded.", len(self._sums))

    def dump(self) -> Any:
        """Returns what is not durable yet."""
        with self._lock:
            outstanding = self._outstanding
            return {
                "source": self._source(),
                "rows_in_memory": len(self._sums),
                "batches_made": self._sequence,
                "rows_outstanding": len(outstanding.rows) if outstanding else 0,
                "batches_to_fold": self._folder.waiting(),
                "uncounted": self._uncounted,
            }

    def record(self, event: services.UsageEvent) -> None:
        """See `services.Usage`."""
        bucket_s = int(event.wall_s - event.wall_s % self._bucket_s)
        customer = ledger.Group(
            "customer",
            event.customer[:_MAX_NAME_CHARACTERS],
            bucket_s,
            event.work_class,
            event.model[:_MAX_NAME_CHARACTERS],
            event.outcome[:_MAX_NAME_CHARACTERS],
        )
        with self._lock:
            self._count(customer, event)
            if event.upstream:
                name = event.upstream[:_MAX_NAME_CHARACTERS]
                self._count(
                    customer._replace(kind="upstream", name=name), event
                )

    def flush(self, is_last: bool = False) -> bool:
        """Hands over a batch, folds and closes; true if nothing is left."""
        with self._flush_lock:
            self._make_batch()
            chosen = self._chosen(self._head, is_last)
            self._hand_over(chosen)
            self._folder.fold()
            if chosen == self._membership.own().vm:
                # It was folded here just now, so it need not wait.
                self._hand_over(chosen)
            if not is_last:
                self._close()
            with self._lock:
                return not self._sums and self._outstanding is None

    def _run(self) -> None:
        while not self._stopping.wait(self._flush_s):
            try:
                self.flush()
            except Exception:  # noqa: BLE001 - the next round may succeed.
                _log.exception("A round of handing usage over failed.")

    def _count(self, group: ledger.Group, event: services.UsageEvent) -> None:
        sums = self._sums.get(group)
        if sums is None and len(self._sums) >= _MAX_ROWS:
            # A long outage, or callers that make up names of models.
            group = group._replace(model=_OTHER, bucket_s=self._coarse(group))
            sums = self._sums.get(group)
        if sums is None:
            if len(self._sums) >= 2 * _MAX_ROWS:
                self._uncounted += 1
                return
            sums = self._sums[group] = [0, 0, 0]
        sums[0] += 1
        sums[1] += event.prompt_tokens
        sums[2] += event.completion_tokens

    def _coarse(self, group: ledger.Group) -> int:
        coarse_s = max(3600, self._bucket_s)
        return group.bucket_s - group.bucket_s % coarse_s

    def _source(self) -> str:
        own = self._membership.own().vm
        run = f"{self._membership.incarnation()}.{self._run_number}"
        return f"{own}/{run}"

    def _make_batch(self) -> None:
        now_s = self._clock.wall_s()
        with self._lock:
            if self._outstanding is not None:
                return
            is_idle = now_s - self._sent_wall_s < _IDLE_BATCH_S
            if not self._sums and is_idle:
                return
            groups = list(self._sums)[: ledger.MAX_BATCH_ROWS]
            rows = tuple(
                ledger.Row(*group, *self._sums.pop(group)) for group in groups
            )
            # If rows are left behind, the sums are not complete up to now.
            until_s = self._sent_wall_s if self._sums else now_s
            self._sequence += 1
            self._sent_wall_s = until_s
            self._outstanding = ledger.Batch(
                self._head,
                self._source(),
                self._sequence,
                until_s,
                rows,
                self._uncounted,
            )
        self._send_metrics(rows)

    def _send_metrics(self, rows: tuple[ledger.Row, ...]) -> None:
        """Sends the sums of a batch: a few packets, however many requests."""
        counts: collections.Counter[str] = collections.Counter()
        for row in rows:
            if row.kind != "customer":
                continue
            work_class = row.work_class
            counts[f"requests.{work_class}.{row.outcome}"] += row.requests
            counts[f"tokens.{work_class}.prompt"] += row.prompt_tokens
            counts[f"tokens.{work_class}.completion"] += row.completion_tokens
        for name, count in counts.items():
            self._metrics.increment(name, count)

    def _chosen(self, head: str, is_last: bool) -> str:
        own = self._membership.own()
        if is_last:
            return own.vm
        names = [
            row.vm
            for row in self._membership.entry_vms()
            if row.failure_domain == own.failure_domain
            and not self._membership.is_leaving(row.vm)
        ]
        return rendezvous.rank(head, names or [own.vm])[0]

    def _hand_over(self, chosen: str) -> None:
        batch = self._outstanding
        if batch is None:
            return
        answer = self._peers.call(chosen, batch, _CALL_TIMEOUT_S)
        taken = answer.unwrap_or(None)
        if not isinstance(taken, ledger.Taken):
            # Cut off from it, or it is gone: any VM may fold, so this does.
            taken = self._folder.offer(batch)
        with self._lock:
            if taken.sequence >= batch.sequence:
                self._outstanding = None
            elif taken.is_refused:
                self._begin_anew(batch)

    def _begin_anew(self, batch: ledger.Batch) -> None:
        """Goes on as a new source after the head forgot this one.

        Whether the batch was folded before is not known any more; leaving
        it out can lose it, but sending it anew could count it twice.
        """
        _log.error("Left out %d rows of usage.", len(batch.rows))
        self._uncounted += sum(
            row.requests for row in batch.rows if row.kind == "customer"
        )
        self._outstanding = None
        self._run_number += 1
        self._sequence = 0

    def _on_batch(self, vm: str, batch: ledger.Batch) -> ledger.Taken:
        del vm
        return self._folder.offer(batch)

    def _close(self) -> None:
        own = self._membership.own()
        for head in ledger.heads_of(own.failure_domain):
            if self._chosen(head, is_last=False) == own.vm:
                self._folder.close(head)

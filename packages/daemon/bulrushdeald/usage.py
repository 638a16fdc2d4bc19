"""Counts requests and tokens and makes the sums durable, each exactly once.

A VM sums its events in memory. Every `usage_flush_s` seconds it sends them as
a numbered batch to one VM of its failure domain, which folds the batch into a
record of the platform's key-value service. A batch is sent again until it is
known to be durable. A lost VM thus loses only the sums that it had not handed
over, at most those of the last few seconds, and the usage report states up to
which time each VM's sums are included.
"""

import collections
import threading
from typing import Any

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import metrics as metrics_lib
from bulrushdeal import threads
from bulrushdeald import defaults
from bulrushdeald import folding
from bulrushdeald import ledger
from bulrushdeald import rendezvous
from bulrushdeald import report
from bulrushdeald import services

_log = logs.Log("usage")
_CALL_TIMEOUT_S = 2.0
# An idle VM still sends a batch this often, to show that it is alive.
_IDLE_BATCH_S = 60.0
# Bounds the memory that a long outage takes, at about 300 bytes per row. Beyond
# it events are counted in coarser groups, up to twice as many rows.
_MAX_ROWS = 50_000
_MAX_NAME_CHARACTERS = 64
# Limits how long a planned stop tries to store the last sums while the platform
# is unavailable.
_LAST_FLUSH_S = 10.0
_OTHER_MODELS = "(other)"


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
        # A source sends its batches one after the other, from one thread at a
        # time.
        self._flush_lock = threading.Lock()
        self._outstanding: ledger.Batch | None = None
        self._sequence = 0
        self._run_number = 1
        self._sums_until_wall_s = 0.0
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Connects to the other services and starts to flush periodically."""
        self.connect()
        operators = self._kernel.find(
            services.OPERATORS, services.OperatorRoutes
        )
        operators.route("GET", "/v1/usage", self._report.serve)
        self._thread = threads.start(self._run, "usage")

    def connect(self) -> None:
        """Connects to the other services without starting the flush thread."""
        find = self._kernel.find
        self._membership = find(services.MEMBERSHIP, services.Membership)
        self._peers = find(services.PEERS, services.Peers)
        keyvalue = find(services.KEYVALUE, services.KeyValue)
        self._folder = folding.Folder(
            keyvalue, self._clock, self._membership.is_listed
        )
        self._report = report.Report(keyvalue, self._membership, self._clock)
        self._peers.register_answers(ledger.Taken)
        self._peers.register_handler(ledger.Batch, self._on_batch)
        self._head = ledger.head_of(
            self._membership.own_vm().failure_domain,
            self._membership.own_vm().vm,
        )

    def stop(self, grace_s: float) -> None:
        """Folds the remaining sums on this VM, in `grace_s` seconds at most."""
        self._stopping.set()
        grace_s = min(grace_s, _LAST_FLUSH_S)
        deadline_s = self._clock.monotonic_s() + grace_s
        if self._thread is not None:
            self._thread.join(grace_s)
        # Flushes at least once, even if the services that stopped before used
        # up the grace period: otherwise a planned stop would lose sums that a
        # few milliseconds can save.
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
        """Returns the state of the sums that are not durable yet."""
        with self._lock:
            outstanding = self._outstanding
            return {
                "source": self._source(),
                "rows_in_memory": len(self._sums),
                "batches_made": self._sequence,
                "rows_outstanding": len(outstanding.rows) if outstanding else 0,
                "batches_to_fold": self._folder.pending_count(),
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
        """Hands over a batch, folds pending batches and closes due heads.

        Args:
            is_last: Whether the VM is stopping. The batch is then folded on
                this VM, and no heads are closed.

        Returns:
            Whether no sums are left to hand over.
        """
        with self._flush_lock:
            self._make_batch()
            folding_vm = self._folding_vm(self._head, is_last)
            self._hand_over(folding_vm)
            self._folder.fold()
            if folding_vm == self._membership.own_vm().vm:
                # The batch has just been folded here, so this call learns that
                # it is durable without waiting for the next flush.
                self._hand_over(folding_vm)
            if not is_last:
                self._close_heads()
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
            # Either an outage is long, or callers make up model names.
            group = group._replace(
                model=_OTHER_MODELS, bucket_s=self._coarse_bucket_s(group)
            )
            sums = self._sums.get(group)
        if sums is None:
            if len(self._sums) >= 2 * _MAX_ROWS:
                self._uncounted += 1
                return
            sums = self._sums[group] = [0, 0, 0]
        sums[0] += 1
        sums[1] += event.prompt_tokens
        sums[2] += event.completion_tokens

    def _coarse_bucket_s(self, group: ledger.Group) -> int:
        coarse_s = max(3600, self._bucket_s)
        return group.bucket_s - group.bucket_s % coarse_s

    def _source(self) -> str:
        own = self._membership.own_vm().vm
        run = f"{self._membership.incarnation()}.{self._run_number}"
        return f"{own}/{run}"

    def _make_batch(self) -> None:
        now_s = self._clock.wall_s()
        with self._lock:
            if self._outstanding is not None:
                return
            is_idle = now_s - self._sums_until_wall_s < _IDLE_BATCH_S
            if not self._sums and is_idle:
                return
            groups = list(self._sums)[: ledger.MAX_BATCH_ROWS]
            rows = tuple(
                ledger.Row(*group, *self._sums.pop(group)) for group in groups
            )
            # If rows remain, the batches are not complete up to now.
            until_s = self._sums_until_wall_s if self._sums else now_s
            self._sequence += 1
            self._sums_until_wall_s = until_s
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
        """Sends a batch's sums as metrics.

        That takes a few packets, however many requests the batch covers.
        """
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

    def _folding_vm(self, head: str, is_last: bool) -> str:
        own = self._membership.own_vm()
        if is_last:
            return own.vm
        names = [
            row.vm
            for row in self._membership.entry_vms()
            if row.failure_domain == own.failure_domain
            and not self._membership.is_leaving(row.vm)
        ]
        return rendezvous.rank(head, names or [own.vm])[0]

    def _hand_over(self, folding_vm: str) -> None:
        batch = self._outstanding
        if batch is None:
            return
        reply = self._peers.call(folding_vm, batch, _CALL_TIMEOUT_S)
        answer = reply.unwrap_or(None)
        if not isinstance(answer, ledger.Taken):
            # The other VM is lost or out of reach. Any VM may fold a batch, so
            # this one does.
            answer = self._folder.offer(batch)
        with self._lock:
            if answer.sequence >= batch.sequence:
                self._outstanding = None
            elif answer.is_refused:
                self._restart_source(batch)

    def _restart_source(self, batch: ledger.Batch) -> None:
        """Starts a new source after the head has forgotten this one.

        It is unknown whether the batch was folded before. Leaving it out may
        lose it, but sending it as a new batch could count it twice.
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

    def _close_heads(self) -> None:
        own = self._membership.own_vm()
        for head in ledger.heads_of(own.failure_domain):
            if self._folding_vm(head, is_last=False) == own.vm:
                self._folder.close(head)

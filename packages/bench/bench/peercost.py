"""Measures the cost of calls between VMs: `python -m bench.peercost`.

Runs the peer services of one VM and its partners in this process. The VM and
each partner call each other at a fixed rate. Prints the processor time per
call, both ends together, and the memory and threads per connection end.
"""

import argparse
from collections.abc import Sequence
import os
import pathlib
import threading
import time
from typing import Any, cast, NamedTuple

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import peers
from bulrushdeald import services
from standins import fleet as fleet_lib

_TIMEOUT_S = 5.0


class Ask(NamedTuple):
    """A request about as large as a report of in-flight counts."""

    counts: tuple[tuple[str, int, int], ...]


class Answer(NamedTuple):
    """An answer about as large as the totals that answer such a report."""

    counts: tuple[tuple[str, int, int], ...]


MESSAGE = Ask(tuple((f"engine-{number}", 3, 2) for number in range(5)))


class Row(NamedTuple):
    """One line of the table.

    Attributes:
        partners: VMs that call the first VM and are called by it.
        connections: Connections between them, one for each direction.
        calls_per_s: Calls made per second.
        failed: Calls without an answer.
        ms_a_call: Processor time per call of both ends together.
        kb_an_end: Memory per end of a connection.
        threads_an_end: Threads per end of a connection.
    """

    partners: int
    connections: int
    calls_per_s: float
    failed: int
    ms_a_call: float
    kb_an_end: float
    threads_an_end: float


class _Membership:
    """A fixed list of VMs."""

    def __init__(self, own: records.Vm, rows: Sequence[records.Vm]) -> None:
        self._own = own
        self._rows = tuple(rows)

    def start(self) -> None:
        """See `kernel.Service`."""

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""

    def dump(self) -> Any:
        """See `kernel.Service`."""

    def own_vm(self) -> records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return f"run-of-{self._own.vm}"

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        return self._rows


def make_peers(
    own: records.Vm, rows: Sequence[records.Vm]
) -> peers.WebsocketPeers:
    """Returns the peer service of one VM, which answers `Ask` messages."""
    flags = {
        "vm": own.vm,
        "failure-domain": own.failure_domain,
        "callers-address": "127.0.0.1:0",
        "operators-address": "127.0.0.1:0",
        "peers-address": own.peer_address,
        "platform-address": "127.0.0.1:1",
        "operator-token": "bench",
    }
    kernel = kernel_lib.Kernel()
    membership = _Membership(own, rows)
    kernel.register(services.MEMBERSHIP, cast(kernel_lib.Service, membership))
    peer_service = peers.WebsocketPeers(kernel, defaults.read(flags, {}))
    peer_service.register_answers(Answer)
    peer_service.register_handler(
        Ask, services.InlineHandler(lambda vm, message: Answer(message.counts))
    )
    return peer_service


def _free_addresses(count: int) -> list[str]:
    found: set[str] = set()
    while len(found) < count:
        found.add(fleet_lib.free_address())
    return sorted(found)


def resident_kb() -> int:
    """Returns the resident memory of this process, in KiB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") // 1024


def make_vm_rows(partners: int, listed: int) -> list[records.Vm]:
    """Returns the rows of a list of VMs.

    Args:
        partners: Number of partners to run beside the first VM.
        listed: Least length of the list.

    Returns:
        The rows; only the last `partners + 1` have addresses to listen on.
    """
    addresses = _free_addresses(partners + 1)
    # VMs that do not run come first, so that a search from the front has to
    # pass them.
    addresses[:0] = ["127.0.0.1:1"] * max(0, listed - len(addresses))
    return [
        records.Vm(f"vm-{number}", "domain-0", "entry", address)
        for number, address in enumerate(addresses)
    ]


def measure(
    partners: int, listed: int, calls_per_s: float, duration_s: float
) -> Row:
    """Measures one size.

    Args:
        partners: Number of partners.
        listed: Least length of the list of VMs.
        calls_per_s: Calls per second, of all VMs together.
        duration_s: Measured time.
    """
    all_rows = make_vm_rows(partners, listed)
    rows = all_rows[-partners - 1 :]
    all_peers = [make_peers(row, all_rows) for row in rows]
    for peer_service in all_peers:
        peer_service.start()
    hub, others = all_peers[0], all_peers[1:]
    rss_kb, threads = resident_kb(), threading.active_count()
    for row, other in zip(rows[1:], others, strict=True):
        hub.call(row.vm, MESSAGE, _TIMEOUT_S).unwrap()
        other.call(rows[0].vm, MESSAGE, _TIMEOUT_S).unwrap()
    made = failed = 0
    start_s, spent_s = time.monotonic(), time.process_time()
    while time.monotonic() - start_s < duration_s:
        turn = made % partners
        if made // partners % 2:
            answer = others[turn].call(rows[0].vm, MESSAGE, _TIMEOUT_S)
        else:
            answer = hub.call(rows[turn + 1].vm, MESSAGE, _TIMEOUT_S)
        failed += answer.is_err()
        made += 1
        due_s = start_s + made / calls_per_s
        time.sleep(max(0.0, due_s - time.monotonic()))
    spent_s = time.process_time() - spent_s
    took_s = time.monotonic() - start_s
    ends = 4 * partners
    found = Row(
        partners,
        2 * partners,
        made / took_s,
        failed,
        1000 * spent_s / made,
        (resident_kb() - rss_kb) / ends,
        (threading.active_count() - threads) / ends,
    )
    for peer_service in all_peers:
        peer_service.stop(1.0)
    return found


def main() -> None:
    """Measures each size and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--partners", default="4,16,75")
    parser.add_argument("--calls-per-s", type=float, default=100.0)
    parser.add_argument("--duration-s", type=float, default=10.0)
    parser.add_argument(
        "--listed", type=int, default=0, help="VMs on the list, at least"
    )
    flags = parser.parse_args()
    logs.configure("error")
    print(f"load of the machine {os.getloadavg()[0]:.1f}")
    print("| " + " | ".join(Row._fields) + " |")
    print("|" + "---|" * len(Row._fields))
    for partners in map(int, flags.partners.split(",")):
        row = measure(
            partners, flags.listed, flags.calls_per_s, flags.duration_s
        )
        cells = [
            str(value) if isinstance(value, int) else f"{value:.3f}"
            for value in row
        ]
        print("| " + " | ".join(cells) + " |", flush=True)


if __name__ == "__main__":
    main()

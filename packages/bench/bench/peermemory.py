"""Measures the memory of a VM's connections: `python -m bench.peermemory`.

The VM's peer service runs alone in this process, and those of its partners
run in another, so that only the VM's ends of the connections are counted.
"""

import argparse
import json
import subprocess
import sys
import threading

from bench import peercost
from bulrushdeal import codec
from bulrushdeal import records

_TIMEOUT_S = 5.0
_ROUNDS = 10


def _exchange_line(child: subprocess.Popen[str], text: str) -> None:
    """Sends a line to the other process and waits for its answer.

    Raises:
        RuntimeError: The other process has ended.
    """
    assert child.stdin is not None
    assert child.stdout is not None
    print(text, file=child.stdin, flush=True)
    if not child.stdout.readline():
        raise RuntimeError("The partners' process has ended.")


def measure(partners: int) -> None:
    """Measures one size and prints it."""
    rows = peercost.make_vm_rows(partners, 0)
    hub = peercost.make_peers(rows[0], rows)
    hub.start()
    child = subprocess.Popen(
        [sys.executable, "-m", "bench.peermemory", "--child"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        _exchange_line(child, json.dumps(codec.to_object(rows)))
        kb, threads = peercost.resident_kb(), threading.active_count()
        for _ in range(_ROUNDS):
            for row in rows[1:]:
                hub.call(row.vm, peercost.MESSAGE, _TIMEOUT_S).unwrap()
            _exchange_line(child, "call")
        kb = peercost.resident_kb() - kb
        threads = threading.active_count() - threads
    finally:
        child.terminate()
        child.wait()
    ends = 2 * partners
    print(f"| {partners} | {ends} | {kb} | {kb / ends:.1f} | {threads} |")
    hub.stop(1.0)


def _run_partners() -> None:
    rows = tuple(
        codec.from_plain(records.Vm, row) for row in json.loads(input())
    )
    partners = [peercost.make_peers(row, rows) for row in rows[1:]]
    for partner in partners:
        partner.start()
    print("ready", flush=True)
    while input():
        for partner in partners:
            partner.call(rows[0].vm, peercost.MESSAGE, _TIMEOUT_S).unwrap()
        print("called", flush=True)


def main() -> None:
    """Measures each size and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--partners", default="4,16,40,75")
    parser.add_argument(
        "--child", action="store_true", help="run the partners; internal"
    )
    flags = parser.parse_args()
    if flags.child:
        _run_partners()
        return
    print("| partners | ends | KB in all | KB an end | threads |")
    print("|---|---|---|---|---|")
    for partners in map(int, flags.partners.split(",")):
        measure(partners)


if __name__ == "__main__":
    main()

"""Measures a VM's connections in memory: `python -m bench.peermemory`.

The VM's peers run alone in this process and those of its partners in another
one, so that only its own ends of the connections are counted.
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


def _line(child: subprocess.Popen[str], text: str) -> None:
    """Sends the other process a line and waits for its answer."""
    assert child.stdin is not None
    assert child.stdout is not None
    print(text, file=child.stdin, flush=True)
    if not child.stdout.readline():
        raise RuntimeError("The partners' process has ended.")


def measure(partners: int) -> None:
    """Measures one size and prints it."""
    rows = peercost.rows_of(partners, 0)
    hub = peercost.make(rows[0], rows)
    hub.start()
    child = subprocess.Popen(
        [sys.executable, "-m", "bench.peermemory", "--child"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        _line(child, json.dumps(codec.to_object(rows)))
        kb, threads = peercost.process_kb(), threading.active_count()
        for _ in range(_ROUNDS):
            for row in rows[1:]:
                hub.call(row.vm, peercost.MESSAGE, _TIMEOUT_S).unwrap()
            _line(child, "call")
        kb = peercost.process_kb() - kb
        threads = threading.active_count() - threads
    finally:
        child.terminate()
        child.wait()
    ends = 2 * partners
    print(f"| {partners} | {ends} | {kb} | {kb / ends:.1f} | {threads} |")
    hub.stop(1.0)


def _be_partners() -> None:
    rows = tuple(
        codec.from_plain(records.Vm, row) for row in json.loads(input())
    )
    others = [peercost.make(row, rows) for row in rows[1:]]
    for one in others:
        one.start()
    print("ready", flush=True)
    while input():
        for one in others:
            one.call(rows[0].vm, peercost.MESSAGE, _TIMEOUT_S).unwrap()
        print("called", flush=True)


def main() -> None:
    """Measures each size and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--partners", default="4,16,40,75")
    parser.add_argument("--child", action="store_true", help="for itself")
    flags = parser.parse_args()
    if flags.child:
        _be_partners()
        return
    print("| partners | ends | KB in all | KB an end | threads |")
    print("|---|---|---|---|---|")
    for partners in map(int, flags.partners.split(",")):
        measure(partners)


if __name__ == "__main__":
    main()

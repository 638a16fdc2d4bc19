"""A machine that got SIGTERM takes requests that it cannot finish in time.

Clients hold kept connections to a machine, each idle for some seconds. It gets
SIGTERM. Later than 3 s after that, each client sends one stream request, of at
most 4.4 s of the 5 s that its route and its deadline allow.
"""

import pathlib
import signal
import subprocess
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as lib  # noqa: E402

# When clients send, in seconds after the SIGTERM: later than the 3 s that the
# rule excuses.
SEND_AT_S = [3.03 + 0.04 * n for n in range(30)]
GRACE_S = 8.0
# The largest stream of the sheet has 33 events; pauses may last 300 ms.
EVENTS = 33
PAUSE_S = 0.13
ALLOWED_S = 5.0


def case(world):
    world.put(
        "op/config",
        lib.configuration(
            5,
            [
                lib.route(
                    "glossary-hint",
                    "/lohu930/",
                    "streaming",
                    "kitabu-lm",
                    session_affinity=True,
                    gap_aim_ms=300,
                ),
                lib.route("order-confirm", "/puxa403/", "safe", "oda-app",
                          timeout_ms=3000),
            ],
        ),
    )
    for n in range(6):
        world.add_replica(
            f"lm{n}",
            "kitabu-lm",
            f"z{n % 3 + 1}",
            events=EVENTS,
            pause_s=PAUSE_S,
        )
    world.add_replica("app1", "oda-app", "z1", slots=20)
    world.start_vms(["vm1", "vm2", "vm3"])
    time.sleep(4.0)
    vm = world.vms["vm1"]
    clients = [lib.Client(world, vm.front) for _ in SEND_AT_S]
    for n, client in enumerate(clients):
        row = client.ask("POST", "/puxa403/2f", f"warm{n}", b"order")
        if row["status"] != 200 or client.must_close:
            raise lib.CannotRun("a connection could not be kept")
    term_s = time.monotonic()
    if lib.TROUBLE:
        term_s = vm.signal(signal.SIGTERM)
    rows = []

    def send(n):
        time.sleep(max(0.0, term_s + SEND_AT_S[n] - time.monotonic()))
        rows.append(
            clients[n].ask(
                "POST", "/lohu930/2f", f"late{n}", b"words", lib.STREAM
            )
        )

    threads = [
        threading.Thread(target=send, args=(n,)) for n in range(len(clients))
    ]
    for thread in threads:
        thread.start()
    if lib.TROUBLE:
        try:
            vm.process.wait(GRACE_S - (time.monotonic() - term_s))
            world.note("ended", vm="vm1", after_s=time.monotonic() - term_s)
        except subprocess.TimeoutExpired:
            vm.signal(signal.SIGKILL)
    for thread in threads:
        thread.join(15)
    judge(world, rows, term_s)


def judge(world, rows, term_s):
    runs = {
        run["attempt"]: run
        for row in world.replicas.values()
        for run in row.runs
        if run["did"] == "ran"
    }
    for row in rows:
        run = runs.get(row["attempt"])
        if run is None or row["whole"]:
            continue
        took_s = row["ended_at"] - row["sent_at"]
        if took_s >= ALLOWED_S - 0.1 or row["sent_at"] - term_s <= 3.0:
            continue
        world.break_rule(
            f"{row['attempt']}: sent {row['sent_at'] - term_s:.2f} s after the "
            f"SIGTERM, passed on to {run['replica']}, cut after {took_s:.2f} s "
            f"of 5 s"
        )


lib.main(case, FOLDER)

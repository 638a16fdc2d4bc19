"""An entry of another writer is listed, and later a replica drains.

Each machine's thread that reads the list of replicas meets the entry, which is
removed again after three seconds. Then a replica reports that it is draining; requests must stop reaching it within
`drain_timeout_ms`.
"""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import world as lib  # noqa: E402

DRAIN_S = 2.0
# `born` is a whole number with more digits than a floating-point number holds.
ENTRY = (
    b'{"service": "oda-app", "address": "127.0.0.9:9", "zone": "z1", '
    b'"version": "1.0", "slots": 6, "state": "ready", '
    b'"cold_remaining_ms": 0, "sequence": 7, "born": 1%s}' % (b"0" * 400)
)


def case(world):
    world.put(
        "op/config",
        lib.configuration(
            5, [lib.route("order-confirm", "/puxa403/", "safe", "oda-app",
                          timeout_ms=3000, max_attempts=2)]
        ),
    )
    for n in range(3):
        world.add_replica(f"app{n}", "oda-app", f"z{n + 1}")
    world.start_vms(["vm1", "vm2", "vm3"])
    time.sleep(3.0)
    if lib.TROUBLE:
        world.put("servers/i-other", ENTRY)
    time.sleep(3.0)
    world.call(world.store.delete, "servers/i-other")
    world.note("deleted", key="servers/i-other")
    time.sleep(1.0)
    over = threading.Event()

    def clients(vm):
        n = 0
        client = lib.Client(world, vm.front)
        while not over.is_set():
            n += 1
            client.ask("POST", "/puxa403/2f", f"{vm.name}-{n}", b"order")
            time.sleep(0.1)

    threads = [
        threading.Thread(target=clients, args=(vm,))
        for vm in world.vms.values()
    ]
    for thread in threads:
        thread.start()
    time.sleep(2.0)
    replica = world.replicas["app0"]
    acknowledged_s = world.call(replica.drain)
    world.note("draining", replica="app0", acknowledged=world.at(acknowledged_s))
    time.sleep(8.0)
    over.set()
    for thread in threads:
        thread.join(10)
    late = [
        run
        for run in replica.runs
        if run["did"] != "421" and run["at"] > acknowledged_s + DRAIN_S
    ]
    if not replica.runs:
        raise lib.CannotRun("the replica got no request before it drained")
    for run in late:
        world.break_rule(
            f"{run['attempt']} reached app0 "
            f"{run['at'] - acknowledged_s:.2f} s after it was draining"
        )


lib.main(case, FOLDER)

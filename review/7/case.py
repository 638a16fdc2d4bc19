"""Items that no replica can do keep the items of other jobs from ever running."""

import base64
import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))

import standins  # noqa: E402

_MEMORY_TOKENS = 72000
_TOO_LARGE_TOKENS = 80000
_LARGE_ITEMS = 20
# Jobs of the same moment, so that one item in 13 is too large.
_OTHER_JOBS = 21
_ITEMS = 10
_HELD_ITEMS = 20
_EVENTS = 20
_FINISH_S = 18.0


class Engine(standins.Replica):
    """Runs items; rejects those that are larger than its memory."""

    guard = threading.Lock()
    runs: dict[str, int] = {}
    last_s: dict[str, float] = {}
    finished_s: list[float] = []

    def answer(self, sock, method, target, headers, body, attempt):
        read, made = headers.get("bulrushdeal-token-usage", "0,0").split(",")
        with Engine.guard:
            Engine.runs[attempt] = Engine.runs.get(attempt, 0) + 1
        self.record.add(f"{self.instance} gets {attempt} of {read} + {made} tokens")
        if int(read) + int(made) > _MEMORY_TOKENS:
            head = (
                f"HTTP/1.1 503 Full\r\nBulrushdeal-Not-Executed: 1\r\nBulrushdeal-Request-Attempt-Id: {attempt}\r\n"
                f"Bulrushdeal-Server-Load: {self.load()}\r\nContent-Length: 0\r\n\r\n"
            )
            sock.sendall(head.encode())
            return True
        sock.sendall(self.head(attempt, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        for number in range(int(headers.get("last-event-id", "0")) + 1, _EVENTS + 1):
            time.sleep(0.02)
            sock.sendall(standins.chunk(f"id: {number}\ndata: {attempt} word {number}\n\n".encode()))
            Engine.last_s[attempt] = time.monotonic()
        sock.sendall(b"0\r\n\r\n")
        Engine.finished_s.append(time.monotonic())
        return True


def submit(vm, record, job, count, tokens):
    items = [
        {
            "id": f"{job}-{index}",
            "path": "/b/1",
            "headers": {"Bulrushdeal-Model": "m", "Bulrushdeal-Token-Usage": f"{tokens},400"},
            "body": base64.b64encode(b"x").decode(),
            "tokens": tokens + 400,
        }
        for index in range(count)
    ]
    body = json.dumps({"items": items}).encode()
    status, _, _ = vm.call("POST", f"/b/{job}", body, Bulrushdeal_Request_Attempt_Id=job)
    record.add(f"submit {job} at {vm.name}, {count} items of {tokens} + 400 tokens: {status}")
    if status != 202:
        raise standins.CannotRun(f"submission answered {status}")


def main(record, folder, vms, has_trouble):
    ip = standins.free_ip()
    store = standins.Store(ip)
    store.put(
        "op/config",
        standins.configuration(
            [
                standins.route(
                    "batch", "/b/", "batch", "llm", retention_s=60, completion_target_ms=18000, max_attempts=3
                )
            ],
            [
                {
                    "name": "llm",
                    "health_check": "/healthz",
                    "max_connections": 160,
                    "engine": {"slots": 8, "kv_capacity_tokens": _MEMORY_TOKENS},
                }
            ],
        ),
    )
    for number, zone in enumerate(("z1", "z2", "z1")):
        Engine(store, ip, f"i-{number}", "llm", zone, 8, record)
    for name, zone in (("front-z1-1", "z1"), ("front-z2-1", "z2")):
        vms.append(standins.Vm(name, zone, store, folder))
        vms[-1].start()
    for vm in vms:
        vm.wait_ready()
    time.sleep(3.0)
    jobs = [f"k{number}" for number in range(_OTHER_JOBS)]
    for job in jobs:
        submit(vms[1], record, job, _ITEMS, 350)
    if has_trouble:
        submit(vms[0], record, "large", _LARGE_ITEMS, _TOO_LARGE_TOKENS)
    for job in ("j0", "j1"):
        submit(vms[0], record, job, _HELD_ITEMS, 350)
        jobs.append(job)
    # The traffic has ended; the jobs have finish_s more.
    end_s = time.monotonic() + _FINISH_S
    while time.monotonic() < end_s + 0.5:
        time.sleep(0.5)
    now_s = time.monotonic()
    missing = 0
    for job in jobs:
        listed, after = {}, 0
        for vm in (*vms, *vms):
            status, _, data = vm.call("GET", f"/lots/{job}?after={after}")
            if status == 200:
                page = json.loads(data)
                listed |= {row["id"]: row["state"] for row in page["results"]}
                after = page["next"]
        count = _HELD_ITEMS if job[0] == "j" else _ITEMS
        lost = [f"{job}-{index}" for index in range(count) if f"{job}-{index}" not in listed]
        states = sorted(listed.values())
        say = record.say if lost or job[0] == "j" else record.add
        say(
            f"read {job}: {len(listed)} of {count} listed, {states.count('completed')} completed; not listed: {lost}"
        )
        for item in lost:
            idle_s = now_s - Engine.last_s.get(item, 0.0)
            record.add(f"{item}: {Engine.runs.get(item, 0)} runs")
            missing += idle_s > 5.0
    last_s = now_s - max(Engine.finished_s, default=0.0)
    busy = sum(row > now_s - 5.0 for row in Engine.last_s.values())
    record.say(f"finish_s is over; the last run finished {last_s:.1f} s ago, {busy} items had by replicas in the last 5 s")
    return 1 if missing and last_s > 3.0 and not busy else 0


standins.run_case(main)

"""A replica: it registers in the store, runs requests and drains.

It answers as PROTOCOL.md says: the stamp and the attempt's id on each answer,
421 to a request meant for another instance, 503 with `Not-Executed` when full.
"""

import asyncio
import json
import time

from standins import http11


class Replica:
    """One replica of a service.

    Attributes:
        runs: Rows of what reached it: attempt, when, what it did.
        pause_s: The time between two events of a stream.
        events: The number of events in a stream.
        work_s: How long a request that is no stream takes.
    """

    def __init__(self, world, name, service, zone, slots=8):
        self.world = world
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.runs = []
        self.running = 0
        self.pause_s = 0.03
        self.events = 21
        self.work_s = 0.06
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = ""
        self.beating = None
        self.cold_ms = 0
        # Called with each request; may return an answer of its own.
        self.hook = None

    async def start(self):
        host = self.world.host("replica")
        self.server, self.address = await http11.serve(self.serve, host)
        self.register()
        self.beating = asyncio.ensure_future(self._beat())

    def entry(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "sequence": self.sequence,
            "born": self.born,
        }

    def register(self):
        self.world.store.put(f"servers/{self.name}", self.entry())

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.register()

    def drain(self):
        """Reports that it leaves; returns when the store has accepted it."""
        self.state = "draining"
        self.register()
        return time.monotonic()

    def _headers(self, attempt):
        return (
            ("Bulrushdeal-Request-Attempt-Id", attempt),
            ("Bulrushdeal-Server-Load", f"{self.running},0,{self.slots}"),
        )

    async def serve(self, request):
        if request.path == "/healthz":
            return http11.Answer(
                200 if self.state == "ready" else 503,
                (("Bulrushdeal-Instance-Id", self.name),),
            )
        if request.path == "/report":
            return http11.json_answer(404, {})
        attempt = request.headers.get("bulrushdeal-request-attempt-id", "")
        row = {
            "attempt": attempt,
            "at": time.monotonic(),
            "replica": self.name,
            "tenant": request.headers.get("bulrushdeal-tenant", ""),
            "target": request.target,
            "last_event": request.headers.get("last-event-id"),
            "did": "ran",
        }
        wanted = request.headers.get("bulrushdeal-expect-instance", self.name)
        if wanted != self.name:
            row["did"] = "421"
            self.runs.append(row)
            return http11.Answer(421, self._headers(attempt))
        if self.running >= self.slots + 24:
            row["did"] = "full"
            self.runs.append(row)
            return http11.Answer(
                503,
                (
                    *self._headers(attempt),
                    ("Bulrushdeal-Not-Executed", "1"),
                ),
            )
        self.runs.append(row)
        self.world.note("run", **row)
        if self.hook is not None:
            answer = await self.hook(self, request, row)
            if answer is not None:
                return answer
        signed = (
            *self._headers(attempt),
            ("Bulrushdeal-Server-Stamp", f"stamp.{self.name}.{attempt}"),
        )
        if "bulrushdeal-token-usage" in request.headers:
            pieces = self._stream(request, row)
            return http11.Answer(
                200,
                (*signed, ("Content-Type", "text/event-stream")),
                pieces=pieces,
            )
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        row["ended"] = time.monotonic()
        body = json.dumps({"attempt": attempt, "by": self.name}).encode()
        return http11.Answer(200, signed, body)

    def data(self, number):
        return f"piece {number}"

    async def _stream(self, request, row):
        first = int(request.headers.get("last-event-id", 0)) + 1
        self.running += 1
        try:
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.pause_s)
                # A replica drops a request when its connection closes.
                if request.writer.transport.is_closing():
                    raise ConnectionResetError
                text = f"id: {number}\ndata: {self.data(number)}\n\n"
                row["last_sent"] = number
                yield text.encode()
            row["ended"] = time.monotonic()
        finally:
            row["until"] = time.monotonic()
            self.running -= 1

"""The deployments that experiments run on: processes on loopback.

The profiles follow the two deployments of today: Kenya has three failure
domains with nine replicas of its textbook model, Taiwan four with six of its
assistant. Each has 8 customers of which a few are large. The engines' times
are assumed: 30 ms between tokens alone and 0.5 ms more for each stream.
"""

from collections.abc import Mapping
import json
import pathlib
import sys
import time
from typing import NamedTuple

import urllib3

from bench import load
from bench import spent
from standins import deployment as deployment_lib
from standins import fleet as fleet_lib

_ENGINE_FLAGS = (
    "--token-s=0.03",
    "--token-per-stream-s=0.0005",
    "--prefill-per-token-s=0.0002",
    "--stamps=1",
)
# Parts of the load by customer: a few are large.
_PARTS = (0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03)
_WARM_UP_S = 5.0
_AMPLE_RATE_PER_S = 10_000.0
# It ends by itself if nobody ends it.
_COMPUTE = """
import time
end_s = time.monotonic() + 300
while time.monotonic() < end_s:
    pass
"""


class Profile(NamedTuple):
    """What a deployment looks like.

    Attributes:
        failure_domains: How many.
        vms_per_domain: Entry VMs in each.
        engines: Replicas, spread over the failure domains.
        slots: Requests each runs at once without harm.
    """

    failure_domains: int
    vms_per_domain: int
    engines: int
    slots: int = 8


PROFILES = {
    "kenya": Profile(3, 2, 9),
    "taiwan": Profile(4, 2, 6),
    "small": Profile(2, 1, 2),
    # Many VMs choose among the same engines, by counts that are all stale.
    "crowd": Profile(1, 8, 6),
}


class Totals(NamedTuple):
    """What one engine, or all together, did so far."""

    started: int
    finished: int
    cancelled: int
    running: int
    prompt_tokens: int
    cached_tokens: int


class Control(NamedTuple):
    """What the daemons spent so far, all together.

    Attributes:
        messages: Sent between VMs.
        size_bytes: Of these messages, without frames and headers.
        processor_s: Processor time of the daemons, serving included.
        platform_calls: Calls of the platform's service.
    """

    messages: int
    size_bytes: int
    processor_s: float
    platform_calls: int


class Site:
    """A running deployment with customers, and the way to load it."""

    def __init__(
        self,
        fleet: fleet_lib.Fleet,
        profile: Profile,
        settings: Mapping[str, str],
    ) -> None:
        self.deployment = deployment_lib.Deployment(fleet)
        self._fleet = fleet
        self.profile = profile
        self.callers: list[load.Caller] = []
        self._settings = settings
        self._engines: list[str] = []
        self._pools = urllib3.PoolManager(retries=False)

    @property
    def slots(self) -> int:
        """All engines' slots."""
        return self.profile.engines * self.profile.slots

    @property
    def addresses(self) -> list[str]:
        """Where callers connect; the balancer is any choice of these."""
        return [daemon.callers for daemon in self.deployment.daemons]

    def start(self, rate_per_s: float) -> None:
        """Starts all processes and creates the customers.

        Args:
            rate_per_s: Mean arrivals a second, of all customers.
        """
        deployment = self.deployment
        deployment.start_platform()
        for domain in range(self.profile.failure_domains):
            for number in range(self.profile.vms_per_domain):
                deployment.start_daemon(
                    f"entry-{domain}-{number}",
                    f"domain-{domain}",
                    {"log-level": "warning", **self._settings},
                )
        for daemon in deployment.daemons:
            deployment.wait_started(daemon)
        for number in range(self.profile.engines):
            process = deployment.add_engine(
                f"engine-{number}",
                f"domain-{number % self.profile.failure_domains}",
                _ENGINE_FLAGS,
                self.profile.slots,
            )
            self._engines.append(process.address())
        for number, part in enumerate(_PARTS):
            name = f"customer-{number}"
            key = deployment.create_customer(name, _AMPLE_RATE_PER_S)
            self.callers.append(load.Caller(name, key, part * rate_per_s))
        for daemon in deployment.daemons:
            deployment.wait_ready(daemon)
        deployment.wait_in_force()
        self._warm_up()

    def _warm_up(self) -> None:
        """Lets peers connect and rates find their VMs before any phase."""
        time.sleep(2.0)
        arrivals = load.plan(
            self.callers, self.addresses, load.Shape(), _WARM_UP_S, 0
        )
        load.Run(arrivals).run()

    def keep_busy(self, processes: int) -> None:
        """Starts processes that compute until the run is over.

        They make a full machine of a quiet one, for figures that are said
        to depend on it.
        """
        for number in range(processes):
            self._fleet.start(
                f"busy-{number}", [sys.executable, "-c", _COMPUTE]
            )

    def set_row(self, customer: str, rate_per_s: float, burst: float) -> None:
        """Sets a customer's rate and burst, and waits until in force."""
        for column, value in (("rate_per_s", rate_per_s), ("burst", burst)):
            self.deployment.check(
                self.deployment.operate(
                    "table", "set", customer, column, f"{value:g}"
                )
            )
        self.deployment.wait_in_force()

    def submit(self, caller: load.Caller, items: int, max_tokens: int) -> str:
        """Submits a batch job and returns its id."""
        lines = "".join(_item(index, max_tokens) for index in range(items))
        address = self.addresses[hash(caller.customer) % len(self.addresses)]
        headers = {"Authorization": f"Bearer {caller.key}"}
        made = self._pools.request(
            "POST",
            f"http://{address}/v1/files",
            fields={
                "purpose": "batch",
                "file": ("items.jsonl", lines.encode(), "application/jsonl"),
            },
            headers=headers,
        )
        file_id = json.loads(made.data)["id"]
        job = self._pools.request(
            "POST",
            f"http://{address}/v1/batches",
            json={
                "input_file_id": file_id,
                "endpoint": "/v1/completions",
                "completion_window": "24h",
            },
            headers=headers,
        )
        return str(json.loads(job.data)["id"])

    def control(self) -> Control:
        """Returns what the daemons spent so far."""
        messages = size_bytes = 0
        processor_s = 0.0
        headers = deployment_lib.bearer(deployment_lib.OPERATOR_TOKEN)
        for daemon in self.deployment.daemons:
            dump = self.deployment.call(
                "GET", daemon.operators, "/v1/dump", headers=headers
            ).value()
            messages += dump["peers"]["sent_messages"]
            size_bytes += dump["peers"]["sent_bytes"]
            processor_s += daemon.process.processor_s()
        stats = self.deployment.must(
            "GET", self.deployment.platform, "/v1/stats"
        ).value()
        calls = sum(stats["calls"].values())
        return Control(messages, size_bytes, processor_s, calls)

    def meter(self) -> spent.Meter:
        """Begins to measure what all processes spend."""
        return spent.Meter(self._fleet)

    def totals(self) -> Totals:
        """Returns what all engines did so far."""
        columns = zip(*self.by_engine(), strict=True)
        return Totals(*(sum(column) for column in columns))

    def by_engine(self) -> list[Totals]:
        """Returns what each engine did so far."""
        found: list[Totals] = []
        for address in self._engines:
            stats = self.deployment.must("GET", address, "/v1/stats").value()
            found.append(Totals(*(int(stats[name]) for name in Totals._fields)))
        return found


def _item(index: int, max_tokens: int) -> str:
    item = {
        "custom_id": f"item-{index}",
        "method": "POST",
        "url": "/v1/completions",
        "body": {
            "model": "textbook",
            "prompt": f"Write quiz {index} on plumbing and the water cycle.",
            "max_tokens": max_tokens,
        },
    }
    return json.dumps(item) + "\n"


def run_folder() -> pathlib.Path:
    """Returns the folder that results are written to."""
    folder = pathlib.Path("bench-results")
    folder.mkdir(exist_ok=True)
    return folder

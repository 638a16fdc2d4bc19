"""The deployments that experiments run on, as processes on loopback.

The profiles follow the two current deployments: Kenya has three failure
domains with nine replicas of its textbook model, Taiwan has four with six
replicas of its assistant model. Each has 8 customers, of which a few are
large. The engines' times are assumptions: 30 ms between the tokens of a single
stream, and 0.5 ms more for each stream.
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
# Each customer's fraction of the load; a few customers are large.
_CUSTOMER_SHARES = (0.30, 0.25, 0.15, 0.10, 0.08, 0.05, 0.04, 0.03)
_WARM_UP_S = 5.0
_AMPLE_RATE_PER_S = 10_000.0
# Exits after 300 s in case it is not stopped.
_BUSY_LOOP_PROGRAM = """
import time
end_s = time.monotonic() + 300
while time.monotonic() < end_s:
    pass
"""


class Profile(NamedTuple):
    """The size of a deployment.

    Attributes:
        failure_domains: Number of failure domains.
        vms_per_domain: Entry VMs in each failure domain.
        engines: Number of engines, spread over the failure domains.
        slots: Requests that an engine runs at once without being overloaded.
    """

    failure_domains: int
    vms_per_domain: int
    engines: int
    slots: int = 8


PROFILES = {
    "kenya": Profile(3, 2, 9),
    "taiwan": Profile(4, 2, 6),
    "small": Profile(2, 1, 2),
    # Many VMs choose among the same engines, each by outdated counts of the
    # others' requests.
    "crowd": Profile(1, 8, 6),
}


class EngineTotals(NamedTuple):
    """The counters of one engine, or the sums over all, since their start.

    The field names are the keys of the stand-in engine's `/v1/stats`.
    """

    started: int
    finished: int
    cancelled: int
    running: int
    prompt_tokens: int
    cached_tokens: int


class DaemonTotals(NamedTuple):
    """What all daemons together have used since their start.

    Attributes:
        messages: Messages sent between VMs.
        size_bytes: Size of these messages without frames and headers.
        processor_s: Processor time, that of serving requests included.
        platform_calls: Calls to the platform.
    """

    messages: int
    size_bytes: int
    processor_s: float
    platform_calls: int


class Site:
    """A running deployment with customers.

    Attributes:
        deployment: The processes.
        profile: The size of the deployment.
        callers: The customers with their keys and rates; empty until
            `start`.
    """

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
        """The slots of all engines together."""
        return self.profile.engines * self.profile.slots

    @property
    def addresses(self) -> list[str]:
        """The callers' addresses of all VMs.

        A random choice among them stands in for the load balancer.
        """
        return [daemon.callers for daemon in self.deployment.daemons]

    def start(self, rate_per_s: float) -> None:
        """Starts all processes, creates the customers and warms up.

        Args:
            rate_per_s: Mean arrivals per second of all customers together.
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
        for number, share in enumerate(_CUSTOMER_SHARES):
            name = f"customer-{number}"
            key = deployment.create_customer(name, _AMPLE_RATE_PER_S)
            self.callers.append(load.Caller(name, key, share * rate_per_s))
        for daemon in deployment.daemons:
            deployment.wait_ready(daemon)
        deployment.wait_in_force()
        self._warm_up()

    def _warm_up(self) -> None:
        """Sends requests so that peers connect and the limits spread rates."""
        time.sleep(2.0)
        arrivals = load.plan(
            self.callers, self.addresses, load.Shape(), _WARM_UP_S, 0
        )
        load.Run(arrivals).run()

    def start_busy_processes(self, processes: int) -> None:
        """Starts processes that use processor time until the run is over.

        They load an idle machine, to measure figures that may depend on the
        machine's load.
        """
        for number in range(processes):
            self._fleet.start(
                f"busy-{number}", [sys.executable, "-c", _BUSY_LOOP_PROGRAM]
            )

    def set_row(self, customer: str, rate_per_s: float, burst: float) -> None:
        """Sets a customer's rate and burst and waits until they apply."""
        for column, value in (("rate_per_s", rate_per_s), ("burst", burst)):
            self.deployment.check(
                self.deployment.operate(
                    "table", "set", customer, column, f"{value:g}"
                )
            )
        self.deployment.wait_in_force()

    def submit(self, caller: load.Caller, items: int, max_tokens: int) -> str:
        """Submits a batch job and returns its id.

        Args:
            caller: The customer.
            items: Number of items.
            max_tokens: Tokens requested per item.
        """
        lines = "".join(_item_line(index, max_tokens) for index in range(items))
        address = self.addresses[hash(caller.customer) % len(self.addresses)]
        headers = {"Authorization": f"Bearer {caller.key}"}
        upload = self._pools.request(
            "POST",
            f"http://{address}/v1/files",
            fields={
                "purpose": "batch",
                "file": ("items.jsonl", lines.encode(), "application/jsonl"),
            },
            headers=headers,
        )
        file_id = json.loads(upload.data)["id"]
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

    def daemon_totals(self) -> DaemonTotals:
        """Returns what the daemons have used since their start."""
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
        return DaemonTotals(messages, size_bytes, processor_s, calls)

    def meter(self) -> spent.Meter:
        """Starts to measure the processor use of all processes."""
        return spent.Meter(self._fleet)

    def engine_totals(self) -> EngineTotals:
        """Returns the sums of the counters of all engines."""
        columns = zip(*self.totals_by_engine(), strict=True)
        return EngineTotals(*(sum(column) for column in columns))

    def totals_by_engine(self) -> list[EngineTotals]:
        """Returns the counters of each engine."""
        found: list[EngineTotals] = []
        for address in self._engines:
            stats = self.deployment.must("GET", address, "/v1/stats").value()
            found.append(
                EngineTotals(
                    *(int(stats[name]) for name in EngineTotals._fields)
                )
            )
        return found


def _item_line(index: int, max_tokens: int) -> str:
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


def results_folder() -> pathlib.Path:
    """Returns the folder for results, which it creates if missing."""
    folder = pathlib.Path("bench-results")
    folder.mkdir(exist_ok=True)
    return folder

"""Measures the cost of the control services by number of VMs and customers.

Runs the control services of several VMs in this process against the stand-in
platform in another process. Prints a table of platform calls per second,
bytes per second between VMs, processor time, and the time from a
configuration edit until it is in force on all VMs. With `--pages`, prints the
memory and page sizes of customers instead.
"""

import random
import resource
import signal
import socket
import statistics
import subprocess
import sys
import time
from typing import Any, ClassVar, NamedTuple

from cleo import application
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import argv_input
from cleo.io.inputs import option as option_lib
import urllib3

from bench import pagecost
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import defaults
from bulrushdeald import keyvalue
from bulrushdeald import membership
from bulrushdeald import pages
from bulrushdeald import peers
from bulrushdeald import services
from bulrushdeald import vmlist

_DOMAINS = 4
_SETTLE_S = 3.0
_AGE_SAMPLE_PERIOD_S = 0.25
_START_TIMEOUT_S = 60.0


class Sample(NamedTuple):
    """The counters of all VMs and of the platform at one time."""

    at_s: float
    cpu_s: float
    calls: dict[str, int]
    platform_bytes: int
    sent_bytes: int
    messages: int


class Row(NamedTuple):
    """One line of the table.

    Attributes:
        vms: Number of VMs, spread over four failure domains.
        customers: Number of customers, each with two keys.
        calls_per_s: Platform calls per second from all VMs together.
        watches_per_s: The part of `calls_per_s` that are watches.
        lists_per_s: The part of `calls_per_s` that read the VM list.
        platform_bytes_per_s: Bytes per second in the bodies to and from the
            platform, for all VMs together.
        peer_bytes_per_s: Bytes per second that each VM sends to its peers.
        messages_per_s: Messages per second that each VM sends to its peers.
        cpu_percent: Processor time per VM, in percent of one core.
        median_ms: Median time from the start of an edit until it is in force
            on all VMs.
        worst_ms: Longest such time.
        worst_age_s: Greatest age of a VM's configuration, as the operators'
            status shows it, sampled four times per second.
        peak_rss_mb: Peak resident memory of this process, which holds all
            VMs and those of the earlier rows.
    """

    vms: int
    customers: int
    calls_per_s: float
    watches_per_s: float
    lists_per_s: float
    platform_bytes_per_s: float
    peer_bytes_per_s: float
    messages_per_s: float
    cpu_percent: float
    median_ms: float
    worst_ms: float
    worst_age_s: float
    peak_rss_mb: float


class ControlNode:
    """The control services of one VM."""

    def __init__(
        self, vm: str, failure_domain: str, platform: str, seed: str
    ) -> None:
        flags = {
            "vm": vm,
            "failure-domain": failure_domain,
            "callers-address": "127.0.0.1:0",
            "operators-address": "127.0.0.1:0",
            "peers-address": _free_address(),
            "platform-address": platform,
            "operator-token": "bench",
            "peer-seeds": seed,
        }
        self.settings = defaults.read(flags, {})
        self.kernel = kernel_lib.Kernel()
        self.keyvalue = keyvalue.HttpKeyValue(self.kernel, self.settings)
        self.peers = peers.WebsocketPeers(self.kernel, self.settings)
        self.config = config.ConfigService(self.kernel, self.settings)
        self.kernel.register(services.KEYVALUE, self.keyvalue)
        self.kernel.register(
            services.MEMBERSHIP,
            membership.PlatformMembership(self.kernel, self.settings),
        )
        self.kernel.register(services.PEERS, self.peers)
        self.kernel.register(
            vmlist.NAME, vmlist.VmListFeed(self.kernel, self.settings)
        )
        self.kernel.register(services.CONFIG, self.config)


def _free_address() -> str:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


class Experiment:
    """Several VMs, their customers, and the stand-in platform."""

    def __init__(
        self, vms: int, customers: int, cut_domains: int = 0, seed: int = 1
    ) -> None:
        self._random = random.Random(seed)
        self._customers = customers
        self._worst_age_s = 0.0
        self._process = subprocess.Popen(
            [sys.executable, "-m", "standins.platform"],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self._platform = self._process.stdout.readline().split()[-1]
        self._http = urllib3.PoolManager(retries=False)
        self._nodes: list[ControlNode] = []
        for number in range(vms):
            self._nodes.append(self._make_node(number, cut_domains))
        # An edit needs the platform, so only VMs that reach it make edits.
        self._editing = [
            node
            for node in self._nodes
            if node.settings.platform_address == self._platform
        ]

    def _make_node(self, number: int, cut_domains: int) -> ControlNode:
        domain = number % _DOMAINS
        # The last domains are cut off: nothing listens on the platform
        # address that their VMs get.
        is_cut = domain >= _DOMAINS - cut_domains
        seed = self._nodes[0].settings.peers_address if self._nodes else ""
        return ControlNode(
            f"vm-{number}",
            f"domain-{domain}",
            _free_address() if is_cut else self._platform,
            seed,
        )

    def start(self) -> None:
        """Lists the VMs, stores the customers and waits until VMs are ready.

        Raises:
            TimeoutError: A VM was not ready after 60 s.
        """
        for node in self._nodes:
            row = records.Vm(
                node.settings.vm,
                node.settings.failure_domain,
                "entry",
                node.settings.peers_address,
            )
            self._http.request(
                "PUT",
                f"http://{self._platform}/v1/vms/{row.vm}",
                json=row._asdict(),
            )
        for key, page in pagecost.make_pages(self._customers).items():
            self._nodes[0].keyvalue.put(key, pages.encode(page), 0).unwrap()
        for node in self._nodes:
            node.kernel.start()
        end_s = time.monotonic() + _START_TIMEOUT_S
        while not all(node.config.is_ready() for node in self._nodes):
            if time.monotonic() > end_s:
                raise TimeoutError("Not all VMs became ready.")
            time.sleep(0.05)
        time.sleep(_SETTLE_S)

    def stop(self) -> None:
        """Stops the VMs and the platform."""
        for node in self._nodes:
            node.kernel.stop(0.1)
        self._process.terminate()
        self._process.wait()

    def run(self, duration_s: float, edits_per_s: float) -> Row:
        """Makes edits at a fixed rate and returns the measured costs.

        Args:
            duration_s: Length of the run.
            edits_per_s: Edits started per second.
        """
        before = self._sample()
        delays_ms: list[float] = []
        end_s = before.at_s + duration_s
        next_s = before.at_s
        while time.monotonic() < end_s:
            delays_ms.append(self._edit())
            next_s += 1.0 / edits_per_s
            while time.monotonic() < min(next_s, end_s):
                self._sample_age()
                time.sleep(_AGE_SAMPLE_PERIOD_S)
        return self._row(before, self._sample(), delays_ms)

    def _sample_age(self) -> None:
        ages_s = [node.config.gossip.age_s() for node in self._nodes]
        self._worst_age_s = max(self._worst_age_s, *ages_s)

    def _edit(self) -> float:
        """Changes a random row at a random VM.

        Returns:
            The time until the change is in force on all VMs, in ms.
        """
        node = self._random.choice(self._editing)
        name = f"customer-{self._random.randrange(self._customers)}"
        key = pages.customer_key(name)
        began_s = time.monotonic()
        entry = node.keyvalue.get(key).unwrap()
        assert entry is not None
        page = pages.decode(entry.value)
        rows = {row.customer: row for row in page.customers}
        rows[name] = rows[name]._replace(weight=self._random.uniform(1, 9))
        page = page._replace(customers=tuple(rows[n] for n in sorted(rows)))
        put = node.keyvalue.put(key, pages.encode(page), entry.revision)
        node.config.put_written_page(key, put.unwrap(), page)
        waiting = list(self._nodes)
        while waiting:
            waiting = [
                node
                for node in waiting
                if (held := node.config.page(key)) is None
                or held.revision < put.unwrap()
            ]
            time.sleep(0.002)
        return (time.monotonic() - began_s) * 1000

    def _sample(self) -> Sample:
        stats = self._http.request(
            "GET", f"http://{self._platform}/v1/stats"
        ).json()
        traffic = [node.peers.dump() for node in self._nodes]
        return Sample(
            time.monotonic(),
            time.process_time(),
            stats["calls"],
            stats["bytes"],
            sum(dump["sent_bytes"] for dump in traffic),
            sum(dump["sent_messages"] for dump in traffic),
        )

    def _row(
        self, before: Sample, after: Sample, delays_ms: list[float]
    ) -> Row:
        took_s = after.at_s - before.at_s
        vms = len(self._nodes)

        def rate(kind: str) -> float:
            count = after.calls.get(kind, 0) - before.calls.get(kind, 0)
            return count / took_s

        kinds = set(after.calls) | set(before.calls)
        return Row(
            vms,
            self._customers,
            sum(map(rate, kinds)),
            rate("watch"),
            rate("vms"),
            (after.platform_bytes - before.platform_bytes) / took_s,
            (after.sent_bytes - before.sent_bytes) / took_s / vms,
            (after.messages - before.messages) / took_s / vms,
            100 * (after.cpu_s - before.cpu_s) / took_s / vms,
            statistics.median(delays_ms),
            max(delays_ms),
            self._worst_age_s,
            resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000,
        )


class ControlCommand(command.Command):
    """Prints the cost of the control services."""

    name = "control"
    description = "Measure the control services as VMs and customers grow."
    options: ClassVar[list[option_lib.Option]] = [
        option("vms", default="4,8,16,32", flag=False),
        option("customers", default="100", flag=False),
        option("duration-s", default="20", flag=False),
        option("edits-per-s", default="1", flag=False),
        option(
            "cut-domains",
            description="How many of the four failure domains do not reach"
            " the platform.",
            default="0",
            flag=False,
        ),
        option("pages", description="Only measure the pages."),
    ]

    def handle(self) -> int:
        """Runs one experiment for each combination of sizes."""
        logs.configure("error")
        customers = _parse_numbers(self.option("customers"))
        if self.option("pages"):
            self._print_header(pagecost.PageRow._fields)
            for count in customers:
                self.line(_format_row(pagecost.measure_pages(count)))
            return 0
        self._print_header(Row._fields)
        for vms in _parse_numbers(self.option("vms")):
            for count in customers:
                self.line(_format_row(self._measure(vms, count)))
        return 0

    def _print_header(self, names: tuple[str, ...]) -> None:
        self.line("| " + " | ".join(names) + " |")
        self.line("|" + "---|" * len(names))

    def _measure(self, vms: int, customers: int) -> Row:
        experiment = Experiment(vms, customers, int(self.option("cut-domains")))
        try:
            experiment.start()
            return experiment.run(
                float(self.option("duration-s")),
                float(self.option("edits-per-s")),
            )
        finally:
            experiment.stop()


def _parse_numbers(text: Any) -> list[int]:
    return [int(part) for part in str(text).split(",")]


def _format_row(row: Row | pagecost.PageRow) -> str:
    cells = [
        str(value) if isinstance(value, int) else f"{value:.2f}"
        for value in row
    ]
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Runs the command; exits on SIGTERM so that the platform stops too."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    app = application.Application("bench.control")
    app.add(ControlCommand())
    app.run(argv_input.ArgvInput(["bench", "control", *sys.argv[1:]]))


if __name__ == "__main__":
    main()

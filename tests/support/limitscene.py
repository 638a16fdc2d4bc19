"""A small fleet of VMs with limits for one customer, and its oracle."""

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import shares
from support import limitoracle

ROW = records.Customer("a", rate_per_s=100, burst=100)


class Scene:
    """A small fleet with its oracle."""

    def __init__(
        self, domains: int, vms: int, row: records.Customer = ROW
    ) -> None:
        self.fleet = limitfakes.Fleet((row,))
        for domain in range(domains):
            for vm in range(vms):
                self.fleet.add(f"d{domain}v{vm}", f"d{domain}")
        self.fleet.settle(10)
        self.fleet.world.now_s += 100.0
        self.bucket = limitoracle.Bucket(row, self.fleet.world.now_s)

    def part(self, domain: str = "d0") -> shares.Part:
        entry = self.fleet.keyvalue.entries["limits/00"]
        part = shares.from_bytes(entry.value).part(domain)
        assert part is not None
        return part

    def others(self) -> list[str]:
        """The VMs that own nothing."""
        owners = {self.part(f"d{d}").vm for d in range(self.domains())}
        return [vm for vm in sorted(self.fleet.nodes) if vm not in owners]

    def domains(self) -> int:
        entry = self.fleet.keyvalue.entries["limits/00"]
        return len(shares.from_bytes(entry.value).parts)

    def take(self, vm: str, count: int) -> int:
        return self.bucket.take(self.fleet, [vm], count)

    def drain(self) -> int:
        vms = [node.vm.vm for node in self.fleet.running()]
        return self.bucket.take(self.fleet, vms, 150)

    def in_hand(self, vm: str) -> float:
        dump = self.fleet.nodes[vm].limits.dump()
        return float(dump.in_hand.get("a", 0.0))

    def give_ahead(self, vm: str) -> None:
        """Lets a VM take until it has credit ahead in hand."""
        for _ in range(30):
            self.take(vm, 1)
            if self.in_hand(vm) >= 3:
                return
        raise AssertionError("no credit ahead")

    def lose(self, vm: str) -> None:
        self.fleet.kill(vm)
        del self.fleet.listed[vm]

"""A small fleet of VMs that limits one customer, checked by an oracle."""

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import limitrecords
from support import limitoracle

ROW = records.Customer("a", rate_per_s=100, burst=100)


class Scene:
    """A small fleet of VMs and the oracle that checks each admission.

    Attributes:
        fleet: The fleet.
        bucket: The oracle: one token bucket for the whole fleet.
    """

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

    def part(self, domain: str = "d0") -> limitrecords.Part:
        """Returns a failure domain's part from the page's record."""
        entry = self.fleet.keyvalue.entries["limits/00"]
        part = limitrecords.from_bytes(entry.value).part(domain)
        assert part is not None
        return part

    def non_owners(self) -> list[str]:
        """Returns the VMs that own no part."""
        owners = {self.part(f"d{d}").vm for d in range(self.domains())}
        return [vm for vm in sorted(self.fleet.nodes) if vm not in owners]

    def domains(self) -> int:
        """Returns the number of failure domains in the page's record."""
        entry = self.fleet.keyvalue.entries["limits/00"]
        return len(limitrecords.from_bytes(entry.value).parts)

    def take(self, vm: str, count: int) -> int:
        """Makes `count` requests at a VM; returns how many are admitted."""
        return self.bucket.take(self.fleet, [vm], count)

    def drain(self) -> int:
        """Makes 150 requests at each VM; returns how many are admitted."""
        vms = [node.vm.vm for node in self.fleet.running()]
        return self.bucket.take(self.fleet, vms, 150)

    def in_hand(self, vm: str) -> float:
        """Returns the credit that a VM holds, in tokens."""
        dump = self.fleet.nodes[vm].limits.dump()
        return float(dump.in_hand.get("a", 0.0))

    def prefetch_credit(self, vm: str) -> None:
        """Makes requests at a VM until it holds at least 3 tokens."""
        for _ in range(30):
            self.take(vm, 1)
            if self.in_hand(vm) >= 3:
                return
        raise AssertionError("the VM was granted no credit in advance")

    def lose_vm(self, vm: str) -> None:
        """Ends a VM and removes it from the platform's list."""
        self.fleet.kill(vm)
        del self.fleet.listed[vm]

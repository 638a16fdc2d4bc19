"""What the tests of orders to engines share."""

from typing import Any

from bulrushdeald import orderer
from bulrushdeald import services
from support import batchfakes
from support import orderfakes

LOAD = {"action": "load", "model": "a", "version": "1"}
UNLOAD = {"action": "unload", "model": "base"}
FLIGHT_S = orderer.FLIGHT_TIMEOUTS * orderfakes.TIMEOUT_S
PROMPTLY_S = 3 * orderer.RETRY_S


def numbers(engine: orderfakes.FakeEngine) -> list[int]:
    return [order.fence for order in engine.carried_out]


def freeze(vm: orderfakes.OrderVm, after: int) -> None:
    """Freezes a VM at a call, until `thaw`."""

    def stop() -> None:
        raise FrozenError

    vm.keyvalue.freeze = stop
    vm.keyvalue.freeze_after = after


class FrozenError(Exception):
    """Unwinds a step in the place of a VM that never comes back."""


class OneVm:
    """A kernel in which a VM that takes orders finds its services."""

    def __init__(
        self, site: orderfakes.Site, vm: orderfakes.OrderVm | None = None
    ) -> None:
        own = vm or site.vms[0]
        self._found: dict[str, Any] = {
            services.KEYVALUE: own.keyvalue,
            services.MEMBERSHIP: own.membership,
            services.CONFIG: orderfakes.FakeConfig(site),
            services.OPERATORS: batchfakes.FakeRest(),
        }

    def find(self, name: str, kind: Any) -> Any:
        return self._found.get(name)

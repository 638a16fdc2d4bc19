"""Helpers shared by the tests of orders to engines."""

from typing import Any

from bulrushdeald import orderer
from bulrushdeald import services
from support import batchfakes
from support import orderfakes

LOAD = {"action": "load", "model": "a", "version": "1"}
UNLOAD = {"action": "unload", "model": "base"}
FLIGHT_S = orderer.FLIGHT_TIMEOUTS * orderfakes.TIMEOUT_S
PROMPTLY_S = 3 * orderer.RETRY_S


def fences(engine: orderfakes.FakeEngine) -> list[int]:
    """Returns the fencing numbers of the orders carried out, in sequence."""
    return [order.fence for order in engine.carried_out]


def freeze(vm: orderfakes.OrderVm, after: int) -> None:
    """Makes a VM raise `FrozenError` at a later moment.

    Args:
        vm: The VM to freeze.
        after: The moments to skip; each call to the key-value store has one
            before and one after it.
    """

    def stop() -> None:
        raise FrozenError

    vm.keyvalue.freeze = stop
    vm.keyvalue.freeze_after = after


class FrozenError(Exception):
    """Aborts a step, in place of a VM that is frozen and never resumes."""


class FakeKernel:
    """A kernel that provides the services of one VM that orders engines."""

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

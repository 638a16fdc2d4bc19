"""Calls to other VMs, with timeouts based on their recent answer times."""

import time
from typing import Any

import result

from bulrushdeald import services
from gateway.decisions import calltimes


class TimedCalls:
    """Calls other VMs, with a timeout per VM from `decisions.calltimes`."""

    def __init__(self, peers: services.Peers) -> None:
        self._peers = peers
        self._times = calltimes.CallTimes()

    def call(
        self, vm: str, message: Any
    ) -> result.Result[Any, services.PeerError]:
        """Sends a message and returns the answer.

        Args:
            vm: The VM's name.
            message: A message of a type that the VM handles.

        Returns:
            The answer, or the error of `services.Peers.call`.
        """
        sent_s = time.monotonic()
        answer = self._peers.call(vm, message, self._times.timeout_s(vm))
        if answer.is_ok():
            self._times.record(vm, time.monotonic() - sent_s)
        else:
            self._times.record_timeout(vm)
        return answer

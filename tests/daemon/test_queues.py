"""Tests of the queue disciplines for waiting requests."""

import threading
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest
import result

from bulrushdeal import records
from bulrushdeald import queues
from bulrushdeald import router as router_lib
from bulrushdeald import services
from support import fakes

VM = records.Vm("vm-a", "d1", "entry")
ENGINE = records.Upstream(
    "e1", "engine", "127.0.0.1:1", "host", "d1", ("m",), slots=1
)


@given(st.lists(st.sampled_from(["push", "pop", "remove"]), max_size=60))
def test_fifo_goes_by_arrival_alone(steps: list[str]) -> None:
    queue: queues.FifoQueue[int] = queues.FifoQueue()
    waiting: list[tuple[int, int]] = []
    for number, step in enumerate(steps):
        if step == "push":
            ticket = queue.push("abc"[number % 3], 1.0, 1.0, number)
            waiting.append((ticket, number))
        elif step == "pop":
            assert queue.pop() == (waiting.pop(0)[1] if waiting else None)
        elif waiting:
            queue.remove("", waiting.pop(number % len(waiting))[0])
        assert queue.peek() == (waiting[0][1] if waiting else None)
        assert queue.turns("a", 1.0) == len(queue) + 1 == len(waiting) + 1


@pytest.mark.parametrize(
    ("discipline", "order"),
    [("fair", ["heavy", "light", "heavy"]), ("fifo", ["heavy"] * 2)],
)
def test_setting_selects_who_is_next(discipline: str, order: list[str]) -> None:
    # The only slot is taken and one customer has three waiting requests when
    # another customer's request arrives. The fair queue serves it second, a
    # FIFO last.
    kernel = fakes.kernel(
        fakes.Membership(VM, (VM,)),
        fakes.Peers(fakes.Network(), VM.vm),
        fakes.Config((ENGINE,)),
    )
    router = router_lib.UpstreamRouter(
        kernel, fakes.settings(vm=VM.vm, queue_discipline=discipline)
    )
    router.start()
    served: list[str] = []
    held = router.acquire(_work("first")).unwrap()

    def ask(customer: str) -> None:
        answer = router.acquire(_work(customer))
        if isinstance(answer, result.Ok):
            served.append(customer)
            answer.ok_value.release("ok")

    threads = []
    for number, customer in enumerate(("heavy", "heavy", "heavy", "light")):
        thread = threading.Thread(target=ask, args=(customer,))
        thread.start()
        threads.append(thread)
        while router.dump()["queues"]["m"]["online"] <= number:
            time.sleep(0.001)
    held.release("ok")
    for thread in threads:
        thread.join()
    router.stop(0)
    assert served[: len(order)] == order
    assert sorted(served) == ["heavy"] * 3 + ["light"]


def _work(customer: str) -> services.PlacementRequest:
    return services.PlacementRequest(
        customer, "online", "m", "", b"", 10, "", 30.0
    )

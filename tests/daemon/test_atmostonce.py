"""A request runs at most once, and `not_run` is never a lie."""

from collections.abc import Iterator
import http.client
import threading
from typing import Any

import pytest

from standins import engine
from standins import plain
from standins import web
from support import pathfakes

# Each place where an upstream can break off.
POINTS: tuple[web.DropPoint, ...] = (
    "head",
    "in_head",
    "body",
    "after_body",
    "answer_head",
    "answer",
)


@pytest.fixture
def two_vms(
    booking: plain.PlainService,
) -> Iterator[tuple[pathfakes.SmallVm, pathfakes.SmallVm]]:
    row = pathfakes.plain_row(booking.address)
    platform = pathfakes.Platform()
    with (
        pathfakes.running(row, platform=platform, vm="vm-1") as one,
        pathfakes.running(row, platform=platform, vm="vm-2") as two,
    ):
        yield one, two


def book(vm: pathfakes.SmallVm, run: str, **headers: str) -> Any:
    """Returns the answer's status and `ran`; a cut answer is `ran`.

    Of an answer that the idempotency key gave, the code is returned.
    """
    path = "/services/booking/orders"
    try:
        reply = vm.ask("POST", path, {"order": run}, X_Run_Id=run, **headers)
    except http.client.IncompleteRead:
        return 0, "ran"
    if reply.status == 200:
        assert reply.json["run"] == run
        return 200, "ran"
    return reply.status, reply.error["code" if reply.status == 409 else "ran"]


def test_dropped_connections(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    """Story: a bursar confirms an order and the ordering service breaks off.

    The bursar gets an error and presses again, now through another VM. The
    order must not be placed twice by this system, and where the error says
    "not run" no order may stand. Cause: a connection broken at any point of
    request or answer.
    """
    one, two = two_vms
    for point in POINTS:
        for key in ("", f"key-{point}"):
            run = f"{point}{key}"
            headers = {"Idempotency_Key": key} if key else {}
            booking.faults = web.Faults(drop_at=point, drop_times=1)
            status, ran = book(one, run, **headers)
            assert status != 200
            runs = booking.runs[run]
            assert runs <= 1
            assert ran != "not_run" or runs == 0
            if key:
                again = book(two, run, **headers)
                assert again == (409, "outcome_unknown"), point
                assert booking.runs[run] == runs
    pathfakes.wait_until(lambda: not two.callers.dump().open_calls)


def test_reused_connection_is_not_closed_under_a_booking(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    """Story: the second of two bookings is answered "unknown" for nothing.

    The booking service closes a kept connection just as the next booking is
    written to it, so nobody can tell whether it ran, and a person must call
    the member firm. Cause: a kept connection used for a booking.
    """
    booking.faults = web.Faults(drop_at="head", drop_reused=True)
    for run in ("first", "second"):
        assert book(two_vms[0], run) == (200, "ran")


def test_keyed_model_call_takes_no_kept_connection() -> None:
    """Story: a call that its caller wants run once is "unknown" for nothing.

    As above, but here calls that may be repeated left a connection.
    """
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    server.faults = web.Faults(drop_at="head", drop_reused=True)
    path = "/v1/chat/completions"
    with pathfakes.running(pathfakes.engine_row(server.address)) as vm:
        assert vm.ask("POST", path, pathfakes.chat()).status == 200
        keyed = vm.ask("POST", path, pathfakes.chat(), Idempotency_Key="k")
        assert keyed.status == 200
        assert vm.router.outcomes == ["ok", "ok"]
    server.stop()


def test_resent_while_running_and_after(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    """Story: a dispatcher's client gives up waiting and resends a booking.

    The first request still runs at the booking service. The second comes to
    another VM, gets "in progress" and later the very answer of the first.
    """
    one, two = two_vms
    booking.faults = web.Faults(freeze_s=0.3)
    headers = {"Idempotency_Key": "k", "X_Run_Id": "slow"}
    body = {"order": 1}
    path = "/services/booking/orders"
    replies: list[pathfakes.Reply] = []
    first = threading.Thread(
        target=lambda: replies.append(one.ask("POST", path, body, **headers))
    )
    first.start()
    pathfakes.wait_until(lambda: len(booking.seen) == 1)
    second = two.ask("POST", path, body, **headers)
    assert (second.status, second.error["code"]) == (409, "in_progress")
    assert second.headers["retry-after"] == "1"
    first.join()
    third = two.ask("POST", path, body, **headers)
    assert (third.status, third.body) == (200, replies[0].body)
    assert third.headers["idempotent-replayed"] == "true"
    other = two.ask("POST", path, {"order": 2}, **headers)
    assert (other.status, other.error["param"]) == (422, "Idempotency-Key")
    assert booking.runs["slow"] == 1


def test_caller_gone_then_asks_again(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    """Story: a phone loses its signal while a booking is being made.

    The booking goes on, and the phone's next try with the same key gets the
    first one's answer, through whichever VM.
    """
    one, two = two_vms
    booking.faults = web.Faults(freeze_s=0.2)
    headers = {
        "Authorization": f"Bearer {pathfakes.KEY}",
        "Idempotency-Key": "k",
        "X-Run-Id": "gone",
    }
    connection = one.connect()
    connection.request("POST", "/services/booking/", b"{}", headers)
    pathfakes.wait_until(lambda: len(booking.seen) == 1)
    connection.close()
    pathfakes.wait_until(lambda: not one.callers.dump().open_calls)
    reply = two.ask(
        "POST",
        "/services/booking/",
        b"{}",
        Idempotency_Key="k",
        X_Run_Id="gone",
    )
    assert (reply.status, reply.json["run"]) == (200, "gone")
    assert booking.runs["gone"] == 1


def test_vm_lost_with_a_booking_under_way(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    """Story: the VM dies after it sent a booking, and the caller resends.

    Nobody can tell whether the booking was made. The other VM must say so,
    every time, and not make it again; nor may the first VM's late answer, if
    it was only cut off, change what was said.
    """
    one, two = two_vms
    booking.faults = web.Faults(freeze_s=0.5)
    results: list[Any] = []
    first = threading.Thread(
        target=lambda: results.append(book(one, "lost", Idempotency_Key="k"))
    )
    first.start()
    pathfakes.wait_until(lambda: len(booking.seen) == 1)
    one.platform.unlisted.add("vm-1")
    assert book(two, "lost", Idempotency_Key="k") == (409, "outcome_unknown")
    first.join()
    assert results == [(200, "ran")]
    for vm in (one, two):
        assert book(vm, "lost", Idempotency_Key="k") == (409, "outcome_unknown")
    assert booking.runs["lost"] == 1


def test_platform_out(
    two_vms: tuple[pathfakes.SmallVm, pathfakes.SmallVm],
    booking: plain.PlainService,
) -> None:
    one, _ = two_vms
    one.platform.keyvalue.has_outage = True
    assert book(one, "out", Idempotency_Key="k") == (503, "not_run")
    assert book(one, "keyless") == (200, "ran")
    one.platform.keyvalue.has_outage = False
    assert booking.runs["out"] == 0
    assert book(one, "out", Idempotency_Key="k") == (200, "ran")


def test_unreachable_upstream_is_not_run_and_another_is_tried(
    booking: plain.PlainService,
) -> None:
    gone = plain.PlainService()
    gone.start()
    address = gone.address
    gone.stop()
    rows = (
        pathfakes.plain_row(booking.address),
        pathfakes.plain_row(address, "booking-2"),
    )
    with pathfakes.running(*rows) as vm:
        for index in range(3):
            assert book(vm, f"r{index}") == (200, "ran")
        assert "refused" in vm.router.outcomes
    with pathfakes.running(rows[1]) as vm:
        assert book(vm, "none") == (503, "not_run")
        # The budget is small: a dead upstream is not asked twice for ever.
        for _ in range(10):
            assert book(vm, "none") == (503, "not_run")
        assert len(vm.router.works) < 20


def test_model_calls_are_tried_again_before_the_first_byte() -> None:
    """Story: an editor's glossary request meets an engine that breaks off.

    Nothing was shown yet and the call changes nothing, so it is sent once
    more, and the editor sees one whole answer.
    """
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    with pathfakes.running(pathfakes.engine_row(server.address)) as vm:
        for stream in (False, True):
            server.faults = web.Faults(drop_at="after_body", drop_times=1)
            call = pathfakes.chat(max_tokens=3, stream=stream)
            reply = vm.ask("POST", "/v1/chat/completions", call)
            assert reply.status == 200
        server.faults = web.Faults(drop_at="after_body", drop_times=2)
        reply = vm.ask("POST", "/v1/chat/completions", pathfakes.chat())
        assert (reply.status, reply.error["ran"]) == (502, "unknown")
        # With a key its caller asks for one run at most.
        server.faults = web.Faults(drop_at="after_body", drop_times=1)
        reply = vm.ask(
            "POST",
            "/v1/chat/completions",
            pathfakes.chat("once"),
            Idempotency_Key="k",
        )
        assert (reply.status, reply.error["ran"]) == (502, "unknown")
        outcomes = vm.router.outcomes
        assert outcomes == ["crashed", "ok"] * 2 + ["crashed"] * 3
    server.stop()


def test_two_tries_in_all() -> None:
    """Story: one editor's request is sent four times to a failing fleet.

    The first engine cannot be reached and the second breaks off inside its
    whole answer; each failure alone had its own second try.
    """
    server = engine.Engine(timing=pathfakes.FAST)
    server.start()
    server.faults = web.Faults(drop_at="answer")
    # Nothing listens on port 1; a broken address is no better.
    rows = (
        pathfakes.engine_row(server.address),
        pathfakes.engine_row("127.0.0.1:1", "gone"),
    )
    with pathfakes.running(*rows) as vm:
        reply = vm.ask("POST", "/v1/chat/completions", pathfakes.chat())
        assert (reply.status, reply.error["ran"]) == (502, "ran")
        assert vm.router.outcomes == ["refused", "crashed"]
    with pathfakes.running(pathfakes.engine_row("nowhere")) as vm:
        reply = vm.ask("POST", "/v1/chat/completions", pathfakes.chat())
        assert (reply.status, reply.error["ran"]) == (503, "not_run")
    server.stop()

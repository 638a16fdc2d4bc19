"""Tests what is answered to requests whose bodies break off."""

import pytest

from bulrushdeal import exchanges
from bulrushdeal import httpd
from bulrushdeald import bodies
from bulrushdeald import multipart
from bulrushdeald import operatorhttp

FORM = "multipart/form-data; boundary=limit"


class BrokenBody:
    """A body whose connection breaks, or whose exchange is ended."""

    def read(self, size_bytes: int = -1) -> bytes:
        raise OSError("ended")


def request(reason: exchanges.EndReason) -> httpd.Request:
    exchange = exchanges.detached()
    exchange.end_reason = reason
    return httpd.Request(
        "POST", "/", "", {}, BrokenBody(), 10, exchange=exchange
    )


@pytest.mark.parametrize(
    ("reason", "status"), [("", 400), ("overdue", 408), ("yielded", 503)]
)
def test_a_body_that_was_ended_is_refused_as_not_run(
    reason: exchanges.EndReason, status: int
) -> None:
    # Guards against refusals that blame the caller, or that promise nothing.
    read = bodies.read_whole(request(reason), 100)
    assert read.unwrap_err().status == status
    assert read.unwrap_err().ran == "not_run"
    assert bool(read.unwrap_err().retry_after_s) == (status == 503)


def test_a_body_that_is_silent_for_too_long_has_not_run() -> None:
    # Guards against a refusal after which callers do not try again.
    class SilentBody:
        def read(self, size_bytes: int = -1) -> bytes:
            raise TimeoutError("timed out")

    silent = request("")._replace(body=SilentBody())
    assert bodies.read_whole(silent, 100).unwrap_err().status == 408


def test_an_upload_that_breaks_off_is_no_failure_of_the_vm() -> None:
    # Guards against an alarm for each caller that leaves during an upload.
    with pytest.raises(multipart.MultipartError, match="broke off"):
        list(multipart.Reader(BrokenBody(), FORM).parts())


@pytest.mark.parametrize("length_bytes", [10, -1])
def test_an_operators_body_that_breaks_off_is_no_failure_of_the_vm(
    length_bytes: int,
) -> None:
    # Guards against an alarm for each operator whose connection breaks.
    broken = request("")._replace(length_bytes=length_bytes)
    with pytest.raises(operatorhttp.BadRequestError, match="broke off"):
        operatorhttp.body_bytes(broken)

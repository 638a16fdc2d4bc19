"""Clients of the online path, and what they may be told."""

import json
from typing import NamedTuple

from bulrushdeal import httpd
from bulrushdeald import calls
from bulrushdeald import config
from support import mixedfleet
from support import mixedupstreams
from support import mixedvm

BOOKINGS = "/services/booking/orders"


class Booking:
    """What clients know of the bookings made under one idempotency key."""

    def __init__(self, customer: str, key: str) -> None:
        self.customer = customer
        self.key = key
        self.tried: set[str] = set()
        self.reply = b""
        self.is_unknown = False

    def text(self, variant: str) -> str:
        return f"{self.customer} {self.key} {variant}"

    def take(self, variant: str, body: bytes) -> None:
        text = json.loads(body)["choices"][0]["text"]
        assert text == self.text(variant).upper(), "another's answer"
        assert self.reply in (b"", body), "two answers to one booking"
        self.reply = body


class Open(NamedTuple):
    """A booking's answer whose head has come."""

    vm: mixedvm.MixedVm
    response: httpd.Response
    secret: str
    booking: Booking
    variant: str


class Clients:
    """Sends requests to any VM and checks each answer.

    Attributes:
        open: Bookings whose answer is still being read.
        sending: The booking sent last.
    """

    def __init__(self, fleet: mixedfleet.Fleet) -> None:
        self.open: list[Open] = []
        self.sending: Booking | None = None
        self._fleet = fleet
        self._tries = 0

    def ask(
        self,
        vm: mixedvm.MixedVm,
        secret: str,
        path: str,
        text: str,
        key: str = "",
    ) -> httpd.Response | None:
        """Sends a request; `None` if its VM is lost meanwhile."""
        self._tries += 1
        attempt = f"t{self._tries}"
        body = json.dumps({"model": "m", "prompt": text}).encode()
        headers = {"x-attempt": attempt, "idempotency-key": key}
        try:
            response = vm.open(secret, "POST", path, body, headers)
        except mixedupstreams.VmLostError:
            return None
        assert response.status != 500, "a VM failed to serve"
        if response.status == 200:
            assert config.hash_key(secret) not in vm.withdrawn()
            return response
        error = json.loads(b"".join(response.body))["error"]
        httpd.close_body(response.body)
        if error["ran"] == "not_run":
            assert attempt not in self._fleet.upstreams.attempts, error
        if response.status in (429, 503):
            assert "Retry-After" in dict(response.headers), error
        return response._replace(body=(error["code"].encode(),))

    def book(
        self,
        vm: mixedvm.MixedVm,
        secret: str,
        booking: Booking,
        variant: str,
    ) -> str:
        """Returns `open`, `answered`, `lost` or the refusal's code."""
        booking.tried.add(variant)
        self.sending = booking
        text = booking.text(variant)
        response = self.ask(vm, secret, BOOKINGS, text, booking.key)
        if response is None:
            return "lost"
        if response.status == 200:
            if "Idempotent-Replayed" not in dict(response.headers):
                opened = Open(vm, response, secret, booking, variant)
                self.open.append(opened)
                return "open"
            assert not booking.is_unknown
            booking.take(variant, b"".join(response.body))
            httpd.close_body(response.body)
            return "answered"
        code = b"".join(response.body).decode()
        booking.is_unknown |= code == "outcome_unknown"
        if code == "idempotency_key_reused":
            assert booking.tried - {variant}
        return code

    def finish(self, opened: Open) -> str:
        self.open.remove(opened)
        key_hash = config.hash_key(opened.secret)
        is_withdrawn = key_hash in opened.vm.withdrawn()
        try:
            body = b"".join(opened.response.body)
        except calls.BrokenAnswerError:
            return "broken"
        finally:
            httpd.close_body(opened.response.body)
        assert not is_withdrawn, "an open answer outlived its key"
        opened.booking.take(opened.variant, body)
        return "answered"

    def complete(self, vm: mixedvm.MixedVm, customer: str, text: str) -> None:
        """Calls a model."""
        secret = self._fleet.secrets_of(customer)[-1]
        response = self.ask(vm, secret, "/v1/completions", text)
        if response is None or response.status != 200:
            return
        body = json.loads(b"".join(response.body))
        httpd.close_body(response.body)
        assert body["choices"][0]["text"] == text.upper(), "another's answer"

    def forget_lost(self) -> None:
        """The connections to VMs that are lost are broken."""
        vms = self._fleet.vms.values()
        self.open = [opened for opened in self.open if opened.vm in vms]

"""Clients that send online requests and check each answer."""

import json
from typing import NamedTuple

from bulrushdeal import httpd
from bulrushdeald import calls
from bulrushdeald import config
from support import mixedfleet
from support import mixedupstreams
from support import mixedvm

BOOKINGS_PATH = "/services/booking/orders"


class Booking:
    """The clients' view of the bookings made under one idempotency key.

    Attributes:
        customer: The customer whose API keys the clients use.
        key: The idempotency key; empty for bookings without one.
        tried: The variants of the body that were sent.
        reply: The body of the answer; empty before the first one.
        is_unknown: Whether an answer was `outcome_unknown`, which is final.
    """

    def __init__(self, customer: str, key: str) -> None:
        self.customer = customer
        self.key = key
        self.tried: set[str] = set()
        self.reply = b""
        self.is_unknown = False

    def text(self, variant: str) -> str:
        """Returns the text that the upstream has to echo."""
        return f"{self.customer} {self.key} {variant}"

    def record_reply(self, variant: str, body: bytes) -> None:
        """Checks a reply against its request and earlier ones; keeps it."""
        text = json.loads(body)["choices"][0]["text"]
        assert text == self.text(variant).upper(), (
            "the answer belongs to another request"
        )
        assert self.reply in (b"", body), "a booking got two different answers"
        self.reply = body


class OpenAnswer(NamedTuple):
    """An answer to a booking of which only the head was read."""

    vm: mixedvm.MixedVm
    response: httpd.Response
    secret: str
    booking: Booking
    variant: str


class Clients:
    """Sends requests to any VM and checks each answer.

    Attributes:
        open_answers: The answers to bookings whose body was not yet read.
        last_booking: The booking sent last; its request may be in flight.
    """

    def __init__(self, fleet: mixedfleet.Fleet) -> None:
        self.open_answers: list[OpenAnswer] = []
        self.last_booking: Booking | None = None
        self._fleet = fleet
        self._attempts = 0

    def post(
        self,
        vm: mixedvm.MixedVm,
        secret: str,
        path: str,
        text: str,
        key: str = "",
    ) -> httpd.Response | None:
        """Sends a request and checks the head of its answer.

        Returns:
            The response; of an error, the body is its code. `None` if the VM
            is lost while it serves the request.
        """
        self._attempts += 1
        attempt = f"t{self._attempts}"
        body = json.dumps({"model": "m", "prompt": text}).encode()
        headers = {"x-attempt": attempt, "idempotency-key": key}
        try:
            response = vm.send(secret, "POST", path, body, headers)
        except mixedupstreams.VmLostError:
            return None
        assert response.status != 500, "a VM failed to serve"
        if response.status == 200:
            assert config.hash_key(secret) not in vm.withdrawn_hashes()
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
        """Sends a booking.

        Returns:
            `open` if the body of the answer is still to be read, `answered`
            if it was replayed, `lost` if the VM was lost, or the error's code.
        """
        booking.tried.add(variant)
        self.last_booking = booking
        text = booking.text(variant)
        response = self.post(vm, secret, BOOKINGS_PATH, text, booking.key)
        if response is None:
            return "lost"
        if response.status == 200:
            if "Idempotent-Replayed" not in dict(response.headers):
                opened = OpenAnswer(vm, response, secret, booking, variant)
                self.open_answers.append(opened)
                return "open"
            assert not booking.is_unknown
            booking.record_reply(variant, b"".join(response.body))
            httpd.close_body(response.body)
            return "answered"
        code = b"".join(response.body).decode()
        booking.is_unknown |= code == "outcome_unknown"
        if code == "idempotency_key_reused":
            assert booking.tried - {variant}
        return code

    def finish(self, opened: OpenAnswer) -> str:
        """Reads the rest of an answer; returns `answered` or `broken`."""
        self.open_answers.remove(opened)
        key_hash = config.hash_key(opened.secret)
        is_withdrawn = key_hash in opened.vm.withdrawn_hashes()
        try:
            body = b"".join(opened.response.body)
        except calls.BrokenAnswerError:
            return "broken"
        finally:
            httpd.close_body(opened.response.body)
        assert not is_withdrawn, (
            "an open answer went on after its key was withdrawn"
        )
        opened.booking.record_reply(opened.variant, body)
        return "answered"

    def complete(self, vm: mixedvm.MixedVm, customer: str, text: str) -> None:
        """Calls a model and checks its answer."""
        secret = self._fleet.secrets_of(customer)[-1]
        response = self.post(vm, secret, "/v1/completions", text)
        if response is None or response.status != 200:
            return
        body = json.loads(b"".join(response.body))
        httpd.close_body(response.body)
        assert body["choices"][0]["text"] == text.upper(), (
            "the answer belongs to another request"
        )

    def drop_lost(self) -> None:
        """Drops the open answers of lost VMs, whose connections broke."""
        vms = self._fleet.vms.values()
        self.open_answers = [
            opened for opened in self.open_answers if opened.vm in vms
        ]

"""Tests the configuration in force."""

import json
from typing import Any

from bulrushdeal import kernel as kernel_lib
from bulrushplatform import wire
from gateway import configuration
from gateway import evacuations
from gateway import names
from support import gatewayscene
from support import gatewaystore


def _value(version: int, **more: Any) -> bytes:
    return json.dumps(gatewayscene.configuration(version, **more)).encode()


def _feed(store: gatewaystore.MemoryStore) -> configuration.Feed:
    kernel = kernel_lib.Kernel()
    kernel.register(names.EVACUATIONS, evacuations.Evacuations())
    kernel.register_object(names.DIALECT, wire.Dialect())
    kernel.register_object(names.STORE, gatewaystore.StoreClient(store))
    feed = configuration.Feed(kernel)
    feed.watch_while(lambda: True)
    return feed


def _version(feed: configuration.Feed) -> int:
    held = feed.current()
    return 0 if held is None else held.version


def test_a_version_never_reverts() -> None:
    """A peer that is behind sends its older version.

    A key that was withdrawn meanwhile would work again.
    """
    store = gatewaystore.MemoryStore()
    feed = _feed(store)
    feed.start()
    assert feed.apply(_value(7), "peer")
    assert feed.apply(_value(5, tenants=[]), "peer")
    assert _version(feed) == 7
    feed.stop(0)


def test_a_malformed_version_is_refused_and_the_old_one_stays() -> None:
    store = gatewaystore.MemoryStore()
    feed = _feed(store)
    feed.start()
    feed.apply(_value(1), "store")
    assert not feed.apply(b'{"version": 2, "routes": "none"}', "store")
    assert _version(feed) == 1
    feed.stop(0)


def test_a_change_lost_with_the_history_is_found() -> None:
    """The store drops its history of changes just as a key is withdrawn.

    The watch ends with a gap, and only a new listing returns what changed.
    """
    store = gatewaystore.MemoryStore()
    store.write("op/config", _value(1))
    feed = _feed(store)
    feed.start()
    gatewayscene.until(lambda: _version(feed) == 1)
    with store.condition:
        store.write("op/config", _value(2))
        store.forget_history()
    gatewayscene.until(lambda: _version(feed) == 2)
    feed.stop(0)


def test_the_longest_prefix_of_the_host_is_the_route() -> None:
    value = gatewayscene.configuration()
    read = wire.Dialect().decode_configuration(json.dumps(value).encode())
    held = configuration.ActiveConfiguration(read, b"")
    found = held.route("H.example:80", "/s/once/x")
    assert found is not None
    assert found.name == "once"
    assert held.route("h.example", "/s/x") is not None
    assert held.route("h.example", "/sx") is None
    assert held.route("other.example", "/s/x") is None


def test_a_large_version_is_told_in_few_bytes() -> None:
    """Operators add 2,000 routes and withdraw a key right after.

    Two VMs behind slow links send the text to all others. The VMs that got an
    uncompressed text last went on accepting the key.
    """
    store = gatewaystore.MemoryStore()
    sender, receiver = _feed(store), _feed(store)
    sender.start()
    receiver.start()
    assert sender.to_message()[:2] == (0, b"")
    rows = gatewayscene.configuration(9)["routes"]
    more = [dict(rows[0], prefix=f"/p{number}/") for number in range(2000)]
    value = _value(9, routes=rows + more)
    assert sender.apply(value, "store")
    message = sender.to_message()
    assert len(message.packed) < len(value) / 5
    assert receiver.apply_message(message, "sender")
    assert _version(receiver) == 9
    assert not receiver.apply_message(configuration.Told(10, b"bad"), "sender")
    assert not receiver.apply_message(configuration.Told(0, b""), "sender")
    assert _version(receiver) == 9
    sender.stop(0)
    receiver.stop(0)

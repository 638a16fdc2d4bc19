"""Typed calls between entry VMs, over `websockets` with CBOR."""

from collections.abc import Callable
import functools
import random
import socket
import threading
import time
from typing import Any, NamedTuple, Protocol

import result

from bulrushdeal import codec
from bulrushdeal import errors
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import answerpool
from bulrushdeald import links
from bulrushdeald import services
from bulrushdeald import websocket
from bulrushdeald import wire

_log = logs.Log("peers")
_MAX_LINKS = 128
# Connections that nobody used for so long are closed.
IDLE_S = 60.0
_SWEEP_S = 5.0
_BACKLOG = 512
_ACCEPT_PAUSE_S = 0.1
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0

Handler = Callable[[str, Any], Any]


class PeerAddressError(errors.UserError):
    """The peers' address cannot be listened on."""


class _Backoff(NamedTuple):
    """When a VM may be connected to again after failures."""

    failures: int
    until_s: float


class _Addresses(NamedTuple):
    """The peers' addresses on one list of VMs."""

    rows: tuple[records.Vm, ...]
    by_vm: dict[str, str]


class PeerSettings(Protocol):
    """What is set for calls between VMs."""

    @property
    def peers_address(self) -> str:
        """Where this VM listens, as `HOST:PORT`."""


class WebsocketPeers:
    """See `services.Peers`.

    Each process listens on its peers' address and opens a connection to a
    peer when it first calls it, so a pair that calls both ways has two.

    Args:
        idle_s: After which a connection that nobody used is closed.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: PeerSettings,
        idle_s: float = IDLE_S,
    ) -> None:
        self._kernel = kernel
        self._idle_s = idle_s
        self._address = settings.peers_address
        self._handlers: dict[str, Handler] = {}
        self._kinds = wire.Kinds()
        self._kinds.add(wire.Hello, wire.Refused)
        self._traffic = links.Traffic()
        self._lock = threading.Lock()
        self._links: dict[str, links.Link] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._addresses = _Addresses((), {})
        self._accepted: set[websocket.Connection] = set()
        self._pool = answerpool.Pool()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Listens; fails if any process holds the address.

        A process of the same VM that was replaced but still runs would act
        for the VM besides this one. It holds the address until it ends, and
        without `reuse_port` the address is held by one process only.

        Raises:
            PeerAddressError: The address is held, or cannot be bound.
        """
        self._membership = self._kernel.find(
            services.MEMBERSHIP, services.Membership
        )
        own = self._membership.own()
        self._hello = wire.Hello(
            own.vm, self._membership.incarnation(), own.failure_domain
        )
        host, _, port = self._address.rpartition(":")
        try:
            self._listener = socket.create_server(
                (host, int(port)), backlog=_BACKLOG
            )
        except OSError as error:
            raise PeerAddressError(
                f"--peers-address {self._address}: {error.strerror}"
            ) from error
        for target in (self._listen, self._sweep):
            thread = threading.Thread(target=target, name="peers", daemon=True)
            thread.start()
            self._threads.append(thread)

    @property
    def port(self) -> int:
        """The port it listens on, known after `start`."""
        port: int = self._listener.getsockname()[1]
        return port

    def stop(self, grace_s: float) -> None:
        """Closes all connections and the address."""
        self._stopping.set()
        # Wakes the thread that accepts, which a mere close would not.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            open_links = tuple(self._links.values())
            accepted = tuple(self._accepted)
        for link in open_links:
            link.close()
        for connection in accepted:
            connection.close()
        for thread in self._threads:
            thread.join(grace_s)

    def dump(self) -> Any:
        """Returns connections and traffic."""
        with self._lock:
            return {
                "links": sorted(self._links),
                "accepted": len(self._accepted),
                "backing_off": sorted(self._backoffs),
                **self._traffic.dump(),
            }

    def handle(self, kind: type[Any], handler: Handler) -> None:
        """See `services.Peers`."""
        self._kinds.add(kind)
        self._handlers[kind.__name__] = handler

    def understand(self, *kinds: type[Any]) -> None:
        """See `services.Peers`."""
        self._kinds.add(*kinds)

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """See `services.Peers`."""
        if vm == self._hello.vm:
            return self._open(self._answer(vm, _copy(message)))
        address = self._peer_address(vm)
        return self._call(vm, links.Target(vm, address), message, timeout_s)

    def call_address(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """Calls whichever VM listens on an address, known from settings."""
        target = links.Target("", address)
        return self._call(f"@{address}", target, message, timeout_s)

    def _call(
        self, name: str, target: links.Target, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        link = self._link(name, target)
        if link is None:
            return result.Err(
                services.PeerError("unreachable", f"{name}: not now")
            )
        answer = link.call(message, timeout_s)
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        try:
            return self._open(self._kinds.message(answer.unwrap()))
        except codec.CodecError as error:
            return result.Err(services.PeerError("refused", f"{name}: {error}"))

    def _open(self, message: Any) -> result.Result[Any, services.PeerError]:
        if isinstance(message, wire.Refused):
            return result.Err(services.PeerError("refused", message.message))
        return result.Ok(message)

    def _link(self, name: str, target: links.Target) -> links.Link | None:
        now_s = time.monotonic()
        with self._lock:
            link = self._links.get(name)
            # A VM that was replaced under its name has another address.
            if link is not None and link.target == target:
                return link
            backoff = self._backoffs.get(name)
            is_backing_off = backoff is not None and now_s < backoff.until_s
            if not target.address or is_backing_off or self._is_stopped():
                return None
            if len(self._links) >= _MAX_LINKS and not self._drop_idle(0.0):
                return None
            link = links.Link(
                target,
                self._hello,
                self._traffic,
                lambda link: self._on_link_end(name, link),
            )
            self._links[name] = link
        link.start()
        return link

    def _is_stopped(self) -> bool:
        return self._stopping.is_set()

    def _peer_address(self, vm: str) -> str:
        rows = self._membership.entry_vms()
        # A search through 1,200 rows took 0.09 ms for each call.
        if rows is not self._addresses.rows:
            found = {row.vm: row.peer_address for row in rows}
            self._addresses = _Addresses(rows, found)
        return self._addresses.by_vm.get(vm, "")

    def _on_link_end(self, name: str, link: links.Link) -> None:
        with self._lock:
            if self._links.get(name) is link:
                del self._links[name]
            failures = 0
            if not link.was_open and name in self._backoffs:
                failures = self._backoffs[name].failures
            # Spread, so that peers do not all come back at one moment.
            wait_s = min(_FIRST_BACKOFF_S * 2**failures, _MAX_BACKOFF_S)
            wait_s *= random.uniform(0.5, 1.0)
            self._backoffs[name] = _Backoff(
                min(failures + 1, 10), time.monotonic() + wait_s
            )
        if not link.was_open:
            _log.debug("No connection to %s: %s", name, link.problem)

    def _drop_idle(self, for_s: float) -> bool:
        """Closes idle links, only the one unused longest if `for_s` is 0."""
        by_use = sorted(self._links, key=lambda name: self._links[name].used_s)
        dropped = 0
        for name in by_use:
            if for_s == 0.0 and dropped:
                break
            link = self._links[name]
            if link.retire(for_s):
                del self._links[name]
                dropped += 1
                threading.Thread(target=link.close, daemon=True).start()
        return dropped > 0

    def _sweep(self) -> None:
        while not self._stopping.wait(_SWEEP_S):
            now_s = time.monotonic()
            with self._lock:
                self._drop_idle(self._idle_s)
                self._backoffs = {
                    vm: backoff
                    for vm, backoff in self._backoffs.items()
                    if now_s < backoff.until_s + self._idle_s
                }

    def _listen(self) -> None:
        while not self._is_stopped():
            try:
                connected, _ = self._listener.accept()
            except OSError as error:
                # Too many files are open, or the peer has left again.
                if not self._is_stopped():
                    _log.warning("Cannot accept a peer: %r", error)
                    self._stopping.wait(_ACCEPT_PAUSE_S)
                continue
            threading.Thread(
                target=self._accept,
                args=(connected,),
                name="peer accepted",
                daemon=True,
            ).start()

    def _accept(self, connected: socket.socket) -> None:
        try:
            connection = websocket.accept(connected, wire.MAX_FRAME_BYTES)
        except websocket.BrokenError as error:
            _log.debug("What came is no peer: %s", error)
            return
        with self._lock:
            self._accepted.add(connection)
        try:
            if not self._is_stopped():
                self._serve(connection)
        except (websocket.BrokenError, codec.CodecError) as error:
            _log.debug("A peer's connection ended: %r", error)
        finally:
            with self._lock:
                self._accepted.discard(connection)
            connection.release()

    def _serve(self, connection: websocket.Connection) -> None:
        data = connection.receive()
        if data is None:
            return
        frame = wire.unpack(data)
        hello = codec.from_plain(wire.Hello, frame.fields)
        connection.send(wire.pack(-frame.request_id, self._hello))
        connection.be_open()
        turns = answerpool.Turns(self._pool)
        while (data := connection.receive()) is not None:
            self._traffic.received(len(data))
            request = wire.unpack(data)
            job = functools.partial(self._reply, connection, hello.vm, request)
            handler = self._handlers.get(request.kind)
            if isinstance(handler, services.QuickHandler):
                job()
            elif not turns.take(job):
                busy = wire.Refused("too many requests wait")
                self._send(connection, hello.vm, -request.request_id, busy)

    def _reply(
        self, connection: websocket.Connection, vm: str, frame: wire.Frame
    ) -> None:
        try:
            answer = self._answer(vm, self._kinds.message(frame))
        except codec.CodecError as error:
            answer = wire.Refused(str(error))
        self._send(connection, vm, -frame.request_id, answer)

    def _send(
        self,
        connection: websocket.Connection,
        vm: str,
        request_id: int,
        answer: Any,
    ) -> None:
        data = wire.pack(request_id, answer)
        self._traffic.sent(len(data))
        try:
            connection.send(data)
        except websocket.BrokenError as error:
            _log.debug("An answer to %s was lost: %s", vm, error)

    def _answer(self, vm: str, message: Any) -> Any:
        name = type(message).__name__
        handler = self._handlers.get(name)
        if handler is None:
            return wire.Refused(f"nobody handles {name}")
        try:
            return handler(vm, message)
        except Exception as error:  # noqa: BLE001 - the caller gets an answer.
            _log.exception("The handler of %s failed.", name)
            return wire.Refused(repr(error))


def _copy(message: Any) -> Any:
    frame = wire.unpack(wire.pack(1, message))
    return codec.from_plain(type(message), frame.fields)

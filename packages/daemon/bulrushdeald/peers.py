"""Typed calls between entry VMs, as CBOR messages over websockets."""

from collections.abc import Callable
import contextlib
import functools
import random
import socket
import threading
import time
from typing import Any, NamedTuple, Protocol

import result

from bulrushdeal import addresses
from bulrushdeal import codec
from bulrushdeal import errors
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeal import sockets
from bulrushdeal import threads
from bulrushdeald import handlerpool
from bulrushdeald import links
from bulrushdeald import services
from bulrushdeald import websocket
from bulrushdeald import wire

_log = logs.Log("peers")
_MAX_LINKS = 128
# Connections without a call for this long are closed.
IDLE_S = 60.0
_CLEANUP_INTERVAL_S = 5.0
_BACKLOG = 512
_ACCEPT_RETRY_S = 0.1
# The accepted connections that may not have said yet who they are; each takes a
# thread. All VMs that connect at once do so within milliseconds.
_MAX_OPENING = 256
# What may arrive on each of them unread. The system doubles it.
_RECEIVE_BUFFER_BYTES = 32 * 1024
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0

Handler = Callable[[str, Any], Any]


class PeerAddressError(errors.UserError):
    """This VM cannot listen on its peers' address."""


class _Backoff(NamedTuple):
    """The wait before the next attempt to connect to a VM.

    Attributes:
        failures: Failures in a row, with a lost connection as one; at most 10.
        until_s: The end of the wait, by the monotonic clock.
        has_host_answered: See `services.PeerError`.
    """

    failures: int
    until_s: float
    has_host_answered: bool


class _Addresses(NamedTuple):
    """The peers' addresses by VM, with the list that they were read from."""

    rows: tuple[records.Vm, ...]
    by_vm: dict[str, str]


class PeerSettings(Protocol):
    """The settings for calls between VMs."""

    @property
    def peers_address(self) -> str:
        """The address to listen on, as `HOST:PORT`."""


class WebsocketPeers:
    """See `services.Peers`.

    Each process listens on its peers' address and connects to a peer when it
    first calls it. Two VMs that call each other have two connections.

    Args:
        idle_s: Seconds without a call after which a connection is closed.
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
        self._message_types = wire.MessageTypes()
        self._message_types.add(wire.Hello, wire.Refused)
        self._traffic = links.Traffic()
        self._lock = threading.Lock()
        self._links: dict[str, links.Link] = {}
        self._backoffs: dict[str, _Backoff] = {}
        self._addresses = _Addresses((), {})
        self._accepted: set[websocket.Connection] = set()
        # Accepted sockets whose other end has not said who it is, oldest first.
        self._opening: dict[socket.socket, None] = {}
        self._opening_ended = 0
        self._pool = handlerpool.Pool()
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Starts listening; fails if another process holds the address.

        A replaced process of the same VM that still runs would act for the
        VM alongside this one. It holds the address until it ends, and without
        `reuse_port` only one process can hold it.

        Raises:
            PeerAddressError: The address is in use or cannot be bound.
        """
        self._membership = self._kernel.find(
            services.MEMBERSHIP, services.Membership
        )
        own = self._membership.own_vm()
        self._hello = wire.Hello(
            own.vm, self._membership.incarnation(), own.failure_domain
        )
        try:
            self._listener = socket.create_server(
                addresses.parse(self._address), backlog=_BACKLOG
            )
        except (OSError, addresses.AddressError) as error:
            why = getattr(error, "strerror", None) or str(error)
            raise PeerAddressError(
                f"--peers-address {self._address}: {why}"
            ) from error
        sockets.limit_receive_buffer(self._listener, _RECEIVE_BUFFER_BYTES)
        for target in (self._run_accept_loop, self._run_cleanup):
            thread = threads.start(target, "peers", is_vital=True)
            self._threads.append(thread)

    @property
    def port(self) -> int:
        """The port that the server listens on, known after `start`."""
        port: int = self._listener.getsockname()[1]
        return port

    def stop(self, grace_s: float) -> None:
        """Stops listening and closes all connections."""
        self._stopping.set()
        # Wakes the accepting thread; closing the socket alone would not.
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
        """Returns the state of the connections and the traffic counters."""
        with self._lock:
            return {
                "links": sorted(self._links),
                "accepted": len(self._accepted),
                "opening": len(self._opening),
                "opening_ended": self._opening_ended,
                "backing_off": sorted(self._backoffs),
                **self._traffic.dump(),
            }

    def register_handler(self, kind: type[Any], handler: Handler) -> None:
        """See `services.Peers`."""
        self._message_types.add(kind)
        self._handlers[kind.__name__] = handler

    def register_answers(self, *kinds: type[Any]) -> None:
        """See `services.Peers`."""
        self._message_types.add(*kinds)

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """See `services.Peers`."""
        if vm == self._hello.vm:
            return self._to_result(
                self._run_handler(vm, _copy_through_codec(message))
            )
        address = self._peer_address(vm)
        return self._call(vm, links.Target(vm, address), message, timeout_s)

    def call_address(
        self, address: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """Calls whichever VM listens on an address, such as a seed's."""
        target = links.Target("", address)
        return self._call(f"@{address}", target, message, timeout_s)

    def _call(
        self, name: str, target: links.Target, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        link = self._link(name, target)
        if link is None:
            backoff = self._backoffs.get(name)
            return result.Err(
                services.PeerError(
                    "unreachable",
                    f"{name}: no connection, and none may be opened now",
                    backoff is not None and backoff.has_host_answered,
                )
            )
        answer = link.call(message, timeout_s)
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        try:
            return self._to_result(self._message_types.decode(answer.unwrap()))
        except codec.CodecError as error:
            return result.Err(services.PeerError("refused", f"{name}: {error}"))

    def _to_result(
        self, message: Any
    ) -> result.Result[Any, services.PeerError]:
        if isinstance(message, wire.Refused):
            return result.Err(services.PeerError("refused", message.message))
        return result.Ok(message)

    def _link(self, name: str, target: links.Target) -> links.Link | None:
        now_s = time.monotonic()
        with self._lock:
            link = self._links.get(name)
            # A replacement VM of the same name has another address.
            if link is not None and link.target == target:
                return link
            backoff = self._backoffs.get(name)
            is_backing_off = backoff is not None and now_s < backoff.until_s
            if not target.address or is_backing_off or self._is_stopped():
                return None
            if len(self._links) >= _MAX_LINKS and not self._close_idle(0.0):
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
        # Indexed, as a search through 1,200 rows took 0.09 ms for each call.
        if rows is not self._addresses.rows:
            found = {row.vm: row.peer_address for row in rows}
            self._addresses = _Addresses(rows, found)
        return self._addresses.by_vm.get(vm, "")

    def _on_link_end(self, name: str, link: links.Link) -> None:
        with self._lock:
            if self._links.get(name) is link:
                del self._links[name]
            failures = 0
            if not link.was_connected and name in self._backoffs:
                failures = self._backoffs[name].failures
            # Jitter, so that peers do not all reconnect at the same moment.
            wait_s = min(_FIRST_BACKOFF_S * 2**failures, _MAX_BACKOFF_S)
            wait_s *= random.uniform(0.5, 1.0)
            self._backoffs[name] = _Backoff(
                min(failures + 1, 10),
                time.monotonic() + wait_s,
                link.has_host_answered,
            )
        if not link.was_connected:
            _log.debug("No connection to %s: %s", name, link.failure)

    def _close_idle(self, for_s: float) -> bool:
        """Closes links unused for `for_s`.

        If `for_s` is 0, closes only the least recently used idle link.

        Returns:
            Whether a link was closed.
        """
        least_recent_first = sorted(
            self._links, key=lambda name: self._links[name].last_used_s
        )
        dropped = 0
        for name in least_recent_first:
            if for_s == 0.0 and dropped:
                break
            link = self._links[name]
            if link.retire_if_idle(for_s):
                del self._links[name]
                dropped += 1
                threads.start_once(link.close, "closing link")
        return dropped > 0

    def _run_cleanup(self) -> None:
        while not self._stopping.wait(_CLEANUP_INTERVAL_S):
            now_s = time.monotonic()
            with self._lock:
                self._close_idle(self._idle_s)
                self._backoffs = {
                    vm: backoff
                    for vm, backoff in self._backoffs.items()
                    if now_s < backoff.until_s + self._idle_s
                }

    def _run_accept_loop(self) -> None:
        while not self._is_stopped():
            try:
                connected, _ = self._listener.accept()
            except OSError as error:
                # Too many files are open, or the peer has already disconnected.
                if not self._is_stopped():
                    _log.warning("Cannot accept a peer: %r", error)
                    self._stopping.wait(_ACCEPT_RETRY_S)
                continue
            self._add_opening(connected)
            threads.start_once(self._run_connection, "peer accepted", connected)

    def _add_opening(self, connected: socket.socket) -> None:
        """Adds an accepted socket; too many of these end the oldest."""
        with self._lock:
            self._opening[connected] = None
            if len(self._opening) <= _MAX_OPENING:
                return
            oldest = next(iter(self._opening))
            del self._opening[oldest]
            self._opening_ended += 1
        # Its thread finds the end of the connection; it may be over already.
        with contextlib.suppress(OSError):
            oldest.shutdown(socket.SHUT_RDWR)

    def _end_opening(self, connected: socket.socket) -> None:
        with self._lock:
            self._opening.pop(connected, None)

    def _run_connection(self, connected: socket.socket) -> None:
        try:
            self._serve_connection(connected)
        finally:
            self._end_opening(connected)

    def _serve_connection(self, connected: socket.socket) -> None:
        try:
            connection = websocket.accept(connected, wire.MAX_FRAME_BYTES)
        except websocket.BrokenError as error:
            _log.debug("Rejected an incoming connection: %s", error)
            return
        with self._lock:
            self._accepted.add(connection)
        try:
            if not self._is_stopped():
                self._answer_requests(connection, connected)
        except (websocket.BrokenError, codec.CodecError) as error:
            _log.debug("An accepted connection broke: %r", error)
        finally:
            with self._lock:
                self._accepted.discard(connection)
            connection.release()

    def _answer_requests(
        self, connection: websocket.Connection, connected: socket.socket
    ) -> None:
        data = connection.receive()
        if data is None:
            return
        frame = wire.unpack(data)
        hello = codec.from_plain(wire.Hello, frame.fields)
        connection.send(wire.pack(-frame.request_id, self._hello))
        connection.use_idle_timeout()
        self._end_opening(connected)
        requests = handlerpool.RequestQueue(self._pool)
        while (data := connection.receive()) is not None:
            self._traffic.received(len(data))
            request = wire.unpack(data)
            job = functools.partial(
                self._answer_request, connection, hello.vm, request
            )
            handler = self._handlers.get(request.kind)
            if isinstance(handler, services.InlineHandler):
                job()
            elif not requests.submit(job):
                refusal = wire.Refused("too many requests are waiting")
                self._send(connection, hello.vm, -request.request_id, refusal)

    def _answer_request(
        self, connection: websocket.Connection, vm: str, frame: wire.Frame
    ) -> None:
        try:
            answer = self._run_handler(vm, self._message_types.decode(frame))
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
        try:
            data = wire.pack(request_id, answer)
        except codec.CodecError as error:
            # Without an answer of its own the call would cost the connection,
            # and with it all others.
            _log.error("An answer to %s has no encoding: %s", vm, error)
            data = wire.pack(request_id, wire.Refused(str(error)))
        self._traffic.sent(len(data))
        try:
            connection.send(data)
        except websocket.BrokenError as error:
            _log.debug("Cannot send an answer to %s: %s", vm, error)

    def _run_handler(self, vm: str, message: Any) -> Any:
        name = type(message).__name__
        handler = self._handlers.get(name)
        if handler is None:
            return wire.Refused(f"no handler for {name}")
        try:
            return handler(vm, message)
        except Exception as error:  # noqa: BLE001 - the caller gets an answer.
            _log.exception("The handler of %s failed.", name)
            return wire.Refused(repr(error))


def _copy_through_codec(message: Any) -> Any:
    frame = wire.unpack(wire.pack(1, message))
    return codec.from_plain(type(message), frame.fields)

"""Detects that callers closed their connections during a request."""

from collections.abc import Callable
import os
import select
import socket
import threading

from bulrushdeal import logs
from bulrushdeal import threads

_log = logs.Log("callers")

# Only the end of a connection is reported, not pipelined requests.
_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT
_STOP_S = 1.0


class Departures:
    """Watches callers' sockets on one thread.

    A thread that waits for an upstream would otherwise detect the closed
    connection only at its next write to the caller. With a long prompt or a
    response that is not streamed this write comes late, and the upstream
    would go on working on a request that nobody needs. A caller that closes
    only its sending side counts as gone, as in common proxies.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._is_stopping = False
        self._wake = os.eventfd(0)
        self._epoll.register(self._wake, select.EPOLLIN)
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread."""
        self._thread = threads.start(self._run, "departures", is_vital=True)

    def stop(self) -> None:
        """Stops the thread and waits up to a second for it."""
        self._is_stopping = True
        os.eventfd_write(self._wake, 1)
        if self._thread is not None:
            self._thread.join(_STOP_S)

    def watch(
        self, sock: socket.socket, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Calls `callback` on the watching thread when the caller leaves.

        Returns:
            A function that ends the watch. It must be called before the
            socket is closed, because another socket may reuse the file
            descriptor afterwards.
        """
        fd = sock.fileno()
        if fd < 0:
            return lambda: None
        with self._lock:
            self._callbacks[fd] = callback
            self._epoll.register(fd, _EVENTS)
        return lambda: self._unwatch(fd)

    def _unwatch(self, fd: int) -> None:
        with self._lock:
            if self._callbacks.pop(fd, None) is not None:
                self._epoll.unregister(fd)

    def _run(self) -> None:
        while not self._is_stopping:
            for fd, _ in self._epoll.poll():
                # The lock is held during the callback, so that the file
                # descriptor still belongs to this caller's socket.
                with self._lock:
                    callback = self._callbacks.get(fd)
                    if callback is not None and _has_left(fd):
                        _run_callback(callback)


def _has_left(fd: int) -> bool:
    """Returns whether the caller has closed the socket.

    The event may be that of an earlier socket: its watch ended after the event
    was read, and another caller's socket got the same file descriptor.
    """
    poll = select.poll()
    poll.register(fd, select.POLLRDHUP)
    return bool(poll.poll(0))


def _run_callback(callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception:  # noqa: BLE001 - the other watches go on.
        _log.exception("A departed caller's request could not be ended.")

"""Notices that a caller left while nothing is being sent to it."""

from collections.abc import Callable
import os
import select
import socket
import threading

from bulrushdeal import logs

_log = logs.Log("callers")

# Only the end of the connection wakes: pipelined requests do not.
_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT
_STOP_S = 1.0


class Departures:
    """Watches callers' sockets on one thread.

    A thread that waits for an upstream would otherwise learn of it only at
    the next write, which a long prompt or a whole answer makes late: the
    upstream would go on working for nobody. A caller that closes only its
    sending side counts as gone, as in common proxies.
    """

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._lock = threading.Lock()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._is_stopping = False
        self._wake = os.eventfd(0)
        self._epoll.register(self._wake, select.EPOLLIN)
        self._thread = threading.Thread(
            target=self._run, name="departures", daemon=True
        )

    def start(self) -> None:
        """Begins to watch."""
        self._thread.start()

    def stop(self) -> None:
        """Ends the thread."""
        self._is_stopping = True
        os.eventfd_write(self._wake, 1)
        if self._thread.is_alive():
            self._thread.join(_STOP_S)

    def watch(
        self, sock: socket.socket, callback: Callable[[], None]
    ) -> Callable[[], None]:
        """Calls back, on the watching thread, when the caller leaves.

        Returns:
            What ends the watch; it must be called before the socket is
            closed, since its number may be another's afterwards.
        """
        number = sock.fileno()
        if number < 0:
            return lambda: None
        with self._lock:
            self._callbacks[number] = callback
            self._epoll.register(number, _EVENTS)
        return lambda: self._forget(number)

    def _forget(self, number: int) -> None:
        with self._lock:
            if self._callbacks.pop(number, None) is not None:
                self._epoll.unregister(number)

    def _run(self) -> None:
        while not self._is_stopping:
            for number, _ in self._epoll.poll():
                # Under the lock, so that the socket is still this caller's
                # when it is called back for.
                with self._lock:
                    callback = self._callbacks.get(number)
                    if callback is not None:
                        _call(callback)


def _call(callback: Callable[[], None]) -> None:
    try:
        callback()
    except Exception:  # noqa: BLE001 - the other callers are watched on.
        _log.exception("A departed caller's request could not be ended.")

"""Waits on the main thread for signals."""

import selectors
import signal
import socket

_READ_BYTES = 4096


class SignalWaiter:
    """Wakes the main thread at each signal, whichever thread receives it.

    Python runs handlers on the main thread only. The kernel may give a signal
    to another thread, as it does while the main thread has one pending. A main
    thread that waits for a lock or an event then runs the handler only when
    that wait ends, so that a process would stop too late, or never.

    There is one for a process, made on its main thread before the handlers are
    set.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._reader, selectors.EVENT_READ)
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)

    def wait(self, timeout_s: float | None = None) -> None:
        """Returns once a signal has come and its handler has run.

        Args:
            timeout_s: The longest wait in seconds; `None` for no limit.
        """
        if self._selector.select(timeout_s):
            self._reader.recv(_READ_BYTES)

"""A micro-kernel: services register by name and find each other by name."""

from collections.abc import Callable
import threading
import time
from typing import Any, cast, Protocol, TypeVar

from bulrushdeal import logs

_log = logs.Log("kernel")

T = TypeVar("T")


class Service(Protocol):
    """A part of a process that is started and stopped as one."""

    def start(self) -> None:
        """Begins to work; services registered earlier run already."""

    def stop(self, grace_s: float) -> None:
        """Ends gracefully, taking at most `grace_s` seconds."""

    def dump(self) -> Any:
        """Returns the state for people: messages, mappings and scalars."""


class MissingServiceError(Exception):
    """A service was looked up that was never registered."""


class Kernel:
    """Holds the services of one process.

    They start in the order of registration, which is the order of their
    dependencies, and stop in reverse.
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._offered: dict[str, object] = {}
        self._started: list[str] = []
        self._lock = threading.Lock()

    def register(self, name: str, service: Service) -> None:
        """Adds a service under a name that nothing else has."""
        if name in self._services:
            raise ValueError(f"service {name} is registered already")
        self._services[name] = service

    def offer(self, name: str, value: object) -> None:
        """Adds what is found like a service but is neither started nor stopped.

        It must have been made ready by whoever offers it.
        """
        if name in self._services or name in self._offered:
            raise ValueError(f"service {name} is registered already")
        self._offered[name] = value

    def find(self, name: str, kind: Callable[..., T] | type[T]) -> T:
        """Returns the service `name`.

        Args:
            name: The name it was registered under.
            kind: The `Protocol` that the caller speaks to it through.

        Raises:
            MissingServiceError: Nothing is registered under the name.
        """
        del kind
        service = self._services.get(name, self._offered.get(name))
        if service is None:
            raise MissingServiceError(name)
        return cast(T, service)

    def has(self, name: str) -> bool:
        """Tells whether a service is registered under the name."""
        return name in self._services or name in self._offered

    def start(self) -> None:
        """Starts each service; on an error stops those started."""
        for name, service in self._services.items():
            try:
                service.start()
            except BaseException:
                _log.error("Service %s did not start.", name)
                self.stop(grace_s=1.0)
                raise
            self._started.append(name)
        _log.info("Started %s.", ", ".join(self._started))

    def stop(self, grace_s: float) -> None:
        """Stops each started service in reverse order.

        Args:
            grace_s: For all services together; each gets what is left.
        """
        end_s = time.monotonic() + grace_s
        with self._lock:
            while self._started:
                name = self._started.pop()
                _log.info("Stopping %s.", name)
                try:
                    left_s = max(0.0, end_s - time.monotonic())
                    self._services[name].stop(left_s)
                except Exception:  # noqa: BLE001 - the others must stop too.
                    _log.exception("Service %s failed to stop.", name)

    def dump(self) -> dict[str, Any]:
        """Returns each service's state under its name."""
        states: dict[str, Any] = {}
        for name, service in self._services.items():
            try:
                states[name] = service.dump()
            except Exception as error:  # noqa: BLE001 - dump what can be.
                states[name] = f"dump failed: {error!r}"
        return states

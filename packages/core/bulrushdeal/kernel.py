"""The service registry of a process, which starts and stops its services."""

from collections.abc import Callable
import threading
import time
from typing import Any, cast, Protocol, runtime_checkable, TypeVar

from bulrushdeal import logs

_log = logs.Log("kernel")

T = TypeVar("T")


class Service(Protocol):
    """A component of a process with its own start and stop."""

    def start(self) -> None:
        """Starts the service, after those registered before it."""

    def stop(self, grace_s: float) -> None:
        """Stops the service gracefully within `grace_s` seconds."""

    def dump(self) -> Any:
        """Returns the state for operators as messages, mappings and scalars."""


@runtime_checkable
class StopListener(Protocol):
    """A service that prepares for a stop before any service is stopped."""

    def prepare_stop(self, grace_s: float) -> None:
        """Begins to stop in the background; returns at once.

        Args:
            grace_s: The time for all services together, in seconds.
        """


class MissingServiceError(Exception):
    """Raised when a service is looked up that is not registered."""


class Kernel:
    """Holds the services of one process.

    Services start in the order of registration and stop in reverse. Each must
    be registered after the services that it depends on.
    """

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._objects: dict[str, object] = {}
        self._started: list[str] = []
        self._lock = threading.Lock()

    def register(self, name: str, service: Service) -> None:
        """Registers a service.

        Raises:
            ValueError: Another service is registered under the name.
        """
        if name in self._services:
            raise ValueError(f"service {name} is registered already")
        self._services[name] = service

    def register_object(self, name: str, value: object) -> None:
        """Registers an object that is looked up like a service.

        The kernel neither starts nor stops it; the caller must have made it
        ready for use.

        Raises:
            ValueError: The name is already taken.
        """
        if name in self._services or name in self._objects:
            raise ValueError(f"service {name} is registered already")
        self._objects[name] = value

    def find(self, name: str, kind: Callable[..., T] | type[T]) -> T:
        """Returns the service that is registered under a name.

        Args:
            name: The name it was registered under.
            kind: The `Protocol` that the caller uses it through. It only sets
                the return type and is not checked.

        Raises:
            MissingServiceError: Nothing is registered under the name.
        """
        del kind
        service = self._services.get(name, self._objects.get(name))
        if service is None:
            raise MissingServiceError(name)
        return cast(T, service)

    def has(self, name: str) -> bool:
        """Returns whether a service or object is registered under the name."""
        return name in self._services or name in self._objects

    def start(self) -> None:
        """Starts each service in the order of registration.

        If one fails, the services started before it are stopped and its error
        is raised again.
        """
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

        Those that must know at once are told first: the services that stop
        before them may take a while.

        Args:
            grace_s: The time for all services together, in seconds; each one
                gets what the ones before it left.
        """
        end_s = time.monotonic() + grace_s
        with self._lock:
            for name in self._started:
                self._prepare_stop(name, grace_s)
            while self._started:
                name = self._started.pop()
                _log.info("Stopping %s.", name)
                try:
                    left_s = max(0.0, end_s - time.monotonic())
                    self._services[name].stop(left_s)
                except Exception:  # noqa: BLE001 - the others must stop too.
                    _log.exception("Service %s failed to stop.", name)

    def _prepare_stop(self, name: str, grace_s: float) -> None:
        service = self._services[name]
        if not isinstance(service, StopListener):
            return
        try:
            service.prepare_stop(grace_s)
        except Exception:  # noqa: BLE001 - the others must stop too.
            _log.exception("Service %s failed to prepare its stop.", name)

    def dump(self) -> dict[str, Any]:
        """Returns each service's state under its name."""
        states: dict[str, Any] = {}
        for name, service in self._services.items():
            try:
                states[name] = service.dump()
            except Exception as error:  # noqa: BLE001 - dump the others.
                states[name] = f"dump failed: {error!r}"
        return states

"""Tracks the models whose batch items this VM can run."""

import threading

from bulrushdeal import clock as clock_lib
from bulrushdeald import services

# How long a model stays usable after a slot was last free or an item ended.
_USABLE_FOR_S = 15.0


class UsableModels:
    """Records for which models this VM recently had batch slots.

    A VM runs batch items only on upstreams that it owns. If it claimed a
    chunk of a model that only other VMs' upstreams serve, the chunk would
    never run.
    """

    def __init__(
        self,
        config: services.Config,
        router: services.Router,
        clock: clock_lib.Clock,
    ) -> None:
        self._config = config
        self._router = router
        self._clock = clock
        self._lock = threading.Lock()
        self._last_usable_s: dict[str, float] = {}

    def mark_usable(self, model: str) -> None:
        """Marks a model as usable now, as when one of its items ended."""
        with self._lock:
            self._last_usable_s[model] = self._clock.monotonic_s()

    def current(self) -> tuple[str, ...]:
        """Returns the models whose chunks this VM may claim, sorted.

        A model stays usable while this VM's own items take all its slots, so
        that the next chunk is claimed before the last one has drained.
        """
        models = {
            model
            for upstream in self._config.upstreams()
            for model in upstream.models
        }
        for model in models:
            if self._router.batch_slots(model) > 0:
                self.mark_usable(model)
        since_s = self._clock.monotonic_s() - _USABLE_FOR_S
        with self._lock:
            return tuple(
                model
                for model in sorted(models)
                if self._last_usable_s.get(model, since_s) > since_s
            )

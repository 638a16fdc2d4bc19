"""Which models a VM has upstreams for that batch items may run on."""

import threading

from bulrushdeal import clock as clock_lib
from bulrushdeald import services

# A model stays usable for so long after a slot was free or an item ran.
_USABLE_S = 15.0


class UsableModels:
    """Remembers for which models there were slots of late.

    Batch items only run on upstreams that their own VM owns. A chunk that a
    VM claims for others' models would lie there and run nowhere.
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
        self._usable_s: dict[str, float] = {}

    def note(self, model: str) -> None:
        """Notes that an item of a model ended here."""
        with self._lock:
            self._usable_s[model] = self._clock.monotonic_s()

    def now(self) -> tuple[str, ...]:
        """Returns the models of which a chunk may be claimed.

        Slots that are all taken by this VM's own items are still its slots:
        the next chunk is claimed before the last one has drained.
        """
        models = {
            model
            for upstream in self._config.upstreams()
            for model in upstream.models
        }
        for model in models:
            if self._router.batch_slots(model) > 0:
                self.note(model)
        since_s = self._clock.monotonic_s() - _USABLE_S
        with self._lock:
            return tuple(
                model
                for model in sorted(models)
                if self._usable_s.get(model, since_s) > since_s
            )

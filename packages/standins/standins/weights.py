"""A stand-in for the weight store, which limits concurrent fetches."""

import argparse
import time
from typing import Any, NamedTuple

from standins import web

_PATH_PREFIX = "/weights/"


class Limits(NamedTuple):
    """The limits of the store; all figures are assumed, not measured.

    Attributes:
        max_fetches: Most fetches served at once; more are refused.
        fetch_s: Seconds that a fetch takes.
        retry_after_s: The `Retry-After` of a refusal, in seconds.
    """

    max_fetches: int = 2
    fetch_s: float = 0.1
    retry_after_s: float = 1.0


class WeightStore(web.Server):
    """Answers `GET /weights/NAME` with placeholder bytes after `fetch_s`."""

    def __init__(
        self, address: str = "127.0.0.1:0", limits: Limits | None = None
    ) -> None:
        super().__init__(address)
        self._limits = limits or Limits()
        self._active_fetches = 0
        self._peak_fetches = 0

    def serve(self, exchange: web.Exchange) -> None:
        """See `web.Server`."""
        if not exchange.path.startswith(_PATH_PREFIX):
            exchange.answer_json(404, {"error": {"message": "no such path"}})
            return
        if not self._try_begin_fetch():
            self.count("refused")
            retry_after = f"{self._limits.retry_after_s:g}"
            exchange.begin(429, (("Retry-After", retry_after),), 0)
            return
        try:
            time.sleep(self._limits.fetch_s)
        finally:
            with self.lock:
                self._active_fetches -= 1
        self.count("fetched")
        exchange.answer(200, b"weights", "application/octet-stream")

    def stats(self) -> dict[str, Any]:
        """See `web.Server`."""
        counts = {"fetched": 0, "refused": 0}
        return {
            **counts,
            **super().stats(),
            "most_at_once": self._peak_fetches,
        }

    def _try_begin_fetch(self) -> bool:
        with self.lock:
            if self._active_fetches >= self._limits.max_fetches:
                return False
            self._active_fetches += 1
            self._peak_fetches = max(self._peak_fetches, self._active_fetches)
            return True


def main() -> None:
    """Runs the stand-in store as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    for field, default in Limits()._asdict().items():
        parser.add_argument(
            "--" + field.replace("_", "-"), type=type(default), default=default
        )
    flags = vars(parser.parse_args())
    limits = Limits(*(flags[field] for field in Limits._fields))
    web.run(lambda: WeightStore(flags["address"], limits))


if __name__ == "__main__":
    main()

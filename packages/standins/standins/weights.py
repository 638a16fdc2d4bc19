"""A stand-in for the weight store, which serves only so much at once."""

import argparse
import time
from typing import Any, NamedTuple

from standins import web

_PREFIX = "/weights/"


class Limits(NamedTuple):
    """What the store allows; all figures are assumed, not measured.

    Attributes:
        max_fetches: Fetches served at once; more are refused.
        fetch_s: How long a fetch takes.
        retry_after_s: When a refused client is told to come back.
    """

    max_fetches: int = 2
    fetch_s: float = 0.1
    retry_after_s: float = 1.0


class WeightStore(web.Server):
    """Answers `GET /weights/NAME` with some bytes, in time."""

    def __init__(
        self, address: str = "127.0.0.1:0", limits: Limits | None = None
    ) -> None:
        super().__init__(address)
        self._limits = limits or Limits()
        self._fetching = 0
        self._most = 0

    def serve(self, exchange: web.Exchange) -> None:
        """See `web.Server`."""
        if not exchange.path.startswith(_PREFIX):
            exchange.answer_json(404, {"error": {"message": "no such path"}})
            return
        if not self._enter():
            self.count("refused")
            retry_after = f"{self._limits.retry_after_s:g}"
            exchange.begin(429, (("Retry-After", retry_after),), 0)
            return
        try:
            time.sleep(self._limits.fetch_s)
        finally:
            with self.lock:
                self._fetching -= 1
        self.count("fetched")
        exchange.answer(200, b"weights", "application/octet-stream")

    def stats(self) -> dict[str, Any]:
        """See `web.Server`."""
        counts = {"fetched": 0, "refused": 0}
        return {**counts, **super().stats(), "most_at_once": self._most}

    def _enter(self) -> bool:
        with self.lock:
            if self._fetching >= self._limits.max_fetches:
                return False
            self._fetching += 1
            self._most = max(self._most, self._fetching)
            return True


def main() -> None:
    """Runs the stand-in as a process."""
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

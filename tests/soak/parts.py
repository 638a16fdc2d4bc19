"""Requests with a part that crashes engines, and sound ones beside them."""

from collections.abc import Iterable, Mapping
import http.client
import random
import threading
import time

from soak import fleet as fleet_lib
from support import gatewayengine

BAD_PART = "bad"
_FIRST_PART = "first"
_HOST = "h.example"
_PARTS = "bulrushdeal-prompt-prefix"
# Engines that may crash before all VMs must refuse the part, the time until
# they do, and the runs that may come after it.
_MAX_CRASHES = 5
_SETTLED_S = 3.0
_MAX_LATE_RUNS = 3
# Sound requests so long after the last crash are served as others are.
_SOUND_AFTER_S = 6.0
_MIN_SOUND = 10
_MIN_SOUND_RATIO = 0.5


class Parts:
    """Sends requests with the deadly part, no two alike, and sound ones."""

    def __init__(self, fleet: fleet_lib.Fleet, seed: str) -> None:
        self._fleet = fleet
        self._seed = seed
        self.attempts: set[str] = set()
        # When sound requests were sent, and whether they were served.
        self._sound: list[tuple[float, bool]] = []

    def run(self, name: str, stopping: threading.Event) -> None:
        """Sends both kinds from when the fault has begun."""
        rng = random.Random(f"{self._seed} {name} parts")
        number = 0
        while not stopping.wait(rng.uniform(0.1, 0.4)):
            if not self._fleet.deadly_parts:
                continue
            number += 1
            bad, sound = f"{name}.bad.{number}", f"{name}.sound.{number}"
            others = (_FIRST_PART, f"n{rng.randrange(3)}")
            self._send(rng, bad, (*others, BAD_PART))
            sent_s = time.monotonic()
            is_served = self._send(rng, sound, (_FIRST_PART, "fine"))
            self._sound.append((sent_s, is_served))

    def _send(
        self, rng: random.Random, attempt: str, parts: tuple[str, ...]
    ) -> bool:
        """Sends one request; returns whether it was served."""
        self.attempts.add(attempt)
        rows = ",".join(f"{name}:100" for name in (*parts, f"own-{attempt}"))
        headers = {
            "Host": _HOST,
            "Bulrushdeal-Request-Attempt-Id": attempt,
            "Bulrushdeal-Credential": "key-0",
            "Bulrushdeal-Deadline-Ms": "3000",
            "Bulrushdeal-Model": "m1",
            "Bulrushdeal-Token-Usage": f"{100 * len(parts) + 100},50",
            "Bulrushdeal-Prompt-Prefix": rows,
        }
        vm = rng.choice(self._fleet.vms)
        connection = http.client.HTTPConnection(*vm.front.address, timeout=4.0)
        try:
            connection.request(
                "POST", f"/s/once/{attempt}", attempt.encode(), headers
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()
        return response.status == http.HTTPStatus.OK

    def check(
        self, runs: Mapping[str, list[gatewayengine.Run]], all_share: float
    ) -> Iterable[str]:
        """Returns one line for each violated guarantee.

        Args:
            runs: What engines ran, by the ids of attempts.
            all_share: The part of all other streams that was served.
        """
        ran_s = sorted(
            run.at_s
            for attempt in self.attempts
            for run in runs.get(attempt, ())
            if BAD_PART in run.headers.get(_PARTS, "").partition("own-")[0]
        )
        late = 0
        if len(ran_s) > _MAX_CRASHES:
            known_s = ran_s[_MAX_CRASHES - 1] + _SETTLED_S
            late = sum(at_s > known_s for at_s in ran_s)
        if late > _MAX_LATE_RUNS:
            yield f"a deadly part ran {len(ran_s)} times, {late} of them late"
        if not ran_s:
            return
        last_s = ran_s[:_MAX_CRASHES][-1]
        sound = [
            is_served
            for sent_s, is_served in self._sound
            if sent_s > last_s + _SOUND_AFTER_S
        ]
        share = sum(sound) / max(len(sound), 1)
        if len(sound) >= _MIN_SOUND and share < _MIN_SOUND_RATIO * all_share:
            yield (
                f"{share:.0%} of {len(sound)} requests beside a deadly part "
                f"were served, {all_share:.0%} of all others"
            )

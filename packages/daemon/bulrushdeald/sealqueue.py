"""The queue of chunks whose results wait to be sealed."""

from collections.abc import Callable
import threading

from bulrushdeald import batchmessages
from bulrushdeald import chunkrun
from bulrushdeald import sealing


class SealQueue:
    """Seals results in order; a failed one goes to the end of the queue.

    Safe for threads.
    """

    def __init__(
        self,
        sealer: sealing.Sealer,
        on_end: Callable[[batchmessages.Ended], None],
    ) -> None:
        self._sealer = sealer
        self._on_end = on_end
        self._lock = threading.Lock()
        self._waiting: list[sealing.Sealing] = []
        self._in_progress: list[sealing.Sealing] = []

    def __len__(self) -> int:
        with self._lock:
            return len(self._waiting) + len(self._in_progress)

    def add(self, run: chunkrun.ChunkRun) -> None:
        """Adds a chunk whose items have ended."""
        with self._lock:
            self._waiting.append(sealing.Sealing(run))

    def has_waiting(self) -> bool:
        """Returns whether a result waits that is not being sealed already."""
        with self._lock:
            return bool(self._waiting)

    def held(self) -> list[batchmessages.Holding]:
        """Returns the chunks in the queue, which this VM still holds."""
        with self._lock:
            entries = self._waiting + self._in_progress
        return [entry.run.holding for entry in entries]

    def seal_one(self) -> bool:
        """Tries to seal the oldest result.

        Returns:
            Whether it is sealed; true also if the queue is empty.
        """
        with self._lock:
            if not self._waiting:
                return True
            entry = self._waiting.pop(0)
            self._in_progress.append(entry)
        done: sealing.Sealing | batchmessages.Ended = entry
        try:
            done = self._sealer.step(entry)
        finally:
            with self._lock:
                self._in_progress.remove(entry)
                if isinstance(done, sealing.Sealing):
                    self._waiting.append(done)
        if isinstance(done, sealing.Sealing):
            return False
        self._on_end(done)
        return True

    def seal_all_once(self) -> None:
        """Tries to seal each result once, before the process ends."""
        for _ in range(len(self)):
            self.seal_one()

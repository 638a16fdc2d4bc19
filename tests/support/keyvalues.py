"""The platform's key-value service in memory."""

import result

from bulrushdeald import services


class MemoryKeyValue:
    """A key-value service in memory, with outages and lost answers.

    Attributes:
        entries: The stored entries by key.
        revision: The revision of the last put.
        has_outage: Whether each call fails without effect.
        lose_answers: How many of the next puts take effect and then fail as
            `unknown`.
        reads: The number of calls that read.
        writes: The number of calls that write.
    """

    def __init__(self) -> None:
        self.entries: dict[str, services.Entry] = {}
        self.revision = 0
        self.has_outage = False
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0

    def _out(self) -> result.Err[services.KeyValueError]:
        return result.Err(services.KeyValueError("unavailable", "outage"))

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        self.reads += 1
        return (
            self._out() if self.has_outage else result.Ok(self.entries.get(key))
        )

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        self.reads += 1
        if self.has_outage:
            return self._out()
        names = sorted(key for key in self.entries if key.startswith(prefix))
        return result.Ok(tuple(self.entries[name] for name in names))

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        checked = self._check_revision(key, expected_revision)
        if isinstance(checked, result.Err):
            return checked
        self.revision += 1
        self.entries[key] = services.Entry(key, value, self.revision)
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Err(services.KeyValueError("unknown", "lost"))
        return result.Ok(self.revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        checked = self._check_revision(key, expected_revision)
        if isinstance(checked, result.Ok):
            self.entries.pop(key, None)
        return checked

    def _check_revision(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        self.writes += 1
        if self.has_outage:
            return self._out()
        current = self.entries.get(key)
        if (current.revision if current else 0) != expected_revision:
            error = services.KeyValueError("conflict", "held", current)
            return result.Err(error)
        return result.Ok(None)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        raise NotImplementedError

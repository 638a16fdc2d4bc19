"""A stand-in for a model engine that batches continuously.

It holds no model: it takes the time that one would and answers with words
made from the prompt, so that a crossed or cut answer shows.
"""

import argparse
import collections
from collections.abc import Iterator
import hashlib
import json
import threading
import time
from typing import Any, NamedTuple

from standins import orderdesk
from standins import web

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
DONE = b"data: [DONE]\n\n"
_DEFAULT_MAX_TOKENS = 16
_BYTES_PER_TOKEN = 4
_BLOCK_BYTES = 256
_QUEUE_POLL_S = 0.005


class Timing(NamedTuple):
    """How long things take. All figures are assumed, not measured.

    Attributes:
        token_s: Time between two tokens of a stream that runs alone.
        token_per_stream_s: What each running stream adds to that.
        prefill_s: Time to the first token of an empty prompt.
        prefill_per_token_s: What each token not in the cache adds to that.
        max_running: Streams run at once; others queue.
        cache_blocks: Blocks of prompt prefixes kept, of 256 bytes each.
        load_lag_s: How old the reported load is.
        paused_streams: Cancelled streams kept, to be resumed by their
            `X-Stream-Id`; 0 if the engine cannot.
        stamps: 1 to tell in each event of a stream when its token was due
            and when it was made, on the machine's monotonic clock.
    """

    token_s: float = 0.010
    token_per_stream_s: float = 0.0004
    prefill_s: float = 0.005
    prefill_per_token_s: float = 0.0002
    max_running: int = 64
    cache_blocks: int = 4096
    load_lag_s: float = 1.0
    paused_streams: int = 64
    stamps: int = 0


class Token(NamedTuple):
    """One word of an answer, and when it was to be made."""

    text: str
    due_s: float


class Load(NamedTuple):
    """How busy the engine was at a moment."""

    at_s: float
    running: int
    queued: int
    tokens: int


def prompt_text(call: dict[str, Any]) -> str:
    """Returns the prompt of a call as one text."""
    prompt = call.get("messages", call.get("prompt", ""))
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def words(prompt: str, count: int) -> list[str]:
    """Returns the answer to a prompt: each word names prompt and place."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{digest}.{index} " for index in range(count)]


class PrefixCache:
    """Remembers which blocks of prompts were seen lately, bounded."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def take(self, prompt: bytes) -> int:
        """Returns how many leading bytes are cached, and caches the rest."""
        digest = hashlib.sha256()
        cached = 0
        is_hit = True
        with self._lock:
            for start in range(0, len(prompt), _BLOCK_BYTES):
                block = prompt[start : start + _BLOCK_BYTES]
                digest.update(block)
                name = digest.digest()
                is_hit = is_hit and name in self._blocks
                cached += len(block) if is_hit else 0
                self._blocks[name] = None
                self._blocks.move_to_end(name)
            while len(self._blocks) > self._max_blocks:
                self._blocks.popitem(last=False)
        return cached


class PausedStreams:
    """Remembers how far cancelled streams had come, the latest ones."""

    def __init__(self, max_streams: int) -> None:
        self._max_streams = max_streams
        self._tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def pause(self, stream: str, tokens: int) -> None:
        """Keeps how many tokens a stream had made when it was cancelled."""
        if not stream:
            return
        with self._lock:
            self._tokens[stream] = tokens
            while len(self._tokens) > self._max_streams:
                self._tokens.popitem(last=False)

    def resume(self, stream: str) -> int:
        """Returns how many tokens need not be made again."""
        with self._lock:
            return self._tokens.pop(stream, 0)


class Engine(web.Server):
    """One replica of a model engine."""

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        name: str = "engine",
        models: tuple[str, ...] = ("textbook",),
        timing: Timing | None = None,
        desk: orderdesk.DeskSettings | None = None,
    ) -> None:
        super().__init__(address)
        self._name = name
        self.desk = orderdesk.OrderDesk(
            models, desk or orderdesk.DeskSettings()
        )
        self._timing = timing or Timing()
        self._cache = PrefixCache(self._timing.cache_blocks)
        self._paused = PausedStreams(self._timing.paused_streams)
        self._admitting = threading.Condition()
        self._running = 0
        self._queued = 0
        self._tokens = 0
        self._loads: collections.deque[Load] = collections.deque(
            [Load(time.monotonic(), 0, 0, 0)]
        )

    def serve(self, exchange: web.Exchange) -> None:
        """See `web.Server`."""
        if exchange.path == "/load":
            exchange.answer_json(200, self.load())
            return
        if exchange.path == "/v1/models":
            names = self.desk.names()
            data = [{"id": name, "object": "model"} for name in names]
            exchange.answer_json(200, {"object": "list", "data": data})
            return
        if exchange.path in (orderdesk.STATE_PATH, orderdesk.ORDERS_PATH):
            self.desk.serve(exchange)
            return
        if exchange.path not in (CHAT_PATH, TEXT_PATH):
            exchange.answer_json(404, {"error": {"message": "no such path"}})
            return
        try:
            call = json.loads(exchange.body)
        except ValueError:
            exchange.answer_json(400, {"error": {"message": "not JSON"}})
            return
        if call.get("model") not in self.desk.names():
            exchange.answer_json(404, {"error": {"message": "no such model"}})
            return
        self._run(exchange, call)

    def load(self) -> dict[str, float]:
        """Returns the load as it was some time ago."""
        now_s = time.monotonic()
        with self._admitting:
            self._note_load(now_s)
            current = self._loads[-1]
            old = self._loads[0]
            for load in self._loads:
                if load.at_s <= now_s - self._timing.load_lag_s:
                    old = load
        span_s = max(current.at_s - old.at_s, 0.001)
        return {
            "running": old.running,
            "queued": old.queued,
            "tokens_per_s": (current.tokens - old.tokens) / span_s,
            "age_s": now_s - old.at_s,
        }

    def stats(self) -> dict[str, Any]:
        """See `web.Server`."""
        with self._admitting:
            state = {"running": self._running, "queued": self._queued}
        counts = {
            "started": 0,
            "finished": 0,
            "cancelled": 0,
            "prompt_tokens": 0,
            "cached_tokens": 0,
        }
        return {**counts, **super().stats(), **state, "name": self._name}

    def _run(self, exchange: web.Exchange, call: dict[str, Any]) -> None:
        self._admit(exchange)
        self.ran(web.fingerprint(exchange.body))
        self.count("started")
        try:
            self._answer(exchange, call)
        except (web.DroppedError, OSError):
            self.count("cancelled")
            raise
        finally:
            with self._admitting:
                self._running -= 1
                self._note_load(time.monotonic())
                self._admitting.notify()
        self.count("finished")

    def _admit(self, exchange: web.Exchange) -> None:
        with self._admitting:
            self._queued += 1
            try:
                while self._running >= self._timing.max_running:
                    self._admitting.wait(_QUEUE_POLL_S)
                    exchange.check_client()
                self._running += 1
            finally:
                self._queued -= 1
                self._note_load(time.monotonic())

    def _note_load(self, now_s: float) -> None:
        self._loads.append(
            Load(now_s, self._running, self._queued, self._tokens)
        )
        horizon_s = now_s - self._timing.load_lag_s
        # One report older than the lag stays, to be given out.
        while len(self._loads) > 1 and self._loads[1].at_s <= horizon_s:
            self._loads.popleft()

    def _answer(self, exchange: web.Exchange, call: dict[str, Any]) -> None:
        prompt = prompt_text(call)
        data = prompt.encode()
        cached = self._cache.take(data)
        self.count("prompt_tokens", len(data) // _BYTES_PER_TOKEN)
        self.count("cached_tokens", cached // _BYTES_PER_TOKEN)
        fresh_tokens = (len(data) - cached) / _BYTES_PER_TOKEN
        prefill_s = self._timing.prefill_per_token_s * fresh_tokens
        made = self._paused.resume(_stream_name(exchange))
        count = int(call.get("max_tokens") or _DEFAULT_MAX_TOKENS)
        usage = {
            "prompt_tokens": len(data) // _BYTES_PER_TOKEN + 1,
            "completion_tokens": count,
            "total_tokens": len(data) // _BYTES_PER_TOKEN + 1 + count,
            "prompt_tokens_details": {
                "cached_tokens": cached // _BYTES_PER_TOKEN
            },
        }
        exchange.wait(self._timing.prefill_s + prefill_s)
        shape = _Shape(exchange.path == CHAT_PATH, str(call["model"]))
        tokens = self._tokens_in_time(
            exchange, words(prompt, count), made, shape.model
        )
        if not call.get("stream"):
            text = "".join(token.text for token in tokens)
            exchange.answer_json(200, shape.whole(text, usage))
            return
        options = call.get("stream_options") or {}
        last = usage if options.get("include_usage") else None
        _stream(exchange, shape, tokens, last, bool(self._timing.stamps))

    def _tokens_in_time(
        self,
        exchange: web.Exchange,
        answer: list[str],
        made: int,
        model: str,
    ) -> Iterator[Token]:
        due_s = time.monotonic()
        for word in answer[:made]:
            yield Token(word, due_s)
        for number, word in enumerate(answer[made:], made + 1):
            yield Token(word, due_s)
            if model not in self.desk.names():
                # A model that is dropped takes its streams with it.
                self.count("cut")
                exchange.drop()
            # Reading a number needs no lock; an old one does no harm.
            self._tokens += 1
            due_s += (
                self._timing.token_s
                + self._timing.token_per_stream_s * self._running
            )
            try:
                exchange.wait(due_s - time.monotonic())
            except web.DroppedError:
                self._paused.pause(_stream_name(exchange), number)
                raise


def _stream_name(exchange: web.Exchange) -> str:
    """Returns the name that a stream is resumed by, empty if it has none.

    The body is a part of it, so that a stream's name given to another
    request resumes nothing.
    """
    stream = exchange.header("X-Stream-Id")
    return f"{stream}/{web.fingerprint(exchange.body)}" if stream else ""


class _Shape:
    """Builds the JSON that clients of the usual interface read."""

    def __init__(self, is_chat: bool, model: str) -> None:
        self._is_chat = is_chat
        self.model = model

    def whole(self, text: str, usage: dict[str, Any]) -> dict[str, Any]:
        """Returns a whole answer."""
        if self._is_chat:
            choice: dict[str, Any] = {
                "message": {"role": "assistant", "content": text}
            }
        else:
            choice = {"text": text, "logprobs": None}
        choice |= {"index": 0, "finish_reason": "length"}
        return self._object([choice], "", usage)

    def part(self, text: str, finish: str | None) -> dict[str, Any]:
        """Returns one event of a stream."""
        if self._is_chat:
            choice: dict[str, Any] = {"delta": {"content": text}}
        else:
            choice = {"text": text, "logprobs": None}
        choice |= {"index": 0, "finish_reason": finish}
        return self._object([choice], ".chunk", None)

    def usage(self, usage: dict[str, Any]) -> dict[str, Any]:
        """Returns the event that tells the usage of a stream."""
        return self._object([], ".chunk", usage)

    def _object(
        self, choices: list[Any], suffix: str, usage: dict[str, Any] | None
    ) -> dict[str, Any]:
        kind = f"chat.completion{suffix}" if self._is_chat else ""
        value: dict[str, Any] = {
            "id": "run-1",
            "object": kind or "text_completion",
            "created": int(time.time()),
            "model": self.model,
            "choices": choices,
        }
        if usage is not None:
            value["usage"] = usage
        return value


def _stream(
    exchange: web.Exchange,
    shape: _Shape,
    tokens: Iterator[Token],
    usage: dict[str, Any] | None,
    has_stamps: bool,
) -> None:
    exchange.begin(200, (("Content-Type", "text/event-stream"),))
    for index, token in enumerate(tokens):
        event = shape.part(token.text, None)
        if has_stamps:
            event |= {"due_s": token.due_s, "made_s": time.monotonic()}
        exchange.chunk(_event(event))
        if index == 0:
            exchange.middle()
    exchange.chunk(_event(shape.part("", "length")))
    if usage is not None:
        exchange.chunk(_event(shape.usage(usage)))
    exchange.chunk(DONE)
    exchange.chunk(b"")


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def main() -> None:
    """Runs the stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--name", default="engine")
    parser.add_argument("--models", default="textbook", help="with commas")
    defaults = {
        **Timing()._asdict(),
        **orderdesk.DeskSettings()._asdict(),
    }
    for field, default in defaults.items():
        parser.add_argument(
            "--" + field.replace("_", "-"), type=type(default), default=default
        )
    flags = vars(parser.parse_args())
    timing = Timing(*(flags[field] for field in Timing._fields))
    desk_fields = orderdesk.DeskSettings._fields
    desk = orderdesk.DeskSettings(*(flags[field] for field in desk_fields))
    web.run(
        lambda: Engine(
            flags["address"],
            flags["name"],
            tuple(flags["models"].split(",")),
            timing,
            desk,
        )
    )


if __name__ == "__main__":
    main()

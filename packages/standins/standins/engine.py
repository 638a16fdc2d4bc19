"""A stand-in for a model engine that batches continuously.

It runs no model. It takes about as long as a model would and derives each
answer from the prompt, so that tests detect an answer that is truncated or
belongs to another request.
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
    """The simulated timing and capacity. All figures are assumed, not measured.

    Attributes:
        token_s: Seconds between two tokens of a stream that runs alone.
        token_per_stream_s: Seconds that each running stream adds to `token_s`.
        prefill_s: Seconds to the first token of an empty prompt.
        prefill_per_token_s: Seconds that each prompt token that is not cached
            adds to `prefill_s`.
        max_running: Most requests running at once; others queue.
        cache_blocks: Most blocks of prompt prefixes cached, of 256 bytes each.
        load_lag_s: Age of the reported load, in seconds.
        paused_streams: Most cancelled streams that can be resumed by their
            `X-Stream-Id`; 0 if the engine cannot resume streams.
        stamps: 1 to add to each event of a stream when its token was due and
            when it was sent, on the machine's monotonic clock.
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
    """One word of an answer and its due time on the monotonic clock."""

    text: str
    due_s: float


class Load(NamedTuple):
    """The load of the engine at one moment.

    Attributes:
        at_s: The moment, on the monotonic clock.
        running: Requests running.
        queued: Requests waiting to run.
        tokens: Tokens made since the engine started.
    """

    at_s: float
    running: int
    queued: int
    tokens: int


def prompt_text(call: dict[str, Any]) -> str:
    """Returns the prompt or the messages of a request as one text."""
    prompt = call.get("messages", call.get("prompt", ""))
    return prompt if isinstance(prompt, str) else json.dumps(prompt)


def words(prompt: str, count: int) -> list[str]:
    """Returns the words of the answer to a prompt.

    Each word consists of a hash of the prompt and the position of the word.
    """
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{digest}.{index} " for index in range(count)]


class PrefixCache:
    """A bounded LRU cache of the blocks of prompt prefixes."""

    def __init__(self, max_blocks: int) -> None:
        self._max_blocks = max_blocks
        self._blocks: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def match_and_add(self, prompt: bytes) -> int:
        """Returns how many leading bytes are cached, and caches the rest."""
        digest = hashlib.sha256()
        cached = 0
        is_hit = True
        with self._lock:
            for start in range(0, len(prompt), _BLOCK_BYTES):
                block = prompt[start : start + _BLOCK_BYTES]
                digest.update(block)
                block_key = digest.digest()
                is_hit = is_hit and block_key in self._blocks
                cached += len(block) if is_hit else 0
                self._blocks[block_key] = None
                self._blocks.move_to_end(block_key)
            while len(self._blocks) > self._max_blocks:
                self._blocks.popitem(last=False)
        return cached


class PausedStreams:
    """The progress of the latest cancelled streams, by stream key."""

    def __init__(self, max_streams: int) -> None:
        self._max_streams = max_streams
        self._tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def pause(self, stream: str, tokens: int) -> None:
        """Stores how many tokens a stream had made when it was cancelled.

        A stream with an empty key cannot be resumed and is not stored.
        """
        if not stream:
            return
        with self._lock:
            self._tokens[stream] = tokens
            while len(self._tokens) > self._max_streams:
                self._tokens.popitem(last=False)

    def resume(self, stream: str) -> int:
        """Returns how many tokens the stream had made, and forgets it.

        Returns 0 if the stream is not stored.
        """
        with self._lock:
            return self._tokens.pop(stream, 0)


class Engine(web.Server):
    """The stand-in for one replica of a model engine."""

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
        self._admission = threading.Condition()
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
        self._serve_completion(exchange, call)

    def load(self) -> dict[str, float]:
        """Returns the load as it was `Timing.load_lag_s` ago, for `/load`."""
        now_s = time.monotonic()
        with self._admission:
            self._record_load(now_s)
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
        with self._admission:
            state = {"running": self._running, "queued": self._queued}
        counts = {
            "started": 0,
            "finished": 0,
            "cancelled": 0,
            "prompt_tokens": 0,
            "cached_tokens": 0,
        }
        return {**counts, **super().stats(), **state, "name": self._name}

    def _serve_completion(
        self, exchange: web.Exchange, call: dict[str, Any]
    ) -> None:
        self._admit(exchange)
        self.ran(web.fingerprint(exchange.body))
        self.count("started")
        try:
            self._answer(exchange, call)
        except (web.DroppedError, OSError):
            self.count("cancelled")
            raise
        finally:
            with self._admission:
                self._running -= 1
                self._record_load(time.monotonic())
                self._admission.notify()
        self.count("finished")

    def _admit(self, exchange: web.Exchange) -> None:
        with self._admission:
            self._queued += 1
            try:
                while self._running >= self._timing.max_running:
                    self._admission.wait(_QUEUE_POLL_S)
                    exchange.check_client()
                self._running += 1
            finally:
                self._queued -= 1
                self._record_load(time.monotonic())

    def _record_load(self, now_s: float) -> None:
        self._loads.append(
            Load(now_s, self._running, self._queued, self._tokens)
        )
        horizon_s = now_s - self._timing.load_lag_s
        # The newest record older than the lag is kept; `load` reports it.
        while len(self._loads) > 1 and self._loads[1].at_s <= horizon_s:
            self._loads.popleft()

    def _answer(self, exchange: web.Exchange, call: dict[str, Any]) -> None:
        prompt = prompt_text(call)
        data = prompt.encode()
        cached = self._cache.match_and_add(data)
        self.count("prompt_tokens", len(data) // _BYTES_PER_TOKEN)
        self.count("cached_tokens", cached // _BYTES_PER_TOKEN)
        fresh_tokens = (len(data) - cached) / _BYTES_PER_TOKEN
        prefill_s = self._timing.prefill_per_token_s * fresh_tokens
        resumed = self._paused.resume(_resume_key(exchange))
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
        response_format = _ResponseFormat(
            exchange.path == CHAT_PATH, str(call["model"])
        )
        tokens = self._paced_tokens(
            exchange, words(prompt, count), resumed, response_format.model
        )
        if not call.get("stream"):
            text = "".join(token.text for token in tokens)
            exchange.answer_json(200, response_format.completion(text, usage))
            return
        options = call.get("stream_options") or {}
        last = usage if options.get("include_usage") else None
        _stream(
            exchange, response_format, tokens, last, bool(self._timing.stamps)
        )

    def _paced_tokens(
        self,
        exchange: web.Exchange,
        answer: list[str],
        resumed: int,
        model: str,
    ) -> Iterator[Token]:
        due_s = time.monotonic()
        for word in answer[:resumed]:
            yield Token(word, due_s)
        for number, word in enumerate(answer[resumed:], resumed + 1):
            yield Token(word, due_s)
            if model not in self.desk.names():
                # Unloading a model cuts the streams that it serves.
                self.count("cut")
                exchange.drop()
            # Reading `_running` needs no lock: a stale value only affects the
            # simulated pace.
            self._tokens += 1
            due_s += (
                self._timing.token_s
                + self._timing.token_per_stream_s * self._running
            )
            try:
                exchange.wait(due_s - time.monotonic())
            except web.DroppedError:
                self._paused.pause(_resume_key(exchange), number)
                raise


def _resume_key(exchange: web.Exchange) -> str:
    """Returns the key to resume a stream by; empty without `X-Stream-Id`.

    The key includes the hash of the request body, so that another request with
    the same `X-Stream-Id` does not resume the stream.
    """
    stream = exchange.header("X-Stream-Id")
    return f"{stream}/{web.fingerprint(exchange.body)}" if stream else ""


class _ResponseFormat:
    """Builds responses of the chat completions or the completions API."""

    def __init__(self, is_chat: bool, model: str) -> None:
        self._is_chat = is_chat
        self.model = model

    def completion(self, text: str, usage: dict[str, Any]) -> dict[str, Any]:
        """Returns a response that is not streamed."""
        if self._is_chat:
            choice: dict[str, Any] = {
                "message": {"role": "assistant", "content": text}
            }
        else:
            choice = {"text": text, "logprobs": None}
        choice |= {"index": 0, "finish_reason": "length"}
        return self._object([choice], "", usage)

    def stream_event(self, text: str, finish: str | None) -> dict[str, Any]:
        """Returns one event of a stream."""
        if self._is_chat:
            choice: dict[str, Any] = {"delta": {"content": text}}
        else:
            choice = {"text": text, "logprobs": None}
        choice |= {"index": 0, "finish_reason": finish}
        return self._object([choice], ".chunk", None)

    def usage_event(self, usage: dict[str, Any]) -> dict[str, Any]:
        """Returns the event that reports the token usage of a stream."""
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
    response_format: _ResponseFormat,
    tokens: Iterator[Token],
    usage: dict[str, Any] | None,
    has_stamps: bool,
) -> None:
    exchange.begin(200, (("Content-Type", "text/event-stream"),))
    for index, token in enumerate(tokens):
        event = response_format.stream_event(token.text, None)
        if has_stamps:
            event |= {"due_s": token.due_s, "made_s": time.monotonic()}
        exchange.chunk(_event(event))
        if index == 0:
            exchange.apply_body_faults()
    exchange.chunk(_event(response_format.stream_event("", "length")))
    if usage is not None:
        exchange.chunk(_event(response_format.usage_event(usage)))
    exchange.chunk(DONE)
    exchange.chunk(b"")


def _event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def main() -> None:
    """Runs the stand-in engine as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0")
    parser.add_argument("--name", default="engine")
    parser.add_argument(
        "--models", default="textbook", help="comma-separated names"
    )
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

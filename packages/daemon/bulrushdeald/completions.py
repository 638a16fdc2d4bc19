"""Parses and checks calls to a model engine, online or from a batch."""

import json
from typing import Any, NamedTuple

import result

from bulrushdeal import fingerprints
from bulrushdeal import jsontext
from bulrushdeal import records
from bulrushdeald import refusals
from bulrushdeald import services

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
PATHS = (CHAT_PATH, TEXT_PATH)
# Engines cache prompts by whole blocks from the beginning, so the beginning
# shows best which cached blocks a prompt can use.
PREFIX_BYTES = 512
# English text has about four bytes per token.
_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 256


class Call(NamedTuple):
    """A checked call to a model.

    Attributes:
        path: One of `PATHS`.
        body: The JSON as the caller sent it.
        model: The requested model.
        is_stream: Whether the caller wants server-sent events.
        prompt_prefix: The first `PREFIX_BYTES` bytes of the prompt.
        expected_tokens: An estimate of prompt and completion tokens together.
        asks_usage: Whether the caller wants its stream to report the usage.
    """

    path: str
    body: bytes
    model: str
    is_stream: bool
    prompt_prefix: bytes
    expected_tokens: int
    asks_usage: bool = False


def parse(path: str, body: bytes) -> result.Result[Call, services.Refusal]:
    """Parses a body and checks what this system uses of it.

    The engine checks the rest.

    Args:
        path: One of `PATHS`.
        body: The body as the caller sent it.
    """
    try:
        value = jsontext.parse(body)
    except ValueError as error:
        return result.Err(refusals.bad_input(f"The body is not JSON: {error}"))
    if not isinstance(value, dict):
        return result.Err(refusals.bad_input("The body is not a JSON object."))
    return check(path, value, body)


def check(
    path: str, value: dict[str, Any], body: bytes
) -> result.Result[Call, services.Refusal]:
    """Checks a call whose body is already parsed.

    Args:
        path: One of `PATHS`.
        value: The parsed body.
        body: The body as the caller sent it.
    """
    model = value.get("model")
    if not isinstance(model, str) or not model:
        return result.Err(refusals.bad_input("A model is required.", "model"))
    stream = value.get("stream", False)
    if not isinstance(stream, bool):
        return result.Err(
            refusals.bad_input("stream must be a boolean.", "stream")
        )
    field = "messages" if path == CHAT_PATH else "prompt"
    prompt = value.get(field)
    if not prompt or not isinstance(prompt, list | str):
        return result.Err(refusals.bad_input(f"{field} is required.", field))
    max_tokens = value.get("max_tokens", _DEFAULT_MAX_TOKENS)
    if type(max_tokens) is not int or max_tokens < 1:
        return result.Err(
            refusals.bad_input(
                "max_tokens must be a positive integer.", "max_tokens"
            )
        )
    text = _prompt_bytes(prompt)
    return result.Ok(
        Call(
            path,
            body,
            model,
            stream,
            text[:PREFIX_BYTES],
            len(text) // _BYTES_PER_TOKEN + max_tokens,
            bool(_stream_options(value).get("include_usage")),
        )
    )


def _stream_options(value: dict[str, Any]) -> dict[str, Any]:
    options = value.get("stream_options")
    return options if isinstance(options, dict) else {}


def body_with_usage(call: Call) -> bytes:
    """Returns the call's body with the usage of its stream requested.

    By default an engine does not report the number of prompt tokens of a
    stream, and the usage reports would count none.
    """
    value = jsontext.parse(call.body)
    options = {**_stream_options(value), "include_usage": True}
    return json.dumps({**value, "stream_options": options}).encode()


def _prompt_bytes(prompt: Any) -> bytes:
    if isinstance(prompt, str):
        return prompt.encode(errors="replace")
    return json.dumps(prompt).encode()


def work(
    call: Call,
    customer: str,
    work_class: records.WorkClass,
    deadline_s: float,
) -> services.PlacementRequest:
    """Returns the description of a call by which the router places it."""
    return services.PlacementRequest(
        customer,
        work_class,
        call.model,
        "",
        call.prompt_prefix,
        call.expected_tokens,
        fingerprints.fingerprint(customer, call.path, call.body),
        deadline_s,
    )

"""The command `chat`."""

import codecs
from collections.abc import Iterable, Iterator
import json
import sys

from cleo.helpers import argument
from cleo.helpers import option

from bulrushdeal import errors
from bulrushdealui.commands import base

_DATA_PREFIX = "data: "
_END_MARKER = "[DONE]"


class ChatCommand(base.Command):
    """Sends a model one question through the callers' API."""

    name = "chat"
    description = "Ask a model one question and print the answer as it comes."
    arguments = [argument("text", description="The question.")]
    options = [
        *base.CALLER_OPTIONS,
        option("model", description="The model.", flag=False),
        option("max-tokens", description="A number.", flag=False),
        base.JSON,
    ]

    def run_command(self) -> None:
        """See `base.Command`."""
        if not self.option("model"):
            raise errors.UserError("--model is required.")
        request = {
            "model": self.option("model"),
            "messages": [{"role": "user", "content": self.argument("text")}],
            "stream": True,
        }
        if self.option("max-tokens"):
            request["max_tokens"] = int(
                self.number("--max-tokens", self.option("max-tokens"))
            )
        client = self.caller_client()
        chunks = client.stream("POST", "/v1/chat/completions", request)
        for event in read_events(chunks):
            if self.option("json"):
                self.show(event)
                continue
            sys.stdout.write(token_of(event))
            sys.stdout.flush()
        if not self.option("json"):
            self.show("")


def read_events(chunks: Iterable[bytes]) -> Iterator[str]:
    """Yields the data of each server-sent event up to the end marker.

    Raises:
        errors.UserError: The answer ended without the end marker.
    """
    decode = codecs.getincrementaldecoder("utf-8")("replace").decode
    rest = ""
    for chunk in chunks:
        *lines, rest = (rest + decode(chunk)).split("\n")
        for line in lines:
            text = line.rstrip("\r")
            if not text.startswith(_DATA_PREFIX):
                continue
            data = text.removeprefix(_DATA_PREFIX)
            if data == _END_MARKER:
                return
            yield data
    raise errors.UserError("The answer broke off before its end.")


def token_of(event: str) -> str:
    """Returns the text that an event adds to the answer.

    Raises:
        errors.UserError: The event carries an error.
    """
    value = json.loads(event)
    if "error" in value:
        raise errors.UserError(str(value["error"].get("message")))
    choices = value.get("choices") or [{}]
    choice = choices[0]
    text = choice.get("text") or (choice.get("delta") or {}).get("content")
    return text or ""

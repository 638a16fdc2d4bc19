"""What a request to a model engine costs.

Engines differ in what they can take, and requests in what they need: a prompt
of 40,000 tokens fills half of an engine's memory and is read for as long as
hundreds of short ones. A count of slots cannot tell them apart.
"""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may have in common.

    Attributes:
        name: The part's name; two parts of one name have the same tokens.
        tokens: Its length; 0 if it was not stated.
    """

    name: str
    tokens: int


class RequestCost(NamedTuple):
    """The tokens that a request needs.

    Attributes:
        model: The requested model; empty if it was not stated.
        input_tokens: The length of the whole prompt; 0 if it was not stated.
        output_tokens: The expected length of the answer; 0 if unknown.
        parts: The parts of the prompt in order. An engine reuses a kept part
            only if it keeps all parts before it as well.
    """

    model: str = ""
    input_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()

    @property
    def peak_tokens(self) -> int:
        """The memory that the request takes at the end of its answer."""
        return self.input_tokens + self.output_tokens

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The parts that other requests may have, too: all but the last."""
        return tuple(part.name for part in self.parts[:-1] if part.name)


# The cost of a request that states nothing.
UNKNOWN = RequestCost()

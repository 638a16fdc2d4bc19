"""Bytes that arrive in pieces and are held until they are sent on."""

import collections

# From this size on, freed blocks go back to the system; see
# `memory.limit_allocator`.
_BLOCK_BYTES = 64 * 1024


class HeldBytes:
    """Pieces of a body, copied into a few blocks.

    Held as they came, pieces of two bytes take thirty times their size, and
    pieces of any size leave the heap full of holes for as long as others are
    held.

    Attributes:
        size_bytes: The sum of all pieces that were added.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self._blocks: collections.deque[bytearray] = collections.deque()

    def __bool__(self) -> bool:
        """Returns whether any bytes are left."""
        return bool(self._blocks)

    def add(self, piece: bytes) -> None:
        """Adds a piece at the end; it may be dropped afterwards."""
        self.size_bytes += len(piece)
        blocks = self._blocks
        if not blocks or len(blocks[-1]) + len(piece) > _BLOCK_BYTES:
            blocks.append(bytearray())
        blocks[-1] += piece

    def take_block(self) -> bytes:
        """Removes the first block and returns it."""
        return bytes(self._blocks.popleft())

    def take_all(self) -> bytes:
        """Removes all blocks and returns them as one."""
        blocks, self._blocks = self._blocks, collections.deque()
        return b"".join(blocks)

"""What the outputs of unfinished batch items may hold on a VM."""

from gateway import jobstate

# An item is looked at each time that its output has grown by so much.
_CHECK_BYTES = 16 * 1024


class OutputRoom:
    """The outputs of all unfinished items of a VM, and their bound.

    Args:
        table: The jobs that the VM runs.
        limit_bytes: What the outputs may hold together.
    """

    def __init__(self, table: jobstate.JobTable, limit_bytes: int) -> None:
        self._table = table
        self._limit_bytes = limit_bytes

    def has_room(self, item: jobstate.ItemState) -> bool:
        """Returns whether a running item may keep its output.

        Without room, outputs of the mean size or more are given up. One
        without end is soon among them.
        """
        if item.output_bytes - item.checked_bytes < _CHECK_BYTES:
            return True
        item.checked_bytes = item.output_bytes
        held = self._table.outputs()
        if held.size_bytes <= self._limit_bytes:
            return True
        return item.output_bytes * held.items < held.size_bytes

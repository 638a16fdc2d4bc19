"""Which results of a job are written to the store together.

Each write has a price and counts against the store's rate limit, and the items
of a job that started together end shortly after one another.
"""

_WAIT_S = 0.2
# A job that is due sooner gets each result at once.
_MIN_DUE_IN_S = 2.0
# A transaction has room for 32 entries; a result takes two, its value and the
# condition that its position is free.
MAX_RESULTS = 14


def wait_s(due_in_s: float, others_running: int) -> float:
    """Returns how long a result waits for others of its job, in seconds.

    Args:
        due_in_s: In how many seconds the job is due; negative if it is late.
        others_running: How many other items of the job run now.
    """
    if not others_running or abs(due_in_s) < _MIN_DUE_IN_S:
        return 0.0
    return _WAIT_S

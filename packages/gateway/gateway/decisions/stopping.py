"""Which requests a VM still takes after it was told to stop."""

from typing import NamedTuple

# The balancer checks readiness every second and removes a VM after two failed
# checks; until then it opens new connections, which the VM must accept.
_BALANCER_NOTICE_S = 3.0
# How much later the listener closes, for connections that are on their way.
_LAST_CONNECTIONS_S = 0.2
# The part of the grace period that is reserved for closing connections when
# requests are still running.
_CLOSE_RESERVE_S = 0.3
# Answers of one route differ, and upstreams slow down while VMs are replaced.
_LIKELY_FACTOR = 2.0


class StopTimes(NamedTuple):
    """The moments of a stop, in seconds of the monotonic clock.

    Attributes:
        unbalanced_s: From when on only callers with open connections send.
        close_s: When the listener and idle connections are closed.
        cut_s: When requests that still run are ended.
        end_s: When the grace period ends.
    """

    unbalanced_s: float
    close_s: float
    cut_s: float
    end_s: float


def plan(now_s: float, grace_s: float) -> StopTimes:
    """Returns the moments of a stop that begins now.

    Args:
        now_s: The current monotonic time.
        grace_s: What is left of the grace period, in seconds.
    """
    notice_s = min(_BALANCER_NOTICE_S + _LAST_CONNECTIONS_S, grace_s / 2)
    end_s = now_s + grace_s
    return StopTimes(
        now_s + max(notice_s - _LAST_CONNECTIONS_S, 0.0),
        now_s + notice_s,
        max(end_s - _CLOSE_RESERVE_S, now_s),
        end_s,
    )


def may_begin(
    times: StopTimes,
    now_s: float,
    due_s: float,
    longest_s: float | None,
    *,
    is_repeatable: bool,
) -> bool:
    """Returns whether a request may be sent to an upstream during a stop.

    One that outlasts the grace period would be cut, while its caller could be
    served by another VM. So it is taken only if its time is over before the
    cut, or if it is likely to end before. That is good enough while the
    balancer sends callers here, for a request that its caller may repeat.
    Later nothing is taken on a guess: an answer that is relayed as it comes
    cannot be taken back.

    Args:
        times: The moments of the stop.
        now_s: The current monotonic time.
        due_s: When the request's deadline or its route's timeout ends it.
        longest_s: How long the longest of the route's last answers took;
            `None` if there was none.
        is_repeatable: Whether it may run once more elsewhere.
    """
    if due_s <= times.cut_s:
        return True
    if longest_s is None or not is_repeatable or now_s >= times.unbalanced_s:
        return False
    return now_s + _LIKELY_FACTOR * longest_s <= times.cut_s

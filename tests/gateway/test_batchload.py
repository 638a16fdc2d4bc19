"""Batch jobs over engines that cannot do all of them in time."""

import random

from gateway import dialect
from gateway import jobrecords
from gateway import jobstate
from gateway import records
from gateway import slotledger

_SLOTS = 16
_RUN_S = 5.0
_DUE_S = 18.0
_ITEMS = 10
_LENGTH_S = 60.0
_STEP_S = 0.1


def _job(number: int, at_s: float) -> jobstate.JobState:
    names = tuple(f"{number}-{item}" for item in range(_ITEMS))
    meta = jobrecords.JobMeta(
        f"j{number}",
        "school",
        "h",
        "/b/j",
        int(at_s * 1000),
        names,
        1,
        3,
        60.0,
        _DUE_S,
    )
    items = tuple(dialect.JobItem(name, "/b/x", {}, b"") for name in names)
    return jobstate.JobState(meta, items, 1, ())


def _share_in_time(run_s: float) -> float:
    """Plays jobs that come 1.3 times as fast as the engines work.

    Args:
        run_s: How long a run is taken for; 0 takes no item for late.
    """
    rng = random.Random(1)
    ledger = slotledger.Ledger(rng)
    ledger.set_engines(
        records.Upstream(f"i-{row}", "llm", "h:1", "d", 8, False, 0)
        for row in range(_SLOTS // 8)
    )
    every_s = _ITEMS * _RUN_S / _SLOTS / 1.3
    arrivals = [row * every_s for row in range(int(_LENGTH_S / every_s))]
    jobs = [_job(row, at_s) for row, at_s in enumerate(arrivals)]
    running: list[tuple[float, str, jobstate.JobState, jobstate.ItemState]]
    running = []
    in_time = steps = 0
    while steps * _STEP_S < _LENGTH_S * 2:
        steps += 1
        now_s = steps * _STEP_S
        for row in [row for row in running if row[0] <= now_s]:
            running.remove(row)
            _, run, job, item = row
            ledger.release(run, now_s)
            job.note_listed(item)
            in_time += now_s <= job.due_s
        for is_late in (False, True):
            want = jobstate.Want(now_s, now_s, run_s, is_late)
            for number, job in enumerate(jobs):
                if arrivals[number] > now_s:
                    break
                for _ in range(job.count_ready(want)):
                    run = f"vm{number % 3}.{steps}.{len(running)}"
                    taken = ledger.take_batch(
                        run, f"vm{number % 3}", now_s, is_late=is_late
                    )
                    if taken is None:
                        break
                    found = job.next_item(want)
                    assert found is not None
                    running.append((now_s + _RUN_S, run, job, found))
    return in_time / (_ITEMS * len(jobs))


def test_more_jobs_than_can_be_in_time_are_not_all_late() -> None:
    """For a minute 1.3 times as many items come as the engines can do.

    In the order of due times each one waits a little longer than the one
    before, until all of them end just after they were due; teachers of later
    lessons get nothing in time although the engines work all the while.
    """
    by_due_time = _share_in_time(0.0)
    late_last = _share_in_time(_RUN_S)
    assert late_last > by_due_time + 0.1
    assert late_last > 0.7

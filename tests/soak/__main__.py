"""`python -m soak`: runs seeds and prints the guarantees that were violated."""

import argparse
from collections.abc import Callable
from concurrent import futures
import multiprocessing
import secrets
import sys

from soak import kept
from soak import leavers
from soak import playing

# Each VM process takes about 60 MB of memory; a run of several seeds usually
# has a few dozen processes.
_DEFAULT_VMS = 4
# What a limit gives too much may grow with the VMs: so many in each third run
# of a fresh seed.
_MANY_VMS = 16
_MANY_EVERY = 3
# Enough that their connections stay idle for a while.
_UPSTREAMS_VMS = 8
_DEFAULT_LENGTH_S = 12.0
_MAX_PROBLEM_LINES = 8


def main() -> int:
    """Runs the requested seeds; returns 1 if one violates a guarantee."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int)
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of additional random seeds"
    )
    parser.add_argument(
        "--kept",
        action="store_true",
        help="also run the seeds that failed before",
    )
    parser.add_argument(
        "--leavers",
        action="store_true",
        help="play upstreams that leave instead of all faults",
    )
    parser.add_argument(
        "--upstreams",
        action="store_true",
        help="play faults of upstreams alone, which excuse no overlap",
    )
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--length-s", type=float, default=_DEFAULT_LENGTH_S)
    parser.add_argument("--vms", type=int, default=0)
    arguments = parser.parse_args()
    seeds = [
        *arguments.seeds,
        *(sorted({row.seed for row in kept.SEEDS}) if arguments.kept else ()),
    ]
    default_vms = _UPSTREAMS_VMS if arguments.upstreams else _DEFAULT_VMS
    sizes = [arguments.vms or default_vms] * len(seeds)
    for number in range(arguments.fresh):
        seeds.append(secrets.randbelow(10**6))
        is_large = number % _MANY_EVERY == 0 and not arguments.upstreams
        sizes.append(arguments.vms or (_MANY_VMS if is_large else default_vms))
    failed = 0
    with futures.ProcessPoolExecutor(
        arguments.at_once,
        multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        seeds_by_future = {
            pool.submit(
                _choose_play(arguments),
                seed,
                arguments.length_s,
                vms,
            ): f"{seed} ({vms} VMs)"
            for seed, vms in zip(seeds, sizes, strict=True)
        }
        for future in futures.as_completed(seeds_by_future):
            result = future.result()
            failed += bool(result.problems)
            sys.stdout.write(
                f"seed {seeds_by_future[future]}: "
                f"{len(result.problems)} problems, "
                f"{result.served} of {result.sent} requests served, "
                f"{result.accepted} jobs with {result.listed} results\n"
            )
            for line in result.problems[:_MAX_PROBLEM_LINES]:
                sys.stdout.write(f"    {line}\n")
            sys.stdout.flush()
    sys.stdout.write(f"{len(seeds)} seeds, {failed} violated a guarantee\n")
    return 1 if failed else 0


def _choose_play(
    arguments: argparse.Namespace,
) -> Callable[[int, float, int], playing.SeedResult]:
    if arguments.leavers:
        return leavers.play
    return playing.play_upstreams if arguments.upstreams else playing.play


if __name__ == "__main__":
    sys.exit(main())

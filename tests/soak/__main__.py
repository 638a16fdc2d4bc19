"""`python -m soak`: plays seeds and says which of them break a promise."""

import argparse
from concurrent import futures
import multiprocessing
import secrets
import sys

from soak import kept
from soak import playing

# Each VM takes about 60 MB; a few dozen processes are the usual size.
_VMS = 4
_LENGTH_S = 12.0
_MAX_LINES = 8


def main() -> int:
    """Plays the seeds asked for; returns 1 if one breaks a promise."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("seeds", nargs="*", type=int)
    parser.add_argument("--fresh", type=int, default=0, help="seeds drawn now")
    parser.add_argument(
        "--kept", action="store_true", help="seeds that failed once"
    )
    parser.add_argument("--at-once", type=int, default=2)
    parser.add_argument("--length-s", type=float, default=_LENGTH_S)
    parser.add_argument("--vms", type=int, default=_VMS)
    asked = parser.parse_args()
    seeds = [
        *asked.seeds,
        *(sorted({row.seed for row in kept.SEEDS}) if asked.kept else ()),
        *(secrets.randbelow(10**6) for _ in range(asked.fresh)),
    ]
    failed = 0
    with futures.ProcessPoolExecutor(
        asked.at_once,
        multiprocessing.get_context("spawn"),
        max_tasks_per_child=1,
    ) as pool:
        played = {
            pool.submit(
                playing.play, seed, 10 + index % 200, asked.length_s, asked.vms
            ): seed
            for index, seed in enumerate(seeds)
        }
        for done in futures.as_completed(played):
            row = done.result()
            failed += bool(row.problems)
            sys.stdout.write(
                f"seed {played[done]}: {len(row.problems)} problems, "
                f"{row.served} of {row.sent} requests served, "
                f"{row.accepted} jobs with {row.listed} results\n"
            )
            for line in row.problems[:_MAX_LINES]:
                sys.stdout.write(f"    {line}\n")
            sys.stdout.flush()
    sys.stdout.write(f"{len(seeds)} seeds, {failed} with a promise broken\n")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

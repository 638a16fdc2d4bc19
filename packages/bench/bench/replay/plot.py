"""Plots the results of a replay over time."""

from collections.abc import Iterable, Sequence
import pathlib

from matplotlib import figure as figure_lib

from bench.replay import tally

_SIZE_INCHES = (10, 3)
_COLOURS = {
    "in_time": "tab:green",
    "late": "tab:orange",
    "refused": "tab:red",
    "unfinished": "tab:gray",
}


def write(
    path: pathlib.Path, results: Iterable[tally.Ended], length_s: float
) -> None:
    """Writes a PNG with a chart for each kind of request.

    A chart shows for each second how the requests that arrived in it ended.

    Args:
        path: The path of the file.
        results: The results of the replay.
        length_s: The length of the replay, in seconds.

    Raises:
        OSError: The file cannot be written.
    """
    all_results = tuple(results)
    kinds = sorted({result.kind for result in all_results})
    width, height = _SIZE_INCHES
    figure = figure_lib.Figure(
        (width, height * max(1, len(kinds))), layout="constrained"
    )
    all_axes = figure.subplots(max(1, len(kinds)), squeeze=False)[:, 0]
    seconds = range(int(length_s) + 1)
    for kind, axes in zip(kinds, all_axes, strict=False):
        bottom = [0] * len(seconds)
        for end in tally.ENDS:
            counts = _counts(all_results, kind, end, seconds)
            axes.bar(
                seconds,
                counts,
                bottom=bottom,
                align="edge",
                width=1.0,
                color=_COLOURS[end],
                label=end.replace("_", " "),
            )
            bottom = [a + b for a, b in zip(bottom, counts, strict=True)]
        axes.set(title=kind, xlabel="arrival time, s", ylabel="per second")
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.savefig(path, format="png")


def _counts(
    outcomes: Iterable[tally.Ended],
    kind: str,
    end: tally.End,
    seconds: Sequence[int],
) -> list[int]:
    counts = [0] * len(seconds)
    for result in outcomes:
        if result.kind == kind and result.end == end:
            counts[int(result.arrived_s)] += 1
    return counts

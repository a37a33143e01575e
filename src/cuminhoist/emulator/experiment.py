"""Replays patterns with several seeds and compares them with their bounds."""

import pathlib
import statistics

import msgspec

from .patterns import Pattern
from .report import Report
from .simulation import Simulation

#: Size of a plot, in inches.
PLOT_SIZE = (9.0, 4.5)


class Row(msgspec.Struct, frozen=True):
    """Mean figures of one pattern over all seeds.

    :param bound_fraction: part in time in terms of the bound.
    """

    name: str
    in_time: float
    worst_region: float
    served: float
    refused_again: float
    largest_shift: float
    bound: float
    bound_fraction: float


def replay(pattern: Pattern, seeds: int) -> list[Report]:
    """Replay a pattern with the seeds from 1 on.

    :param pattern: the load.
    :param seeds: how many seeds.
    """
    return [
        Simulation.from_pattern(pattern, seed).run()
        for seed in range(1, seeds + 1)
    ]


def summarize(pattern: Pattern, reports: list[Report]) -> Row:
    """Return the mean figures of a pattern.

    :param pattern: the load.
    :param reports: its replays.
    """
    in_time = statistics.fmean(report.in_time() for report in reports)
    bound = reports[0].bound
    return Row(
        name=pattern.name,
        in_time=in_time,
        worst_region=min(report.worst_region() for report in reports),
        served=statistics.fmean(report.served() for report in reports),
        refused_again=statistics.fmean(
            report.refused_again() for report in reports
        ),
        largest_shift=max(report.largest_shift() for report in reports),
        bound=bound,
        bound_fraction=in_time / bound,
    )


def plot(pattern: Pattern, report: Report, path: pathlib.Path) -> None:
    """Write the part in time over time, by region, as a PNG file.

    :param pattern: the load.
    :param report: one replay.
    :param path: the file.
    """
    # Imported late: the library takes a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE)
    axes = figure.subplots()
    for region in pattern.regions:
        windows = report.windows(region.name)
        axes.plot(list(windows), list(windows.values()), label=region.name)
    axes.set_title(pattern.name)
    axes.set_xlabel('time, s')
    axes.set_ylabel('part in time')
    axes.set_ylim(0, 1)
    axes.legend()
    figure.savefig(path)

"""Replays patterns with several seeds and compares results with the bound."""

import pathlib
import statistics

import msgspec

from .patterns import Pattern
from .report import Report
from .simulation import Simulation

#: Width and height of a plot, in inches.
PLOT_SIZE_IN = (9.0, 4.5)


class Row(msgspec.Struct, frozen=True):
    """Results of one pattern over all seeds.

    Fractions are means, but ``worst_region`` is the lowest and
    ``largest_shift`` and ``unwanted`` are the highest values of any replay.

    :param unwanted: requests that reached targets although these had said
        that they leave, had asked for a pause or had named a limit.
    :param bound_fraction: fraction in time divided by the bound.
    """

    name: str
    in_time: float
    worst_region: float
    served: float
    refused_again: float
    largest_shift: float
    bound: float
    bound_fraction: float
    unwanted: int


def replay(pattern: Pattern, seeds: int) -> list[Report]:
    """Replay a pattern with consecutive seeds, from 1 on.

    :param pattern: the load pattern.
    :param seeds: number of seeds.
    """
    return [
        Simulation.from_pattern(pattern, seed).run()
        for seed in range(1, seeds + 1)
    ]


def summarize(pattern: Pattern, reports: list[Report]) -> Row:
    """Return the results of a pattern.

    :param pattern: the load pattern.
    :param reports: reports of its replays.
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
        unwanted=max(
            report.after_notices + report.in_pauses + report.over_limits
            for report in reports
        ),
    )


def plot(pattern: Pattern, report: Report, path: pathlib.Path) -> None:
    """Plot the fraction in time over time, by region, to a PNG file.

    :param pattern: the load pattern.
    :param report: report of one replay.
    :param path: path of the PNG file.
    """
    # Imported here because the import takes a second and only plots need it.
    from matplotlib.figure import Figure

    figure = Figure(figsize=PLOT_SIZE_IN)
    axes = figure.subplots()
    for region in pattern.regions:
        windows = report.windows(region.name)
        axes.plot(list(windows), list(windows.values()), label=region.name)
    axes.set_title(pattern.name)
    axes.set_xlabel('time, s')
    axes.set_ylabel('fraction in time')
    axes.set_ylim(0, 1)
    axes.legend()
    figure.savefig(path)

"""Command line of the emulator: replays load patterns and prints a table."""

import pathlib
import sys

import fire
from returns.result import Failure
from rich.console import Console
from rich.progress import track
from rich.table import Table

from .experiment import Row, plot, replay, summarize
from .patterns import Pattern, load_pattern

_COLUMNS = (
    'pattern',
    'in time',
    'worst region',
    'served',
    'refused again',
    'largest shift',
    'bound',
    'unwanted',
)


def run(*files: str, seeds: int = 3, plots: str = '') -> None:
    """Replay load patterns and print the fractions answered in time.

    :param files: JSON files of load patterns.
    :param seeds: number of replays of each pattern.
    :param plots: folder for one PNG file per pattern; empty for none.
    """
    patterns = [_load(name) for name in files]
    rows = []
    for pattern in track(patterns, console=Console(stderr=True)):
        reports = replay(pattern, seeds)
        rows.append(summarize(pattern, reports))
        if plots:
            folder = pathlib.Path(plots)
            folder.mkdir(parents=True, exist_ok=True)
            plot(pattern, reports[0], folder / f'{pattern.name}.png')
    Console().print(_table(rows))
    lowest_fraction = min((row.bound_fraction for row in rows), default=1)
    sys.stdout.write(
        f'patterns {len(rows)}, worst share of bound {lowest_fraction:.3f}\n'
    )


def _load(name: str) -> Pattern:
    loaded = load_pattern(pathlib.Path(name))
    if isinstance(loaded, Failure):
        sys.exit(str(loaded.failure()))
    return loaded.unwrap()


def _table(rows: list[Row]) -> Table:
    table = Table(*_COLUMNS)
    for row in rows:
        figures = (
            row.in_time,
            row.worst_region,
            row.served,
            row.refused_again,
            row.largest_shift,
            row.bound,
        )
        texts = (f'{figure:.3f}' for figure in figures)
        table.add_row(row.name, *texts, str(row.unwanted))
    return table


if __name__ == '__main__':
    fire.Fire({'run': run})

"""Measures how well the told speed of a target predicts its next run.

The replay of a pattern with noise records, for each run, the last speed that
the dispatcher knew of the target when the run started, the age of that news,
and the run time relative to the mean.

Usage: python -m benchmarks.speed_news [pattern.json]
"""

import collections
import pathlib
import statistics
import sys

from cuminhoist.emulator import Simulation, load_pattern
from cuminhoist.emulator.patterns import Pattern
from cuminhoist.emulator.targets import EmulatedTarget, Job
from cuminhoist.steering.decisions import AttemptReport

#: When the dispatcher learnt a speed, in seconds, and the speed.
_News = tuple[float, float] | None
_PATTERN = pathlib.Path('examples/loads/noisy-targets.json')
#: Upper ends of the classes of ages, in seconds.
_AGES_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)


class _Recorder(Simulation):
    """A replay that records told speeds and the runs that follow."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        super().__init__(pattern, seed)
        self.runs: list[tuple[float, float, float]] = []
        self._news: dict[tuple[str, str], tuple[float, float]] = {}
        self._started: dict[int, tuple[float, float, _News]] = {}

    def _handle_report(self, job: Job, report: AttemptReport) -> None:
        if report.load is not None and report.load.slowdown is not None:
            news = (self.now, report.load.slowdown)
            self._news[job.region, report.target] = news
        super()._handle_report(job, report)

    def _start_run(self, job: Job, target: EmulatedTarget) -> None:
        work = target.work
        hit = job.key in target._cached
        mean_s = work.cold_s * (work.warm_part if hit else 1)
        told = self._news.get((job.region, target.entry.name))
        self._started[job.number] = (self.now, mean_s, told)
        super()._start_run(job, target)

    def _finish_run(self, job: Job, target: EmulatedTarget) -> None:
        started_at, mean_s, told = self._started.pop(job.number)
        if told is not None:
            ratio = (self.now - started_at) / mean_s
            self.runs.append((started_at - told[0], told[1], ratio))
        super()._finish_run(job, target)


def _class(age_s: float) -> float:
    return next((end for end in _AGES_S if age_s <= end), float('inf'))


def main() -> None:
    """Print the mean run time by age and told speed."""
    path = pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else _PATTERN
    pattern = load_pattern(path).unwrap()
    by_age: collections.defaultdict[float, list[tuple[float, float]]]
    by_age = collections.defaultdict(list)
    for seed in (1, 2, 3):
        replay = _Recorder(pattern, seed)
        replay.run()
        for age_s, told, ratio in replay.runs:
            by_age[_class(age_s)].append((told, ratio))
    print('age up to, s | runs | mean ratio told usual | told slow | corr.')
    for end_s, pairs in sorted(by_age.items()):
        usual = [pair[1] for pair in pairs if pair[0] <= 1]
        slow = [pair[1] for pair in pairs if pair[0] > 1]
        if len(usual) < 2 or len(slow) < 2:
            continue
        correlation = statistics.correlation(*zip(*pairs, strict=True))
        print(
            f'{end_s:12} | {len(pairs):5} | {statistics.fmean(usual):.3f}'
            f' | {statistics.fmean(slow):.3f} | {correlation:.2f}'
        )


if __name__ == '__main__':
    main()

"""Queue, running attempts and run times of one service."""

from collections.abc import Mapping

import msgspec

from .placement import Placement, RunTimes
from .target_pauses import TargetPauses
from .target_speed import SpeedNews
from .tracked_target import TrackedTarget
from .waiting_requests import WaitingRequests

#: Least weight of a new observation in the run times of a service.
SMOOTHING = 0.05
#: Factor by which a run time may deviate from the average and still count in
#: full. Run times vary by about 15 in 100.
MAX_DEVIATION = 1.35
#: Run times of a cache miss and a cache hit, as fractions of the first
#: objective, until run times have been measured.
INITIAL_MISS_RUN_FRACTION = 0.9
INITIAL_HIT_RUN_FRACTION = 0.3


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that occupies a slot.

    :param ends_at: deadline of the attempt, in monotonic seconds.
    :param expected_hit: whether a cache hit was expected at the target.
    :param workspace: its workspace; empty for none, or if another dispatcher
        granted it.
    """

    service: str
    target: str
    key: str
    ends_at: float
    expected_hit: bool = False
    workspace: str = ''


class ServiceQueue:
    """Targets, run times and waiting requests of one service.

    :param learns_limits: whether concurrency limits of targets are learned.
    """

    def __init__(self, *, learns_limits: bool = True) -> None:
        self.placement = Placement({}, '')
        self.waiting = WaitingRequests()
        self.run_times = RunTimes()
        self.speed_news = SpeedNews(learns_limits=learns_limits)

    @property
    def targets(self) -> dict[str, TrackedTarget]:
        """All targets by name."""
        return self.placement.targets

    def add_run_time(
        self, run_s: float, *, expected_hit: bool, robust: bool = False
    ) -> None:
        """Add the run time of an answered request to the averages.

        :param run_s: run time in seconds.
        :param expected_hit: whether a cache hit was expected.
        :param robust: whether the deviation of a single run counts only up to
            a bound, as a few runs take very long.
        """
        times = self.run_times
        mean_s = times.hit_run_s if expected_hit else times.miss_run_s
        if robust and mean_s:
            run_s = max(run_s, mean_s / MAX_DEVIATION)
            run_s = min(run_s, mean_s * MAX_DEVIATION)
        if expected_hit:
            times.hit_count += 1
            weight = max(SMOOTHING, 1 / (times.hit_count + 1))
            times.hit_run_s += weight * (run_s - times.hit_run_s)
        else:
            times.miss_count += 1
            weight = max(SMOOTHING, 1 / (times.miss_count + 1))
            times.miss_run_s += weight * (run_s - times.miss_run_s)

    def init_run_times(self, objective_s: float) -> None:
        """Estimate run times from an objective if none are known yet.

        :param objective_s: time until the objective, in seconds.
        """
        if not self.run_times.miss_run_s and objective_s > 0:
            self.run_times.miss_run_s = objective_s * INITIAL_MISS_RUN_FRACTION
            self.run_times.hit_run_s = objective_s * INITIAL_HIT_RUN_FRACTION
            self.run_times.mean_s = self.run_times.miss_run_s

    def recheck_paused_requests(
        self, entry_instance: str, pauses: TargetPauses, now: float
    ) -> None:
        """Make requests due for placement that wait for a paused target.

        :param entry_instance: entry instance that was asked to pause.
        :param pauses: its pauses.
        :param now: monotonic time in seconds.
        """
        for waiting in self.waiting.sent_by(entry_instance):
            awaited = waiting.target
            if awaited is not None and pauses.left_s(awaited.entry, now):
                self.waiting.leave_target(waiting)
                self.waiting.recheck(waiting, now)

    def recheck_requests_without(
        self, targets: Mapping[str, TrackedTarget], now: float
    ) -> None:
        """Make requests due for placement if their target is taken out.

        :param targets: the targets that stay, by name.
        :param now: monotonic time in seconds.
        """
        for awaited in self.waiting.awaited_targets():
            if targets.get(awaited.entry.name) is not awaited:
                self.waiting.release_target(awaited, now)

    def recheck_overloaded_requests(
        self, target: TrackedTarget, now: float
    ) -> None:
        """Make requests due for placement that wait for a target in overload.

        :param target: a target, overloaded or not.
        :param now: monotonic time in seconds.
        """
        if target.is_overloaded(now):
            self.recheck_requests_for(target, now)

    def recheck_requests_for(self, target: TrackedTarget, now: float) -> None:
        """Make requests due for placement that wait for a target.

        :param target: the target.
        :param now: monotonic time in seconds.
        """
        self.waiting.recheck_target(target, now)

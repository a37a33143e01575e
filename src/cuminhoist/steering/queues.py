"""Waiting requests and running attempts of a service."""

import collections

import msgspec

from .decisions import PlacementRequest
from .placement import Option, Placement, RunTimes
from .tracked_target import TrackedTarget

#: Least weight of a new observation in the run times of a service.
SMOOTHING = 0.05
#: Run times before any was seen, as parts of the first objective.
FIRST_COLD_PART = 0.9
FIRST_WARM_PART = 0.3
#: A waiting request is looked at again this long after its slot was due, in
#: seconds.
LOOK_AGAIN_S = 0.015


class RunningAttempt(msgspec.Struct, frozen=True):
    """An attempt that holds a slot.

    :param ends_at: when it must have ended.
    """

    service: str
    target: str
    key: str
    ends_at: float
    was_warm: bool = False


class WaitingRequest:
    """A request in the queue of a service.

    :param track: the target whose slot it waits for.
    :param look_at: when another way to serve it is looked for.
    """

    def __init__(
        self, entry_instance: str, ask: PlacementRequest, now: float
    ) -> None:
        self.entry_instance = entry_instance
        self.ask = ask
        self.since = now
        self.useful_until = now + ask.objective_left_s
        self.track: TrackedTarget | None = None
        self.look_at = now

    def wait_for(self, option: Option, now: float) -> None:
        """Join the queue of a target.

        :param option: the target and the expected wait.
        :param now: monotonic time in seconds.
        """
        self.leave()
        self.track = option.track
        self.track.queued += 1
        self.look_at = now + option.wait_s + LOOK_AGAIN_S

    def leave(self) -> None:
        """Leave the queue of the target."""
        if self.track is not None:
            self.track.queued -= 1
            self.track = None


class ServiceQueue:
    """Targets, run times and waiting requests of one service."""

    def __init__(self) -> None:
        self.placement = Placement({}, '')
        self.waiting: collections.deque[WaitingRequest] = collections.deque()
        self.run_times = RunTimes()

    @property
    def tracks(self) -> dict[str, TrackedTarget]:
        """All targets by name."""
        return self.placement.tracks

    def learn(self, run_s: float, *, was_warm: bool) -> None:
        """Add the run time of an answered request.

        :param run_s: the time, in seconds.
        :param was_warm: whether its target held its object.
        """
        times = self.run_times
        if was_warm:
            times.warm_count += 1
            weight = max(SMOOTHING, 1 / (times.warm_count + 1))
            times.hit_run_s += weight * (run_s - times.hit_run_s)
        else:
            times.cold_count += 1
            weight = max(SMOOTHING, 1 / (times.cold_count + 1))
            times.miss_run_s += weight * (run_s - times.miss_run_s)

    def expect(self, objective_s: float) -> None:
        """Take first run times from an objective.

        :param objective_s: time in which an answer is of full use.
        """
        if not self.run_times.miss_run_s and objective_s > 0:
            self.run_times.miss_run_s = objective_s * FIRST_COLD_PART
            self.run_times.hit_run_s = objective_s * FIRST_WARM_PART
            self.run_times.mean_s = self.run_times.miss_run_s

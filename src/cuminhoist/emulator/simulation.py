"""Runs a load pattern under a clock of its own."""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Self

import msgspec

from ..steering.decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
)
from ..steering.demand import DemandMeter
from ..steering.dispatcher import Dispatcher
from ..steering.slot_lending import DispatchContext, make_tracks
from .bound import arrival_rate, max_in_time_fraction
from .patterns import Pattern
from .report import Outcome, Report
from .targets import SERVICE, EmulatedTarget, Job

#: Round trip between a caller and its entry instance, in seconds.
CALLER_S = 0.006
#: Round trip between an entry instance and the dispatcher, in seconds.
DISPATCHER_S = 0.003
#: How often demand is measured and slots are lent, in seconds.
SUPPLY_S = 0.5
TICK_S = 0.005
#: Most of a region's requests that may change their region in two seconds.
SHIFT_LIMIT = 0.15
#: A request is sent to this many targets at most.
MAX_TARGETS = 2
#: Further attempts for each request, and those that may be saved.
RETRY_EARNED = 0.12
RETRY_SAVED = 8.0


class _Asking(msgspec.Struct):
    """A caller that waits for an answer."""

    region: str
    key: str
    asked_at: float
    ends_at: float
    refusals: int = 0
    excluded: tuple[str, ...] = ()


class Simulation:
    """Emulated targets and callers around the real decisions.

    :param pattern: the load.
    :param seed: seed of all random numbers.
    """

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.now = float(0)
        self._pattern = pattern
        self._rng = random.Random(seed)  # noqa: S311
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._asking: dict[int, _Asking] = {}
        self._retries = float(0)
        self.targets = {
            target.entry.name: target for target in self._make_targets()
        }
        self.dispatchers = {
            region.name: Dispatcher(SHIFT_LIMIT) for region in pattern.regions
        }
        self._meters = {
            region.name: DemandMeter(region.name, 0)
            for region in pattern.regions
        }
        self.report = Report(
            pattern.callers.objective_s, max_in_time_fraction(pattern)
        )

    @classmethod
    def from_pattern(cls, pattern: Pattern, seed: int = 1) -> Self:
        """Build a world for a pattern.

        :param pattern: the load.
        :param seed: seed of all random numbers.
        """
        return cls(pattern, seed)

    def run(self) -> Report:
        """Replay the whole pattern."""
        pattern = self._pattern
        for region in pattern.regions:
            self._plan_arrival(region.name)
        for slow in pattern.slow:
            count = round(slow.part * len(self.targets))
            chosen = self._rng.sample(sorted(self.targets), count)
            end_s = slow.at_s + slow.for_s
            self._at(slow.at_s, partial(self._slow_down, chosen, slow.factor))
            self._at(end_s, partial(self._slow_down, chosen, 1))
        for part in pattern.declining:
            self._at(part.at_s, partial(self._decline, part.part))
            self._at(part.at_s + part.for_s, partial(self._decline, 0))
        self._supply()
        self._tick()
        while self._events:
            when, _, event = heapq.heappop(self._events)
            self.now = when
            event()
        return self.report

    def _make_targets(self) -> list[EmulatedTarget]:
        return [
            EmulatedTarget(
                f'{region.name}-{number}',
                region.name,
                self._pattern,
                self._rng,
            )
            for region in self._pattern.regions
            for number in range(region.targets)
        ]

    def _at(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), event))

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        self._at(self.now + delay_s, event)

    def _slow_down(self, names: list[str], factor: float) -> None:
        for name in names:
            self.targets[name].slowdown = factor

    def _decline(self, part: float) -> None:
        for target in self.targets.values():
            target.declined_part = part

    def _plan_arrival(self, region: str) -> None:
        gap_s = self._rng.expovariate(
            max(arrival_rate(self._pattern, region, self.now), 0.1)
        )
        if self.now + gap_s < self._pattern.length_s:
            self._after(gap_s, lambda: self._arrive(region))

    def _arrive(self, region: str) -> None:
        self._plan_arrival(region)
        callers = self._pattern.callers
        asking = _Asking(
            region,
            f'o{self._rng.randrange(self._pattern.work.object_count)}',
            self.now,
            self.now + callers.left_s,
        )
        self._retries = min(self._retries + RETRY_EARNED, RETRY_SAVED)
        self._after((CALLER_S + DISPATCHER_S) / 2, lambda: self._ask(asking))

    def _ask(self, asking: _Asking) -> None:
        number = next(self._numbers)
        self._asking[number] = asking
        self._meters[asking.region].count_request(SERVICE)
        objective_s = self._pattern.callers.objective_s
        ask = PlacementRequest(
            number=number,
            service=SERVICE,
            key=asking.key,
            objective_left_s=asking.asked_at
            + objective_s
            - self.now
            - CALLER_S / 2,
            left_s=asking.ends_at - self.now,
            excluded=asking.excluded,
        )
        dispatcher = self.dispatchers[asking.region]
        decision = dispatcher.decide_or_queue(asking.region, ask, self.now)
        if decision is not None:
            self._decided(decision)

    def _decided(self, decision: Decision) -> None:
        if isinstance(decision, Granted):
            delay_s = DISPATCHER_S / 2
            self._after(delay_s, lambda: self._send(decision))
            return
        asking = self._asking.pop(decision.number)
        self._refused(asking, decision.retry_after_s)

    def _refused(self, asking: _Asking, retry_after_s: float) -> None:
        asking.refusals += 1
        left_s = asking.ends_at - self.now
        if asking.refusals > self._pattern.callers.retries or left_s <= 0:
            self._end(asking, None, moved=False)
            return
        asking.excluded = ()
        delay_s = min(retry_after_s, left_s / 3) + 2 * CALLER_S
        self._after(delay_s, lambda: self._ask(asking))

    def _send(self, granted: Granted) -> None:
        asking = self._asking[granted.number]
        target = self.targets[granted.target]
        job = Job(granted.number, asking.region, asking.key, self.now)
        distance_s = self._distance_s(job, target)
        self._after(distance_s, lambda: self._reach(job, target))

    def _distance_s(self, job: Job, target: EmulatedTarget) -> float:
        away = target.region != job.sender
        return self._pattern.region_s if away else DISPATCHER_S / 4

    def _reach(self, job: Job, target: EmulatedTarget) -> None:
        if target.declines():
            self._answer(job, target, Ending.declined)
            return
        started = target.arrive(job)
        if started is None:
            self._answer(job, target, Ending.shed)
        elif started:
            self._run(job, target)

    def _run(self, job: Job, target: EmulatedTarget) -> None:
        run_s = target.run_s(job.key)
        self._after(run_s, lambda: self._finish(job, target))

    def _finish(self, job: Job, target: EmulatedTarget) -> None:
        following = target.finish(job.key)
        if following is not None:
            self._run(following, target)
        self._answer(job, target, Ending.answered)

    def _answer(self, job: Job, target: EmulatedTarget, how: Ending) -> None:
        distance_s = self._distance_s(job, target)
        self._after(distance_s, lambda: self._answered(job, target, how))

    def _answered(self, job: Job, target: EmulatedTarget, how: Ending) -> None:
        asking = self._asking.pop(job.number)
        done = AttemptReport(
            job.number,
            target.entry.name,
            SERVICE,
            job.key,
            how,
            self.now - job.sent_at,
        )
        self._after(DISPATCHER_S / 2, lambda: self._report_done(job, done))
        if how is Ending.answered:
            moved = target.region != job.sender
            self._end(asking, self.now + CALLER_S / 2, moved=moved)
            return
        asking.excluded = (*asking.excluded, target.entry.name)
        if len(asking.excluded) < MAX_TARGETS and self._retries >= 1:
            self._retries -= 1
            self._ask(asking)
        else:
            self._refused(asking, 0.01)

    def _report_done(self, job: Job, done: AttemptReport) -> None:
        dispatcher = self.dispatchers[job.sender]
        for _, decision in dispatcher.end_attempt(job.sender, done, self.now):
            self._decided(decision)

    def _end(
        self,
        asking: _Asking,
        answered_at: float | None,
        *,
        moved: bool,
    ) -> None:
        in_time = answered_at is not None and answered_at <= asking.ends_at
        took_s = answered_at - asking.asked_at if answered_at else None
        self.report.outcomes.append(
            Outcome(
                asking.region,
                asking.asked_at,
                took_s if in_time else None,
                moved,
                asking.refusals,
            ),
        )

    def _supply(self) -> None:
        demand = {
            need.region: need.slots
            for name, meter in self._meters.items()
            for need in meter.measure(
                self.dispatchers[name].service_loads(), self.now
            )
        }
        for name, dispatcher in self.dispatchers.items():
            self._supply_region(name, dispatcher, demand)
        if self.now < self._pattern.length_s:
            self._after(SUPPLY_S, self._supply)

    def _supply_region(
        self,
        name: str,
        dispatcher: Dispatcher,
        demand: dict[str, float],
    ) -> None:
        queue = dispatcher.queue(SERVICE)
        terms = DispatchContext(
            region=name,
            region_by_domain={region: region for region in self.dispatchers},
            drained_domains=frozenset(),
            inter_region_rtt_s=2 * self._pattern.region_s,
            cold_rate_by_service={},
            run_s_by_service={SERVICE: queue.run_times.hit_run_s},
        )
        tracks = make_tracks(
            queue.tracks,
            [target.entry for target in self.targets.values()],
            demand,
            terms,
            self.now,
        )
        dispatcher.set_targets(SERVICE, tracks, name)

    def _tick(self) -> None:
        for dispatcher in self.dispatchers.values():
            for _, decision in dispatcher.decide_waiting(self.now):
                self._decided(decision)
        dispatchers = self.dispatchers.values()
        waits = any(one.has_waiting() for one in dispatchers)
        if waits or self.now < self._pattern.length_s + 2 * TICK_S:
            self._after(TICK_S, self._tick)

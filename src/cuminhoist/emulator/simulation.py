"""Replays a load pattern against real dispatchers in simulated time."""

import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Self

import msgspec

from ..gateway.reachability import SILENCE_S
from ..steering.decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
)
from ..steering.demand import Demand, DemandMeter
from ..steering.dispatcher import Dispatcher
from ..steering.leaving_targets import LeavingTarget
from ..steering.poison_requests import (
    Fingerprint,
    PoisonRequests,
    TargetEnd,
)
from ..steering.slot_lending import DispatchContext, make_tracked_targets
from ..steering.target_limits import UNLIMITED, TargetLimit
from ..steering.targets import TargetEntry
from .bound import arrival_rate, max_in_time_fraction
from .disturbances import schedule_disturbances
from .emulated_entry import EmulatedEntry
from .entry_instances import TARGET_RTT_S, EntryInstances
from .machines import Machine
from .mix import RequestMix
from .notices import RegionNotices
from .patterns import CutConnections, Pattern, RequestClass
from .poison import RUN_S, PoisonArrivals, schedule_poison
from .report import Outcome, Report
from .noise import add_machines, schedule_noise
from .targets import SERVICE, EmulatedTarget, Job

#: Round-trip time between a caller and its entry instance, in seconds.
CALLER_RTT_S = 0.006
#: Round-trip time between an entry instance and the dispatcher, in seconds.
DISPATCHER_RTT_S = 0.003
#: Interval at which demand is measured and slots are lent, in seconds.
TARGET_UPDATE_S = 0.5
#: Interval at which dispatchers decide on waiting requests, in seconds.
TICK_S = 0.005
#: Limit on the increase of the fraction of shifted requests from one
#: two-second window to the next.
SHIFT_LIMIT_FRACTION = 0.15
#: Maximum number of targets that a request is sent to between refusals.
MAX_ATTEMPTS = 2
#: Retry budget: tokens that each new caller adds, and the most that are
#: saved. A retry costs one token.
RETRY_TOKENS_PER_REQUEST = 0.12
MAX_RETRY_TOKENS = 8.0
#: Endings after which an instance may have another one serve the request.
_LOST_CONNECTION = frozenset((Ending.lost, Ending.unreachable))
#: Endings with an answer that tells the load of the target.
_TOLD_LOAD = frozenset((Ending.answered, Ending.shed, Ending.declined))
#: Endings that may be the fault of the path to the target.
_FAILURES = _LOST_CONNECTION | {Ending.timeout}


class _WaitingCaller(msgspec.Struct):
    """A caller that waits for an answer.

    :param entry: entry instance that places the request.
    :param asked_at: simulated time of the first request, in seconds.
    :param ends_at: simulated time of its final deadline, in seconds.
    :param excluded: targets that were tried since the last refusal.
    :param content: identifies the content of the request.
    :param down_s: time until a target starts again that ends under the
        request, in seconds; 0 if none does.
    :param at_cut: whether the instance that was asked first had been cut off
        for a while; None if no instance had.
    :param peers: instances that may place the request for a cut one; None if
        it has not been passed on.
    :param workspace: name of its workspace; empty for none.
    """

    region: str
    entry: EmulatedEntry
    key: str
    asked_at: float
    kind: RequestClass
    workspace: str
    ends_at: float
    refusals: int = 0
    excluded: tuple[str, ...] = ()
    content: str = ''
    down_s: float = 0
    at_cut: bool | None = None
    peers: list[EmulatedEntry] | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Identity of the request; each caller has its own region."""
        return Fingerprint(self.content, f'{self.content}/{self.region}')


class Simulation:
    """Runs real dispatchers with emulated targets and callers.

    :param pattern: the load pattern.
    :param seed: seed of all random numbers.
    """

    def __init__(self, pattern: Pattern, seed: int) -> None:
        self.now = float(0)
        self._seed = seed
        self._pattern = pattern
        self._mix = RequestMix(pattern)
        self._rng = random.Random(seed)  # noqa: S311
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._numbers = itertools.count(1)
        self._waiting_callers: dict[int, _WaitingCaller] = {}
        self._retry_tokens = float(0)
        self._notices = RegionNotices(region.name for region in pattern.regions)
        self._poison = PoisonArrivals()
        self._poison_requests = {
            region.name: PoisonRequests() for region in pattern.regions
        }
        self._demand: list[Demand] = []
        self.targets = {
            target.entry.name: target for target in self._make_targets()
        }
        add_machines(pattern, self.targets, seed)
        self._entries = EntryInstances(
            pattern, seed, self._schedule_after, self._listed_targets
        )
        self.dispatchers = {
            region.name: Dispatcher(SHIFT_LIMIT_FRACTION)
            for region in pattern.regions
        }
        for name, dispatcher in self.dispatchers.items():
            dispatcher.limits.on_limit = partial(self._spread_limit, name)
        self._meters = {
            region.name: DemandMeter(region.name, 0)
            for region in pattern.regions
        }
        objectives_s = [kind.objective_s for kind in pattern.classes]
        self.report = Report(
            max((pattern.callers.objective_s, *objectives_s)),
            max_in_time_fraction(pattern),
        )

    @classmethod
    def from_pattern(cls, pattern: Pattern, seed: int = 1) -> Self:
        """Create a simulation of a pattern.

        :param pattern: the load pattern.
        :param seed: seed of all random numbers.
        """
        return cls(pattern, seed)

    def run(self) -> Report:
        """Replay the whole pattern and return its report."""
        pattern = self._pattern
        for region in pattern.regions:
            self._schedule_arrival(region.name)
        schedule_disturbances(
            pattern,
            [target for _, target in sorted(self.targets.items())],
            self._rng,
            self._schedule_at,
        )
        schedule_poison(
            pattern, self._rng, self._schedule_at, self._send_poison
        )
        schedule_noise(
            pattern,
            self.targets,
            self._change_noise,
            self._schedule_at,
            self._seed,
        )
        self._update_targets()
        self._tick()
        while self._events:
            due_at, _, event = heapq.heappop(self._events)
            self.now = due_at
            event()
        self.report.in_pauses = sum(
            target.unwanted_arrivals for target in self.targets.values()
        )
        self.report.over_limits = sum(
            target.limited_arrivals.excess for target in self.targets.values()
        )
        self.report.poison_sent_on = self._poison.excess
        return self.report

    def _change_noise(
        self,
        target: EmulatedTarget,
        machine: Machine,
        noisy: bool,  # noqa: FBT001
    ) -> None:
        machine.set_noise(self.now, noisy=noisy)
        self._schedule_next_end(target, machine)

    def _send_poison(self, region: str, content: str, down_s: float) -> None:
        caller = _WaitingCaller(
            region,
            self._entries.choose(region),
            content,
            self.now,
            *self._mix.choose(self._rng, self.now),
            self.now + self._pattern.callers.left_s,
            content=content,
            down_s=down_s,
        )
        self._request_placement(caller)

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

    def _schedule_at(self, due_at: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due_at, next(self._event_ids), event))

    def _schedule_after(
        self, delay_s: float, event: Callable[[], None]
    ) -> None:
        self._schedule_at(self.now + delay_s, event)

    def _schedule_arrival(self, region: str) -> None:
        gap_s = self._rng.expovariate(
            max(arrival_rate(self._pattern, region, self.now), 0.1)
        )
        if self.now + gap_s < self._pattern.length_s:
            self._schedule_after(gap_s, lambda: self._handle_arrival(region))

    def _handle_arrival(self, region: str) -> None:
        self._schedule_arrival(region)
        kind, workspace = self._mix.choose(self._rng, self.now)
        entry = self._entries.choose(region)
        caller = _WaitingCaller(
            region,
            entry,
            f'o{self._rng.randrange(self._pattern.work.object_count)}',
            self.now,
            kind,
            workspace,
            self.now + kind.left_s,
            content=f'content-{next(self._numbers)}',
            at_cut=self._entries.was_asked_in_cut(entry, self.now),
        )
        self._retry_tokens = min(
            self._retry_tokens + RETRY_TOKENS_PER_REQUEST, MAX_RETRY_TOKENS
        )
        self._schedule_after(
            (CALLER_RTT_S + DISPATCHER_RTT_S) / 2,
            lambda: self._request_placement(caller),
        )

    def _request_placement(self, caller: _WaitingCaller) -> None:
        region = caller.entry.region
        if self._poison_requests[region].is_poison(caller.fingerprint):
            self.report.refused_as_poison += not caller.down_s
            return
        if caller.entry.is_cut:
            self._pass_on(caller)
            return
        number = next(self._numbers)
        self._waiting_callers[number] = caller
        homes = frozenset(caller.kind.homes)
        self._meters[region].count_request(SERVICE, homes)
        request = PlacementRequest(
            number=number,
            service=SERVICE,
            key=caller.key,
            objective_left_s=caller.asked_at
            + caller.kind.objective_s
            - self.now
            - CALLER_RTT_S / 2,
            left_s=caller.ends_at - self.now,
            allowed_regions=homes,
            excluded=caller.excluded,
            priority=caller.kind.priority,
            workspace=caller.workspace,
        )
        decision = self.dispatchers[region].decide_or_queue(
            caller.entry.name, request, self.now
        )
        if decision is not None:
            self._handle_decision(decision)

    def _pass_on(self, caller: _WaitingCaller) -> None:
        """Have another entry instance place the request of a cut one."""
        if caller.peers is None:
            caller.peers = self._entries.peers(caller.entry)
        if not caller.peers:
            self._handle_refusal(caller, 0.01)
            return
        peer = caller.peers.pop(0)
        remote = peer.region != caller.entry.region
        caller.entry = peer
        delay_s = self._pattern.region_s if remote else TARGET_RTT_S
        self._schedule_after(delay_s, lambda: self._request_placement(caller))

    def _handle_decision(self, decision: Decision) -> None:
        if isinstance(decision, Granted):
            delay_s = DISPATCHER_RTT_S / 2
            self._schedule_after(delay_s, lambda: self._send(decision))
            return
        caller = self._waiting_callers.pop(decision.number)
        self._handle_refusal(caller, decision.retry_after_s)

    def _handle_refusal(
        self, caller: _WaitingCaller, retry_after_s: float
    ) -> None:
        caller.refusals += 1
        left_s = caller.ends_at - self.now
        if caller.refusals > self._pattern.callers.retries or left_s <= 0:
            self._record_outcome(caller, None, shifted=False)
            return
        caller.excluded = ()
        caller.entry = self._entries.choose(caller.region)
        caller.peers = None
        delay_s = min(retry_after_s, left_s / 3) + 2 * CALLER_RTT_S
        self._schedule_after(delay_s, lambda: self._request_placement(caller))

    def _send(self, granted: Granted) -> None:
        caller = self._waiting_callers[granted.number]
        target = self.targets[granted.target]
        job = Job(
            granted.number, caller.entry, caller.key, self.now, caller.down_s
        )
        reused = caller.entry.has_connection(target.entry)
        if caller.entry.cut is not None:
            self._schedule_after(SILENCE_S, partial(self._check_silence, job))
            if not reused:
                self._fail_to_connect(job, target)
                return
        delay_s = self._one_way_delay_s(job, target)
        self._schedule_after(delay_s, lambda: self._reach_target(job, target))

    def _check_silence(self, job: Job) -> None:
        if job.number in self._waiting_callers:
            self._entries.check_if_silent(job.entry, self.now)

    def _fail_to_connect(self, job: Job, target: EmulatedTarget) -> None:
        report = self._attempt_report(job, target, Ending.unreachable)
        self._schedule_after(
            self._entries.time_to_fail_s(job.entry),
            lambda: self._handle_answer(job, target, report),
        )

    def _one_way_delay_s(self, job: Job, target: EmulatedTarget) -> float:
        remote = target.region != job.region
        return self._pattern.region_s if remote else DISPATCHER_RTT_S / 4

    def _reach_target(self, job: Job, target: EmulatedTarget) -> None:
        caller = self._waiting_callers[job.number]
        self.report.after_notices += self._notices.is_late(
            job.region, target.entry.name, caller.asked_at
        )
        if target.stopped:
            self._return_answer(job, target, Ending.unreachable)
            return
        pause_s = target.refuse_for_s(job.region, self.now)
        if pause_s:
            self._return_answer(job, target, Ending.shed, pause_s)
            return
        if target.declines():
            self._return_answer(job, target, Ending.declined)
            return
        self._poison.count_arrival(caller.content, self.now)
        target.limited_arrivals.count(self.now, target.limit_per_s)
        started = target.arrive(job)
        if started is None:
            self._return_answer(job, target, Ending.shed)
        elif started:
            self._start_run(job, target)

    def _spread_notice(self, region: str, entry: TargetEntry) -> None:
        """Tell all dispatchers that a target leaves."""
        self._notices.record_answer(region, entry.name, self.now)
        notice = LeavingTarget(entry.name, entry.started_at_ms)
        for name in self.dispatchers:
            delay_s = DISPATCHER_RTT_S / 2
            delay_s += self._pattern.region_s if name != region else 0
            self._schedule_after(
                delay_s, partial(self._apply_notice, name, notice)
            )

    def _spread_end(self, region: str, end: TargetEnd) -> None:
        """Tell all regions that a target ended under a request."""
        for name, known in self._poison_requests.items():
            delay_s = self._pattern.region_s if name != region else 0
            self._schedule_after(delay_s, partial(self._record_end, known, end))

    def _record_end(self, known: PoisonRequests, end: TargetEnd) -> None:
        known.record((end,), self.now)

    def _refute(self, caller: _WaitingCaller) -> None:
        own = self._poison_requests[caller.entry.region]
        for end in own.refute(caller.fingerprint, self.now):
            self._spread_end(caller.entry.region, end)

    def _spread_limit(self, region: str, limit: TargetLimit) -> None:
        """Tell the other dispatchers of the limit of a target."""
        for name, dispatcher in self.dispatchers.items():
            if name != region:
                self._schedule_after(
                    self._pattern.region_s,
                    partial(self._apply_limit, dispatcher, limit),
                )

    def _apply_limit(self, dispatcher: Dispatcher, limit: TargetLimit) -> None:
        dispatcher.limits.apply((limit,), self.now)

    def _apply_notice(self, region: str, notice: LeavingTarget) -> None:
        listed = self._listed_entries()
        if self._notices.add(region, notice, listed, self.now):
            self._update_region_targets(region)

    def _listed_targets(self) -> list[EmulatedTarget]:
        return [target for target in self.targets.values() if target.listed]

    def _listed_entries(self) -> tuple[TargetEntry, ...]:
        return tuple(target.entry for target in self._listed_targets())

    def _start_run(self, job: Job, target: EmulatedTarget) -> None:
        if job.down_s:
            self._schedule_after(RUN_S, lambda: self._crash(job, target))
            return
        run_s = target.run_s(job.key)
        if target.machine is not None:
            target.machine.start(job.number, run_s, self.now)
            self._schedule_next_end(target, target.machine)
            return
        self._schedule_after(run_s, lambda: self._finish_run(job, target))

    def _schedule_next_end(
        self, target: EmulatedTarget, machine: Machine
    ) -> None:
        """Schedule the end of the request that ends first as things are."""
        next_end = machine.next_end()
        if next_end is None:
            return
        number, left_s = next_end
        version = machine.version

        def end_run() -> None:
            if machine.version != version:
                return
            job = target.job(number)
            machine.stop(number, self.now)
            if job is not None:
                self._finish_run(job, target)
            self._schedule_next_end(target, machine)

        self._schedule_after(left_s, end_run)

    def _crash(self, cause: Job, target: EmulatedTarget) -> None:
        if not target.runs(cause):
            return
        content = self._waiting_callers[cause.number].content
        self._poison.count_end(content, self.now)
        for job in target.crash():
            self._return_answer(job, target, Ending.lost)
        self._schedule_after(cause.down_s, lambda: target.restart(self.now))

    def _finish_run(self, job: Job, target: EmulatedTarget) -> None:
        if not target.runs(job):
            return
        next_job = target.finish(job)
        if next_job is not None:
            self._start_run(next_job, target)
        self._return_answer(job, target, Ending.answered)

    def _return_answer(
        self,
        job: Job,
        target: EmulatedTarget,
        ending: Ending,
        pause_s: float = 0,
    ) -> None:
        delay_s = self._one_way_delay_s(job, target)
        cut = job.entry.cut
        if cut is not None and cut.connections is CutConnections.hang:
            ending = Ending.timeout
            ends_at = self._waiting_callers[job.number].ends_at
            delay_s = max(ends_at - self.now, 0)
        elif cut is not None and cut.connections is CutConnections.reset:
            ending = Ending.lost
        report = self._attempt_report(job, target, ending, pause_s, delay_s)
        if target.leaving and not target.stopped:
            self._schedule_after(
                delay_s, lambda: self._spread_notice(job.region, target.entry)
            )
        self._schedule_after(
            delay_s, lambda: self._handle_answer(job, target, report)
        )

    def _attempt_report(
        self,
        job: Job,
        target: EmulatedTarget,
        ending: Ending,
        pause_s: float = 0,
        delay_s: float = 0,
    ) -> AttemptReport:
        return AttemptReport(
            job.number,
            target.entry.name,
            SERVICE,
            job.key,
            ending,
            self.now + delay_s - job.sent_at,
            pause_s=pause_s,
            limit_per_s=target.limit_per_s or UNLIMITED,
            load=target.load() if ending in _TOLD_LOAD else None,
        )

    def _handle_answer(
        self, job: Job, target: EmulatedTarget, report: AttemptReport
    ) -> None:
        caller = self._waiting_callers.pop(job.number)
        entry = job.entry
        if report.ending in _FAILURES:
            self._entries.check(
                entry, partial(self._judge_failure, caller, job, target, report)
            )
        else:
            entry.answered_at = self.now
            entry.release(target.entry)
            self._send_report(job, report)
        if report.ending is Ending.answered:
            self._refute(caller)
            shifted = target.region != caller.region
            self._record_outcome(
                caller, self.now + CALLER_RTT_S / 2, shifted=shifted
            )
            return
        caller.excluded = (*caller.excluded, target.entry.name)
        if len(caller.excluded) < MAX_ATTEMPTS and self._retry_tokens >= 1:
            self._retry_tokens -= 1
            self._request_placement(caller)
        elif report.ending in _LOST_CONNECTION:
            self._entries.check(entry, partial(self._end_failed, caller))
        else:
            self._handle_refusal(caller, 0.01)

    def _judge_failure(
        self,
        caller: _WaitingCaller,
        job: Job,
        target: EmulatedTarget,
        report: AttemptReport,
        reached: bool,  # noqa: FBT001
    ) -> None:
        """Report a failure unless the instance reaches no target at all."""
        if not reached:
            report = msgspec.structs.replace(report, ending=Ending.withdrawn)
        self._send_report(job, report)
        if report.ending is Ending.lost and target.stopped:
            self._spread_end(
                job.region,
                TargetEnd(
                    caller.fingerprint,
                    report.target,
                    target.entry.started_at_ms,
                ),
            )

    def _end_failed(
        self,
        caller: _WaitingCaller,
        reached: bool,  # noqa: FBT001
    ) -> None:
        """Refuse a request whose attempts failed, or pass it on."""
        if reached:
            self._handle_refusal(caller, 0.01)
        else:
            self._pass_on(caller)

    def _send_report(self, job: Job, report: AttemptReport) -> None:
        self._schedule_after(
            DISPATCHER_RTT_S / 2, lambda: self._handle_report(job, report)
        )

    def _handle_report(self, job: Job, report: AttemptReport) -> None:
        dispatcher = self.dispatchers[job.region]
        for _, decision in dispatcher.end_attempt(
            job.entry.name, report, self.now
        ):
            self._handle_decision(decision)

    def _record_outcome(
        self,
        caller: _WaitingCaller,
        answered_at: float | None,
        *,
        shifted: bool,
    ) -> None:
        if caller.down_s:
            return
        in_time = answered_at is not None and answered_at <= caller.ends_at
        took_s = answered_at - caller.asked_at if answered_at else None
        self.report.outcomes.append(
            Outcome(
                caller.region,
                caller.asked_at,
                took_s if in_time else None,
                shifted,
                caller.refusals,
                caller.at_cut,
                caller.kind.name,
                caller.workspace,
                caller.kind.objective_s,
            ),
        )

    def _update_targets(self) -> None:
        self._demand = [
            need
            for name, meter in self._meters.items()
            for need in meter.measure(
                self.dispatchers[name].service_loads(), self.now
            )
        ]
        for name in self.dispatchers:
            self._update_region_targets(name)
        if self.now < self._pattern.length_s:
            self._schedule_after(TARGET_UPDATE_S, self._update_targets)

    def _update_region_targets(self, name: str) -> None:
        dispatcher = self.dispatchers[name]
        queue = dispatcher.queue(SERVICE)
        context = DispatchContext(
            region=name,
            region_by_domain={region: region for region in self.dispatchers},
            drained_domains=frozenset(),
            round_trips_s=dict.fromkeys(
                self.dispatchers, 2 * self._pattern.region_s
            ),
            warmup_rate_by_service={},
            run_s_by_service={SERVICE: queue.run_times.hit_run_s},
        )
        tracked_targets = make_tracked_targets(
            queue.targets,
            self._notices.usable(name, self._listed_entries(), self.now),
            self._demand,
            context,
            self.now,
        )
        dispatcher.set_targets(SERVICE, tracked_targets, name)

    def _tick(self) -> None:
        for dispatcher in self.dispatchers.values():
            for _, decision in dispatcher.decide_waiting(self.now):
                self._handle_decision(decision)
        dispatchers = self.dispatchers.values()
        any_waiting = any(regional.has_waiting() for regional in dispatchers)
        if any_waiting or self.now < self._pattern.length_s + 2 * TICK_S:
            self._schedule_after(TICK_S, self._tick)

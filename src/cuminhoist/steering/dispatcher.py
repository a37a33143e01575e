"""Grants requests a slot of a target, queues them briefly, or refuses them.

During load peaks there are more requests than slots for seconds at a time,
and the objective of a request is little longer than its run time. A request
that waits beyond its objective takes a slot from a request that could still
meet its own. A request therefore waits only while its answer can meet the
objective, and is refused on arrival if it cannot and no slot is free. It may
return when the peak of the load has passed.
"""

from collections.abc import Iterable

import msgspec

from .allowances import Allowances
from .decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
    RefusalReason,
    Refused,
)
from .domain_preference import DomainPreference
from .limit_enforcer import LimitEnforcer
from .placement import Placement
from .placement_options import Option
from .queues import RunningAttempt, ServiceQueue
from .refusal_counts import RefusalCounts
from .region_shift_limiter import RegionShiftLimiter
from .run_time_learning import learn_run_time
from .target_pauses import PausesByInstance, TargetPause, TargetPauses
from .target_selector import TargetSelector
from .tracked_target import TrackedTarget
from .waiting_request import WaitingRequest

#: Margin that an estimate must keep to the objective, as a fraction of the
#: estimate. Run times vary by about 15%, so answers that are estimated closer
#: to the objective are late too often.
RUN_TIME_SPREAD = 0.1
#: Delay after which a caller may retry if no target may serve it, in seconds.
NO_TARGET_RETRY_S = 0.2
#: Least delay after which a refused caller may retry, as a fraction of its
#: time left. Its answer will be late in any case, and the later it returns,
#: the more of the load peak has passed. Callers wait for a third at most.
RETRY_FRACTION = 0.25
#: Time that the report of an attempt may arrive after its deadline, in
#: seconds; then its slot is freed.
REPORT_GRACE_S = 1.0
#: Assumed time to the deadline of an attempt that another dispatcher granted,
#: in seconds; its actual deadline is not known.
RESTORED_ATTEMPT_S = 2.0


class Dispatcher:
    """Decides on the placement requests of one region.

    :param shift_limit: largest increase of the fraction of requests that
        shift to other regions, from one two-second window to the next.
    :param learns_limits: whether concurrency limits of targets are learned.
    """

    def __init__(
        self, shift_limit: float = 1, *, learns_limits: bool = True
    ) -> None:
        self._learns_limits = learns_limits
        self._services: dict[str, ServiceQueue] = {}
        self._running_attempts: dict[tuple[str, int], RunningAttempt] = {}
        #: Pauses that targets asked for, by entry instance.
        self.pauses = PausesByInstance()
        #: Refused requests, for metrics.
        self.refusals = RefusalCounts()
        #: Limits that targets name.
        self.limits = LimitEnforcer(self._services)
        #: What workspaces may still send.
        self.allowances = Allowances()
        self.shift_limiter = RegionShiftLimiter(shift_limit)
        #: Until when requests wait for the first list of targets, in monotonic
        #: seconds.
        self.first_list_until = float('-inf')
        self._selector = TargetSelector(
            self._services, self.shift_limiter, self.pauses
        )

    def queue(self, name: str) -> ServiceQueue:
        """Return the queue of a service.

        :param name: name of the service.
        """
        if name not in self._services:
            self._services[name] = ServiceQueue(
                learns_limits=self._learns_limits
            )
        return self._services[name]

    def queues(self) -> Iterable[tuple[str, ServiceQueue]]:
        """Return all services with their queues."""
        return self._services.items()

    def service_loads(
        self,
    ) -> Iterable[tuple[str, float, Iterable[TrackedTarget]]]:
        """Yield name, run time in seconds and targets of each service."""
        for name, queue in self._services.items():
            yield name, queue.run_times.hit_run_s, queue.targets.values()

    def has_waiting(self) -> bool:
        """Tell whether any request waits for a slot."""
        return any(queue.waiting for queue in self._services.values())

    def set_targets(
        self,
        service: str,
        targets: dict[str, TrackedTarget],
        region: str,
        now: float = 0,
    ) -> None:
        """Replace the targets of a service.

        :param service: name of the service.
        :param targets: its targets by name; a target that stays keeps its
            object.
        :param region: region of the dispatcher.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(service)
        removed = queue.targets.keys() - targets.keys()
        removed_slots = sum(
            queue.targets[name].slots
            for name in removed
            if queue.targets[name].region == region
        )
        self._selector.record_loss(removed_slots, now)
        for name, former in queue.targets.items():
            if targets.get(name) is not former:
                former.forget_objects()
        queue.recheck_requests_without(targets, now)
        queue.placement = Placement(targets, region, queue.placement.history)
        queue.waiting.update_all_slots()
        for target in targets.values():
            self.limits.set_rate(target, region, now)

    def end_first_list(self, now: float) -> None:
        """Have the requests placed that waited for the first list of targets.

        :param now: monotonic time in seconds.
        """
        if self.first_list_until == float('-inf'):
            return
        self.first_list_until = float('-inf')
        for queue in self._services.values():
            for waiting in queue.waiting:
                queue.waiting.recheck(waiting, now)

    def decide_or_queue(
        self, entry_instance: str, request: PlacementRequest, now: float
    ) -> Decision | None:
        """Decide on a placement request at its arrival, or queue it.

        :param entry_instance: the entry instance that sent it.
        :param request: the placement request.
        :param now: monotonic time in seconds.
        :returns: the decision; None if the request waits.
        """
        refused = self.allowances.charge(request, now)
        if refused is not None:
            return refused
        queue = self.queue(request.service)
        queue.init_run_times(request.objective_left_s)
        queue.waiting.order.count_arrival(request, now)
        waiting = WaitingRequest(entry_instance, request, now)
        decision = self._decide(queue, waiting, now)
        if isinstance(decision, Refused):
            self.allowances.refund_unplaced(request, now)
        return decision

    def end_attempt(
        self,
        entry_instance: str,
        report: AttemptReport,
        now: float,
    ) -> list[tuple[str, Decision]]:
        """Free the slot of an attempt and grant it to a waiting request.

        :param entry_instance: the entry instance that made the attempt.
        :param report: the attempt report.
        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        self.limits.learn(report, now)
        if report.pause_s <= 0:
            return self._free_slot(entry_instance, report, now)
        self._record_pause(entry_instance, report, now)
        # A pause concerns one entry instance; it is no failure of the target.
        report = msgspec.structs.replace(report, ending=Ending.withdrawn)
        decisions = self._free_slot(entry_instance, report, now)
        return [*decisions, *self.decide_waiting(now)]

    def restore_pauses(
        self,
        entry_instance: str,
        pauses: Iterable[TargetPause],
        now: float,
    ) -> list[tuple[str, Decision]]:
        """Record the pauses that targets asked for under another dispatcher.

        :param entry_instance: the entry instance that was asked for them.
        :param pauses: the pauses.
        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        for pause in pauses:
            self._add_pause(entry_instance, pause, now)
        return self.decide_waiting(now)

    def time_to_unpaused_s(
        self,
        entry_instance: str,
        service: str,
        allowed_regions: frozenset[str],
        now: float,
    ) -> float:
        """Return how long all targets of a service pause, in seconds.

        :param entry_instance: the entry instance that was asked to pause.
        :param service: name of the service.
        :param allowed_regions: regions of the targets; empty for all.
        :param now: monotonic time in seconds.
        :returns: seconds; 0 if one of its targets does not pause.
        """
        queue = self.queue(service)
        pauses = self.pauses.of(entry_instance)
        if queue.placement.has_unpaused(allowed_regions, pauses, now):
            return 0
        left_s = pauses.shortest_left_s(queue.targets, allowed_regions, now)
        return 0 if left_s == float('inf') else left_s

    def _record_pause(
        self, entry_instance: str, report: AttemptReport, now: float
    ) -> None:
        pause = TargetPause(
            report.target, report.target_started_at_ms, report.pause_s
        )
        self._add_pause(entry_instance, pause, now)
        queue = self.queue(report.service)
        target = queue.targets.get(report.target)
        # A report of an earlier start says nothing about the present one.
        if target is not None and self.pauses[entry_instance].left_s(
            target.entry, now
        ):
            target.record_pause(entry_instance, report.pause_s, now)
            queue.recheck_overloaded_requests(target, now)

    def _add_pause(
        self, entry_instance: str, pause: TargetPause, now: float
    ) -> None:
        """Record a pause and have waiting requests placed again."""
        pauses = self.pauses.setdefault(entry_instance, TargetPauses())
        pauses.record(pause, now)
        for queue in self._services.values():
            queue.recheck_paused_requests(entry_instance, pauses, now)

    def _free_slot(
        self,
        entry_instance: str,
        report: AttemptReport,
        now: float,
    ) -> list[tuple[str, Decision]]:
        attempt = self._running_attempts.pop(
            (entry_instance, report.number), None
        )
        if attempt is None:
            return []
        queue = self.queue(attempt.service)
        queue.waiting.order.end(attempt.workspace)
        target = queue.targets.get(attempt.target)
        if target is None:
            return []
        self._record_end(queue, target, attempt, report, now)
        return self._grant_waiting(queue, target, now)

    def withdraw(
        self,
        entry_instance: str,
        number: int,
        service: str,
        now: float,
    ) -> None:
        """Remove a request from the queue, or free its slot.

        :param entry_instance: the entry instance that sent the request.
        :param number: identifier of the request in that entry instance.
        :param service: service of the request.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(service)
        waiting = queue.waiting.find(entry_instance, number)
        if waiting is not None:
            self.allowances.refund_unplaced(waiting.request, now)
            queue.waiting.remove(waiting)
        # The withdrawal may have been sent before the grant arrived.
        attempt = self._running_attempts.pop((entry_instance, number), None)
        if attempt is not None:
            self._release_slot(attempt, now)

    def release_entry_instance(self, entry_instance: str, now: float) -> None:
        """Drop all requests and slots of a lost entry instance.

        :param entry_instance: the entry instance.
        :param now: monotonic time in seconds.
        """
        self.pauses.pop(entry_instance, None)
        for queue in self._services.values():
            for waiting in queue.waiting.sent_by(entry_instance):
                queue.waiting.remove(waiting)
        for key, attempt in tuple(self._running_attempts.items()):
            if key[0] == entry_instance:
                self._running_attempts.pop(key)
                self._release_slot(attempt, now)

    def expire_attempts(self, now: float) -> None:
        """Free the slots of attempts whose report is overdue.

        :param now: monotonic time in seconds.
        """
        for key, attempt in list(self._running_attempts.items()):
            if now > attempt.ends_at + REPORT_GRACE_S:
                self._release_slot(self._running_attempts.pop(key), now)

    def decide_waiting(self, now: float) -> list[tuple[str, Decision]]:
        """Decide anew on waiting requests whose recheck is due.

        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        decisions: list[tuple[str, Decision]] = []
        for queue in self._services.values():
            for waiting in queue.waiting.take_due(now):
                decision = self._decide(queue, waiting, now)
                if isinstance(decision, Refused):
                    self.allowances.refund_unplaced(waiting.request, now)
                if decision is not None:
                    queue.waiting.remove(waiting)
                    decisions.append((waiting.entry_instance, decision))
        return decisions

    def restore_attempt(
        self, entry_instance: str, report: AttemptReport, now: float
    ) -> None:
        """Count an attempt that another dispatcher granted.

        :param entry_instance: the entry instance that makes the attempt.
        :param report: identifies the attempt; its ending is not used.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(report.service)
        target = queue.targets.get(report.target)
        if (
            target is not None
            and (entry_instance, report.number) not in self._running_attempts
        ):
            self._running_attempts[(entry_instance, report.number)] = (
                RunningAttempt(
                    report.service,
                    report.target,
                    report.key,
                    now + RESTORED_ATTEMPT_S,
                )
            )
            target.start(report.key, now)
            queue.waiting.update_slots(target)

    def count_remote_grant(
        self, request: PlacementRequest, granted: Granted, now: float
    ) -> None:
        """Count a request that another dispatcher has granted a target.

        :param request: the placement request.
        :param granted: the decision of the other dispatcher.
        :param now: monotonic time in seconds.
        """
        home = self.queue(request.service).placement.region
        self.shift_limiter.count(now, granted.region, home)

    def learn_from_attempt(self, report: AttemptReport, now: float) -> None:
        """Learn from an attempt that another dispatcher granted.

        :param report: the attempt report.
        :param now: monotonic time in seconds.
        """
        self.limits.learn(report, now)
        queue = self.queue(report.service)
        target = queue.targets.get(report.target)
        if target is None or report.ending is not Ending.answered:
            return
        ratio = learn_run_time(
            queue, target, report, target.has_cached(report.key), now
        )
        target.observe(report.key, ratio, now)

    def _decide(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> Decision | None:
        decision = self._choose(queue, waiting, now)
        if isinstance(decision, Refused):
            self.refusals.count(
                waiting.request,
                decision.reason,
                has_waited=waiting.sequence is not None,
            )
        return decision

    def _choose(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> Decision | None:
        queue.waiting.leave_target(waiting)
        options = self._selector.options(queue, waiting, now)
        if not options:
            return self._refuse_without_option(queue, waiting, now)
        in_time_s = (waiting.objective_ends_at - now) / (1 + RUN_TIME_SPREAD)
        preference = queue.placement.preference(
            waiting.request.domain, queue.run_times, in_time_s
        )
        best = preference.best(options)
        if not best.wait_s:
            return self._grant(waiting, best.target, now)
        if best.total_s <= in_time_s:
            waiting.is_late = False
            queue.waiting.join(waiting, best, now)
            return None
        return self._decide_late(queue, waiting, options, preference, now)

    def _decide_late(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        options: list[Option],
        preference: DomainPreference,
        now: float,
    ) -> Decision | None:
        """Decide on a request that cannot meet its objective by waiting."""
        free = [option for option in options if not option.wait_s]
        if free:
            return self._grant(waiting, preference.best(free).target, now)
        best = min(options, key=lambda option: option.total_s)
        has_time = best.total_s * (1 + RUN_TIME_SPREAD) <= waiting.ends_at - now
        order = queue.waiting.order
        if has_time and order.is_behind(waiting.request.priority):
            waiting.is_late = True
            queue.waiting.join(waiting, best, now)
            return None
        soonest = min(options, key=lambda option: option.wait_s)
        soonest_s = min(
            soonest.wait_s, self._shortest_pause_s(queue, waiting, now)
        )
        return self._refuse(queue, waiting, soonest_s, now)

    def _grant_waiting(
        self,
        queue: ServiceQueue,
        target: TrackedTarget,
        now: float,
    ) -> list[tuple[str, Decision]]:
        """Grant waiting requests the slots that are free in a pool."""
        decisions: list[tuple[str, Decision]] = []
        while True:
            waiting = queue.waiting.next_for(target.pool, now)
            if waiting is None or waiting.target is None:
                return decisions
            granted = self._grant(waiting, waiting.target, now)
            queue.waiting.remove(waiting)
            decisions.append((waiting.entry_instance, granted))

    def _record_end(
        self,
        queue: ServiceQueue,
        target: TrackedTarget,
        attempt: RunningAttempt,
        report: AttemptReport,
        now: float,
    ) -> None:
        ratio = float(1)
        if report.ending is not Ending.withdrawn:
            ratio = learn_run_time(
                queue, target, report, attempt.expected_hit, now
            )
        target.end(report.ending, attempt.key, ratio, now)
        queue.waiting.update_slots(target)

    def _grant(
        self,
        waiting: WaitingRequest,
        target: TrackedTarget,
        now: float,
    ) -> Granted:
        request = waiting.request
        name = target.entry.name
        expected_hit = target.has_cached(request.key)
        self._running_attempts[(waiting.entry_instance, request.number)] = (
            RunningAttempt(
                request.service,
                name,
                request.key,
                now + request.left_s,
                expected_hit=expected_hit,
                workspace=request.workspace,
            )
        )
        target.start(request.key, now)
        queue = self.queue(request.service)
        queue.waiting.order.start(request, now)
        queue.waiting.update_slots(target)
        self.shift_limiter.count(now, target.region, queue.placement.region)
        return Granted(
            request.number,
            name,
            now - waiting.arrived_at,
            expected_hit,
            target.region,
        )

    def _shortest_pause_s(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> float:
        """Return the time until the first paused target may be used again."""
        return self.pauses.of(waiting.entry_instance).shortest_left_s(
            queue.targets, waiting.request.allowed_regions, now
        )

    def _refuse_without_option(
        self, queue: ServiceQueue, waiting: WaitingRequest, now: float
    ) -> Refused | None:
        number = waiting.request.number
        left_s = self._shortest_pause_s(queue, waiting, now)
        if left_s < float('inf'):
            return Refused(number, RefusalReason.overload, left_s, left_s)
        waits_until = min(
            self.first_list_until, waiting.objective_ends_at, waiting.ends_at
        )
        if now < waits_until:
            queue.waiting.wait_for_targets(waiting, waits_until)
            return None
        return Refused(number, RefusalReason.no_target, NO_TARGET_RETRY_S)

    def _refuse(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        soonest_s: float,
        now: float,
    ) -> Refused:
        request = waiting.request
        retry_after_s = max(RETRY_FRACTION * request.left_s, soonest_s)
        if queue.waiting.order.is_active(now):
            retry_after_s = queue.waiting.order.spread_retry_s(
                request.priority, soonest_s, max(waiting.ends_at - now, 0)
            )
        return Refused(
            request.number, RefusalReason.overload, retry_after_s, soonest_s
        )

    def _release_slot(self, attempt: RunningAttempt, now: float) -> None:
        queue = self.queue(attempt.service)
        queue.waiting.order.end(attempt.workspace)
        target = queue.targets.get(attempt.target)
        if target is not None:
            target.end(Ending.withdrawn, attempt.key, 1, now)
            queue.waiting.update_slots(target)

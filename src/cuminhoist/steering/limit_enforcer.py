"""Applies the limits that targets name to the targets of a dispatcher."""

from collections.abc import Callable, Iterable, Mapping

from .decisions import AttemptReport
from .queues import ServiceQueue
from .target_limits import (
    DISPATCHER_FRACTION,
    LOCAL_FRACTION,
    UNLIMITED,
    TargetLimit,
    TargetLimits,
)
from .tracked_target import TrackedTarget


class LimitEnforcer:
    """Keeps the requests to each target within the limit that it names.

    :param services: queues of the dispatcher by service.
    """

    def __init__(self, services: Mapping[str, ServiceQueue]) -> None:
        self._services = services
        self._limits = TargetLimits()
        # Fraction of the limit of an own target that this dispatcher uses.
        self._limit_fraction = DISPATCHER_FRACTION
        #: Called with each change of a limit that an answer tells.
        self.on_limit: Callable[[TargetLimit], None] = _ignore_limit

    def learn(self, report: AttemptReport, now: float) -> None:
        """Record the limit that an answer names, or the end of one.

        :param report: the attempt report.
        :param now: monotonic time in seconds.
        """
        if report.limit_per_s is None:
            return
        limited = report.limit_per_s != UNLIMITED
        limit = TargetLimit(
            report.target,
            report.target_started_at_ms,
            report.limit_per_s if limited else None,
        )
        if self._limits.record_answer(limit, now - report.run_s, now):
            self._apply_limit(limit, now)
            self.on_limit(limit)

    def apply(
        self, limits: Iterable[TargetLimit], now: float
    ) -> tuple[TargetLimit, ...]:
        """Apply limits that another instance has passed on.

        :param limits: the limits.
        :param now: monotonic time in seconds.
        :returns: the limits that are new.
        """
        added = tuple(
            limit for limit in limits if self._limits.apply(limit, now)
        )
        for limit in added:
            self._apply_limit(limit, now)
        return added

    def share(self, dispatcher_count: int, now: float) -> None:
        """Use only a share of the limits, as others decide as well.

        :param dispatcher_count: number of local dispatchers in the region.
        :param now: monotonic time in seconds.
        """
        fraction = LOCAL_FRACTION / dispatcher_count
        if fraction == self._limit_fraction:
            return
        self._limit_fraction = fraction
        for limit in self._limits.in_force():
            self._apply_limit(limit, now)

    def restart_rates(self, now: float) -> None:
        """Forget the time in which another dispatcher has decided.

        :param now: monotonic time in seconds.
        """
        for queue in self._services.values():
            for target in queue.targets.values():
                target.restart_rate(now)

    def in_force(self) -> tuple[TargetLimit, ...]:
        """Return the limits that are in force."""
        return self._limits.in_force()

    def forget_unlisted(self, names: Iterable[str]) -> None:
        """Forget the limits of targets that are no longer listed.

        :param names: names of all listed targets.
        """
        self._limits.forget_unlisted(names)

    def set_rate(self, target: TrackedTarget, region: str, now: float) -> None:
        """Let only the dispatcher of its region use a target with a limit.

        :param target: the target.
        :param region: region of this dispatcher.
        :param now: monotonic time in seconds.
        """
        per_s = self._limits.per_s(target.entry)
        if per_s != UNLIMITED:
            is_own = target.region == region
            per_s *= self._limit_fraction if is_own else 0
        is_new = target.set_rate(per_s, now)
        if is_new and self._limit_fraction != DISPATCHER_FRACTION:
            target.restart_rate(now)

    def _apply_limit(self, limit: TargetLimit, now: float) -> None:
        for queue in self._services.values():
            target = queue.targets.get(limit.target)
            if target is not None:
                self.set_rate(target, queue.placement.region, now)
                queue.recheck_requests_for(target, now)


def _ignore_limit(_limit: TargetLimit) -> None:
    """Ignore a change of a limit."""

"""Metrics and log lines of the learned concurrency limits of targets."""

import statistics
from collections.abc import Iterable

from ..logging_setup import logger
from ..steering.queues import ServiceQueue
from ..steering.tracked_target import TrackedTarget
from .control_metrics import ControlMetrics

#: Number of targets of each service that metrics name, the lowest limits
#: first.
MAX_NAMED_TARGETS = 5
#: A limit under this fraction of the slots is logged.
LOW_FRACTION = 0.5

_log = logger('limits')


class LearnedLimits:
    """Shows the learned limits of the targets of one region.

    :param region: name of the region.
    :param metrics: metrics of the dispatcher.
    """

    def __init__(self, region: str, metrics: ControlMetrics) -> None:
        self._region = region
        self._metrics = metrics.learned_limits
        self._low: set[str] = set()

    def update(
        self, queues: Iterable[tuple[str, ServiceQueue]], now: float
    ) -> None:
        """Set the metrics, and log limits that became low or normal.

        :param queues: queues of the dispatcher by service.
        :param now: monotonic time in seconds.
        """
        self._metrics.lowest.clear()
        present: set[str] = set()
        for service, queue in queues:
            learned = [
                target
                for target in queue.targets.values()
                if target.region == self._region and target.speed is not None
            ]
            if learned:
                self._show(service, learned, now)
            present.update(target.entry.name for target in learned)
        self._low &= present

    def _show(
        self, service: str, learned: list[TrackedTarget], now: float
    ) -> None:
        fractions = {
            target.entry.name: target.limit(now) / target.slots
            for target in learned
        }
        ordered = sorted(fractions.values())
        for name, fraction in (
            ('0', ordered[0]),
            ('0.5', statistics.median(ordered)),
            ('1', ordered[-1]),
        ):
            self._metrics.quantiles.labels(service, name).set(fraction)
        self._metrics.limited_targets.labels(service).set(
            sum(limit_ratio < 1 for limit_ratio in ordered)
        )
        worst = sorted(fractions, key=fractions.__getitem__)
        for named in worst[:MAX_NAMED_TARGETS]:
            self._metrics.lowest.labels(service, named).set(fractions[named])
        for target in learned:
            self._log_change(service, target, now)

    def _log_change(
        self, service: str, target: TrackedTarget, now: float
    ) -> None:
        name = target.entry.name
        limit = target.limit(now)
        low = target.slots * LOW_FRACTION
        # One request of distance, so that a limit at the edge is not logged
        # again and again.
        if name not in self._low and limit < low:
            self._low.add(name)
        elif name in self._low and limit >= low + 1:
            self._low.discard(name)
        else:
            return
        log_change(
            service=service,
            target=name,
            limit=round(limit, 1),
            slots=target.slots,
            low=name in self._low,
        )


def log_change(*, low: bool, **fields: object) -> None:
    """Write the line of a limit that became low or normal.

    :param low: whether it became low.
    :param fields: the target, its limit and its slots.
    """
    text = 'limit of a target is low' if low else 'limit of a target is back'
    _log.bind(**fields).info(text)

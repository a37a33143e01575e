"""Chooses the targets that a request may be sent to, region by region.

Only so many requests may change the region in which they run at a time. While
much of a region is lost, more may leave it.
"""

from collections.abc import Mapping
from functools import partial

from .placement import Requirements
from .placement_options import Option
from .queues import ServiceQueue
from .region_shift_limiter import RegionShiftLimiter
from .target_pauses import PausesByInstance
from .waiting_request import WaitingRequest

#: With a larger fraction of a region's own slots lost, over all services, the
#: limit on shifts is raised. Up to it, the other targets of the region take
#: over. A lost failure domain is at least a quarter of most regions.
MAX_LOST_FRACTION = 0.25


class TargetSelector:
    """Finds the options of a request within the limit on shifts.

    :param services: queues of the dispatcher by service.
    :param shift_limiter: limits the shifts between regions.
    :param pauses: pauses that targets asked for.
    """

    def __init__(
        self,
        services: Mapping[str, ServiceQueue],
        shift_limiter: RegionShiftLimiter,
        pauses: PausesByInstance,
    ) -> None:
        self._services = services
        self._shift_limiter = shift_limiter
        self._pauses = pauses

    def options(
        self, queue: ServiceQueue, waiting: WaitingRequest, now: float
    ) -> list[Option]:
        """Return the targets that may serve a request, with estimates.

        :param queue: queue of the service.
        :param waiting: the request.
        :param now: monotonic time in seconds.
        """
        request = waiting.request
        options = queue.placement.options(
            request.key,
            queue.run_times,
            now,
            self._requirements(queue, waiting, request.allowed_regions, now),
        )
        return self._options_within_shift_limit(queue, waiting, options, now)

    def record_loss(self, lost_slots: int, now: float) -> None:
        """Raise the limit on shifts if much of the region is lost.

        :param lost_slots: slots that are lost.
        :param now: monotonic time in seconds.
        """
        lost_fraction = lost_slots / max(self._own_slots(), 1)
        if lost_fraction > MAX_LOST_FRACTION:
            self._shift_limiter.record_loss(now, lost_fraction)

    def _options_within_shift_limit(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        options: list[Option],
        now: float,
    ) -> list[Option]:
        """Drop options in regions whose share may not grow now."""
        home = queue.placement.region
        self._record_disturbed(now)
        regions = {option.target.region for option in options}
        allowed = {
            region
            for region in regions
            if self._shift_limiter.allows(now, region, home)
        }
        if home in regions - allowed:
            own = [option for option in options if option.target.region == home]
            return self._remote_options(queue, waiting, own, now) or own
        if home not in regions and not self._paused_in_region(
            queue, waiting, home, now
        ):
            return options
        return [option for option in options if option.target.region in allowed]

    def _remote_options(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        own: list[Option],
        now: float,
    ) -> list[Option]:
        """Return options for a request that may not return to its region yet.

        A request returns all the same if it would have to wait elsewhere, or
        would lose its objective or more than the round trip there.
        """
        home = queue.placement.region
        may_run = waiting.request.allowed_regions
        regions = frozenset(
            region
            for region in queue.placement.other_regions()
            if (not may_run or region in may_run)
            and self._shift_limiter.allows(now, region, home)
        )
        if not regions:
            return []
        options = queue.placement.options(
            waiting.request.key,
            queue.run_times,
            now,
            self._requirements(queue, waiting, regions, now),
        )
        objective_s = waiting.objective_ends_at - now
        own_s = min(option.total_s for option in own)
        return [
            option
            for option in options
            if not option.wait_s
            and option.total_s
            <= max(objective_s, own_s + option.target.extra_rtt_s)
        ]

    def _requirements(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        regions: frozenset[str],
        now: float,
    ) -> Requirements:
        """Return what a request requires of its target.

        :param regions: regions that may serve it; empty for all.
        """
        count_before = None
        if queue.waiting.order.is_active(now):
            count_before = partial(
                queue.waiting.count_before,
                priority=queue.waiting.priority(waiting),
                workspace=waiting.request.workspace,
            )
        return Requirements(
            regions,
            waiting.request.excluded,
            self._pauses.of(waiting.entry_instance),
            count_before,
            waiting.request.domain,
            not queue.placement.may_stay(waiting.request.allowed_regions),
        )

    def _record_disturbed(self, now: float) -> None:
        self.record_loss(
            sum(
                queue.placement.disturbed_own_slots
                for queue in self._services.values()
            ),
            now,
        )

    def _own_slots(self) -> int:
        """Return the slots of the region's own targets, over all services."""
        return sum(
            queue.placement.own_slots for queue in self._services.values()
        )

    def _paused_in_region(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        region: str,
        now: float,
    ) -> bool:
        """Tell whether paused targets of a region could serve a request."""
        allowed = waiting.request.allowed_regions
        if allowed and region not in allowed:
            return False
        return self._pauses.of(waiting.entry_instance).shortest_left_s(
            queue.targets, frozenset((region,)), now
        ) < float('inf')

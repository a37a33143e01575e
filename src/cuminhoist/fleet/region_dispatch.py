"""Dispatcher of a region: answers placement requests of its entry instances."""

import asyncio
from collections.abc import Callable, Mapping

from ..codec import Message
from ..gateway.routes import RouteTable
from ..gateway.service_homes import homes_by_service
from ..logging_setup import logger
from ..steering.allowance_shares import ShareRequest
from ..steering.allowance_sizes import AllowanceBounds, AllowanceSizes
from ..steering.assignment import assign_targets
from ..steering.decisions import Decision, PlacementRequest
from ..steering.demand import Demand, DemandMeter
from ..steering.dispatcher import Dispatcher
from ..steering.region_allowances import RegionAllowances
from ..steering.region_shares import (
    RegionCounts,
    changed_fraction,
    shares,
)
from ..steering.region_shift_limiter import WINDOW_S
from ..steering.slot_lending import DispatchContext
from ..steering.targets import TargetEntry
from .control_metrics import ControlMetrics
from .learned_limits import LearnedLimits
from .messages import (
    AttemptReportNotice,
    DecisionNotice,
    PausesNotice,
    PlacementRequestNotice,
    RunningNotice,
    WithdrawNotice,
)
from .peer import Peer
from .target_feed import FIRST_LIST_S

#: Interval between decisions on waiting requests, in seconds.
TICK_INTERVAL_S = 0.005
#: With fewer requests in a window, it is not compared with the next one.
MIN_COMPARED_REQUESTS = 20

_log = logger('dispatch')


class RegionDispatch:
    """Decides on the requests of one region and measures its demand.

    :param region: name of the region.
    :param regions: region of each failure domain.
    :param now: returns monotonic time in seconds.
    :param shift_limit: largest fraction of the requests that may shift to
        another region within two seconds.
    :param metrics: metrics of the decisions.
    :param bounds: tolerated excess over allowances.
    :param learns_limits: whether concurrency limits of targets are learned.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        now: Callable[[], float],
        shift_limit: float,
        metrics: ControlMetrics,
        bounds: AllowanceBounds = AllowanceBounds(),
        *,
        learns_limits: bool = False,
    ) -> None:
        self._metrics = metrics
        self.dispatcher = Dispatcher(shift_limit, learns_limits=learns_limits)
        self.dispatcher.first_list_until = now() + FIRST_LIST_S
        all_regions = {region, *regions.values()}
        #: Shares of this region in the allowances of workspaces.
        self.allowances = RegionAllowances(
            region,
            all_regions,
            AllowanceSizes(len(all_regions), bounds),
            self.dispatcher.allowances,
        )
        #: Called with a request for a larger share of an allowance.
        self.on_share_request: Callable[[ShareRequest], None] = _ignore_request
        self._region = region
        self._regions = regions
        self._now = now
        self._routes: RouteTable | None = None
        self._homes_by_service: Mapping[str, frozenset[frozenset[str]]] = {}
        self._entry_peers: dict[str, Peer] = {}
        self._meter = DemandMeter(region, now())
        self._tick_timer: asyncio.TimerHandle | None = None
        self._limit_was_raised = False
        self._shift_limit = shift_limit
        self._learned_limits = LearnedLimits(region, metrics)
        self._change_logged_at = float('-inf')
        # Priorities that a gauge shows, by service.
        self._priorities: dict[str, set[int]] = {}

    def handle_message(self, peer: Peer, msg: Message) -> None:
        """Process a message of an entry instance.

        :param peer: the entry instance.
        :param msg: the message.
        """
        entry_id = f'{peer.hello.name}/{peer.hello.incarnation}'
        self._entry_peers[entry_id] = peer
        if isinstance(msg, PlacementRequestNotice):
            self._on_request(entry_id, msg.request)
        elif isinstance(msg, AttemptReportNotice):
            self._send_decisions(
                self.dispatcher.end_attempt(entry_id, msg.report, self._now())
            )
        elif isinstance(msg, WithdrawNotice):
            self.dispatcher.withdraw(
                entry_id,
                msg.number,
                msg.service,
                self._now(),
            )
        else:
            self._restore(entry_id, msg)

    def _restore(self, entry_id: str, msg: Message) -> None:
        """Take over what an entry instance knows of a former dispatcher."""
        now = self._now()
        if isinstance(msg, RunningNotice):
            self.dispatcher.release_entry_instance(entry_id, now)
            for report in msg.running:
                self.dispatcher.restore_attempt(entry_id, report, now)
        elif isinstance(msg, PausesNotice):
            self._send_decisions(
                self.dispatcher.restore_pauses(entry_id, msg.pauses, now)
            )

    def handle_peer_loss(self, peer: Peer) -> None:
        """Free the slots of an entry instance whose link has ended.

        :param peer: the entry instance.
        """
        entry_id = f'{peer.hello.name}/{peer.hello.incarnation}'
        if self._entry_peers.pop(entry_id, None) is not None:
            self.dispatcher.release_entry_instance(entry_id, self._now())
            self._send_decisions(self.dispatcher.decide_waiting(self._now()))

    def measure(self) -> tuple[Demand, ...]:
        """Return the smoothed demand and start the next measurement."""
        now = self._now()
        self.dispatcher.expire_attempts(now)
        self._log_shift_limit(now)
        self._check_region_change(now)
        self._learned_limits.update(self.dispatcher.queues(), now)
        self._record_queues()
        return self._meter.measure(self.dispatcher.service_loads(), now)

    def update(
        self,
        entries: tuple[TargetEntry, ...],
        drained: frozenset[str],
        routes: RouteTable | None,
        demand: list[Demand],
        round_trips_s: Mapping[str, float],
    ) -> None:
        """Apply the target list, the drains, the routes and the demand.

        :param entries: the listed targets.
        :param drained: failure domains whose targets get no requests.
        :param routes: routes in force.
        :param demand: demand of all regions.
        :param round_trips_s: round-trip times to other regions, in seconds.
        """
        if routes is not None and routes is not self._routes:
            self._routes = routes
            self._homes_by_service = homes_by_service(routes)
        services = routes.services if routes else {}
        context = DispatchContext(
            self._region,
            self._regions,
            drained,
            round_trips_s,
            {name: entry.cold_per_s for name, entry in services.items()},
            {
                name: queue.run_times.hit_run_s
                for name, queue in self.dispatcher.queues()
            },
            self._homes_by_service,
        )
        self.dispatcher.limits.forget_unlisted(entry.name for entry in entries)
        assign_targets(
            self.dispatcher,
            entries,
            demand,
            context,
            self._now(),
        )
        self._send_decisions(self.dispatcher.decide_waiting(self._now()))

    def _record_queues(self) -> None:
        """Record refused, displaced and waiting requests in the metrics."""
        for kind, count in self.dispatcher.refusals.take().items():
            priority = str(kind.priority)
            self._metrics.queues.refusals.labels(
                kind.service, kind.reason, priority
            ).inc(count)
            if kind.has_waited:
                self._metrics.queues.displaced.labels(
                    kind.service, priority
                ).inc(count)
        for service, queue in self.dispatcher.queues():
            waiting = queue.waiting.count_by_priority()
            self._priorities.setdefault(service, set()).update(waiting)
            for listed in self._priorities[service]:
                self._metrics.queues.waiting.labels(service, str(listed)).set(
                    waiting[listed]
                )

    def _log_shift_limit(self, now: float) -> None:
        """Log when the limit on shifts is raised or applies again."""
        lost_fraction = self.dispatcher.shift_limiter.lost_fraction(now)
        if bool(lost_fraction) == self._limit_was_raised:
            return
        self._limit_was_raised = bool(lost_fraction)
        disturbed = [
            name
            for _, queue in self.dispatcher.queues()
            for name, target in queue.targets.items()
            if target.region == self._region and target.is_disturbed(now)
        ]
        _log.info(
            'shift limit raised' if lost_fraction else 'shift limit applies',
            region=self._region,
            lost=round(lost_fraction, 2),
            disturbed=disturbed,
        )

    def _check_region_change(self, now: float) -> None:
        """Measure which fraction of the requests changed their region.

        One line for each window in which more of them did than is allowed.
        """
        window_began_at = now - WINDOW_S
        counts = self.dispatcher.shift_limiter.counts
        before = counts.between(window_began_at - WINDOW_S, window_began_at)
        after = counts.between(window_began_at, now)
        if min(before.total(), after.total()) < MIN_COMPARED_REQUESTS:
            return
        changed = changed_fraction(before, after)
        self._metrics.changed_region.set(changed)
        is_due = now - self._change_logged_at >= WINDOW_S
        if changed <= self._shift_limit or not is_due:
            return
        self._change_logged_at = now
        _log.warning(
            'requests changed region',
            region=self._region,
            changed=round(changed, 3),
            limit=self._shift_limit,
            before=_rounded_shares(before),
            after=_rounded_shares(after),
            requests=after.total(),
        )

    def _on_request(self, entry_id: str, request: PlacementRequest) -> None:
        self._meter.count_request(request.service, request.allowed_regions)
        started_at = self._now()
        decision = self.dispatcher.decide_or_queue(
            entry_id, request, started_at
        )
        self._metrics.decision_time.observe(self._now() - started_at)
        outcome = type(decision).__name__ if decision else 'Waiting'
        self._metrics.decisions.labels(request.service, outcome.lower()).inc()
        share_request = self.allowances.request(request.workspace, started_at)
        if share_request is not None:
            self.on_share_request(share_request)
        if decision is None:
            self._schedule_tick()
        else:
            self._send_decisions([(entry_id, decision)])

    def _send_decisions(self, decisions: list[tuple[str, Decision]]) -> None:
        for entry_id, decision in decisions:
            peer = self._entry_peers.get(entry_id)
            if peer is not None:
                peer.link.send(DecisionNotice(decision=decision))

    def _schedule_tick(self) -> None:
        if self._tick_timer is None:
            loop = asyncio.get_running_loop()
            self._tick_timer = loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self._send_decisions(self.dispatcher.decide_waiting(self._now()))
        if self.dispatcher.has_waiting():
            self._schedule_tick()


def _ignore_request(_request: ShareRequest) -> None:
    """Ask for nothing: there is no link to another region."""


def _rounded_shares(counts: RegionCounts) -> dict[str, float]:
    return {region: round(share, 2) for region, share in shares(counts).items()}

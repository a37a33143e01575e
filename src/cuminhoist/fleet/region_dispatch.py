"""The dispatcher of a region: serves the asks of its entry instances."""

import asyncio
from collections.abc import Callable, Mapping

from ..codec import Message
from ..gateway.routes import RouteTable
from ..logging_setup import logger
from ..steering.assignment import assign_targets
from ..steering.decisions import Decision, PlacementRequest
from ..steering.demand import Demand, DemandMeter
from ..steering.dispatcher import Dispatcher
from ..steering.slot_lending import DispatchContext
from ..steering.targets import TargetEntry
from .control_metrics import ControlMetrics
from .messages import (
    AttemptReportNotice,
    DecisionNotice,
    PlacementRequestNotice,
    RunningNotice,
    WithdrawNotice,
)
from .peer import Peer

#: How often waiting requests are looked at, in seconds.
TICK_S = 0.005
#: Round trip between regions, in seconds.
REGION_ROUND_TRIP_S = 0.07

_log = logger('dispatch')


class RegionDispatch:
    """Decides on the requests of one region and measures its demand.

    :param region: the region.
    :param regions: region of each failure domain.
    :param now: returns monotonic time in seconds.
    :param shift_limit: most of the requests that may change their region
        within two seconds.
    :param recorder: counts the decisions.
    """

    def __init__(
        self,
        region: str,
        regions: Mapping[str, str],
        now: Callable[[], float],
        shift_limit: float,
        recorder: ControlMetrics,
    ) -> None:
        self._recorder = recorder
        self.dispatcher = Dispatcher(shift_limit)
        self._region = region
        self._regions = regions
        self._now = now
        self._askers: dict[str, Peer] = {}
        self._meter = DemandMeter(region, now())
        self._ticker: asyncio.TimerHandle | None = None

    def received(self, peer: Peer, msg: Message) -> None:
        """Take a message of an entry instance.

        :param peer: the entry instance.
        :param msg: the message.
        """
        asker = f'{peer.hello.name}/{peer.hello.incarnation}'
        self._askers[asker] = peer
        if isinstance(msg, PlacementRequestNotice):
            self._on_ask(asker, msg.ask)
        elif isinstance(msg, AttemptReportNotice):
            self._tell(
                self.dispatcher.end_attempt(asker, msg.done, self._now())
            )
        elif isinstance(msg, WithdrawNotice):
            self.dispatcher.withdraw(
                asker,
                msg.number,
                msg.service,
                self._now(),
            )
        elif isinstance(msg, RunningNotice):
            self.dispatcher.release_entry_instance(asker, self._now())
            for done in msg.running:
                self.dispatcher.restore_attempt(asker, done, self._now())

    def lost(self, peer: Peer) -> None:
        """Free everything of an entry instance whose link has ended.

        :param peer: the entry instance.
        """
        asker = f'{peer.hello.name}/{peer.hello.incarnation}'
        if self._askers.pop(asker, None) is not None:
            self.dispatcher.release_entry_instance(asker, self._now())
            self._tell(self.dispatcher.decide_waiting(self._now()))

    def measure(self) -> tuple[Demand, ...]:
        """Return the demand since the last measurement, smoothed."""
        now = self._now()
        self.dispatcher.expire_attempts(now)
        return self._meter.measure(self.dispatcher.service_loads(), now)

    def update(
        self,
        entries: tuple[TargetEntry, ...],
        drained: frozenset[str],
        routes: RouteTable | None,
        demand: list[Demand],
    ) -> None:
        """Use a newer list of targets, state or demand.

        :param entries: the listed targets.
        :param drained: failure domains whose targets get nothing.
        :param routes: routes in force.
        :param demand: demand of all regions.
        """
        services = routes.services if routes else {}
        terms = DispatchContext(
            self._region,
            self._regions,
            drained,
            REGION_ROUND_TRIP_S,
            {name: entry.cold_per_s for name, entry in services.items()},
            {
                name: queue.run_times.hit_run_s
                for name, queue in self.dispatcher.queues()
            },
        )
        assign_targets(
            self.dispatcher,
            entries,
            demand,
            terms,
            self._now(),
        )
        self._tell(self.dispatcher.decide_waiting(self._now()))

    def _on_ask(self, asker: str, ask: PlacementRequest) -> None:
        self._meter.count_request(ask.service)
        began = self._now()
        decision = self.dispatcher.decide_or_queue(asker, ask, began)
        self._recorder.decision_time.observe(self._now() - began)
        outcome = type(decision).__name__ if decision else 'Waiting'
        self._recorder.decisions.labels(ask.service, outcome.lower()).inc()
        if decision is None:
            self._plan_tick()
        else:
            self._tell([(asker, decision)])

    def _tell(self, decisions: list[tuple[str, Decision]]) -> None:
        for asker, decision in decisions:
            peer = self._askers.get(asker)
            if peer is not None:
                peer.link.send(DecisionNotice(decision=decision))

    def _plan_tick(self) -> None:
        if self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticker = None
        self._tell(self.dispatcher.decide_waiting(self._now()))
        if self.dispatcher.has_waiting():
            self._plan_tick()

"""The dispatcher of a region: serves the asks of its entry instances."""

import asyncio
from collections.abc import Callable, Mapping

from ..codec import Message
from ..gateway.routes import RouteTable
from ..logs import logger
from ..steering.asks import Ask, Decision
from ..steering.assignment import assign_targets
from ..steering.dispatch import Dispatcher
from ..steering.demand import Demand, DemandMeter
from ..steering.supply import Terms
from ..steering.targets import TargetEntry
from .control_recorder import ControlRecorder
from .messages import (
    AskNotice,
    DecisionNotice,
    DoneNotice,
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
        recorder: ControlRecorder,
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
        asker = f'{peer.hello.name}/{peer.hello.life}'
        self._askers[asker] = peer
        if isinstance(msg, AskNotice):
            self._on_ask(asker, msg.ask)
        elif isinstance(msg, DoneNotice):
            self._tell(self.dispatcher.done(asker, msg.done, self._now()))
        elif isinstance(msg, WithdrawNotice):
            self.dispatcher.withdraw(
                asker,
                msg.number,
                msg.service,
                self._now(),
            )
        elif isinstance(msg, RunningNotice):
            self.dispatcher.forget(asker, self._now())
            for done in msg.running:
                self.dispatcher.adopt(asker, done, self._now())

    def lost(self, peer: Peer) -> None:
        """Free everything of an entry instance whose link has ended.

        :param peer: the entry instance.
        """
        asker = f'{peer.hello.name}/{peer.hello.life}'
        if self._askers.pop(asker, None) is not None:
            self.dispatcher.forget(asker, self._now())
            self._tell(self.dispatcher.tick(self._now()))

    def measure(self) -> tuple[Demand, ...]:
        """Return the demand since the last measurement, smoothed."""
        now = self._now()
        self.dispatcher.expire(now)
        return self._meter.measure(self.dispatcher.loads(), now)

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
        terms = Terms(
            self._region,
            self._regions,
            drained,
            REGION_ROUND_TRIP_S,
            {name: entry.cold_per_s for name, entry in services.items()},
            {
                name: queue.times.warm_s
                for name, queue in self.dispatcher.services()
            },
        )
        assign_targets(
            self.dispatcher,
            entries,
            demand,
            terms,
            self._now(),
        )
        self._tell(self.dispatcher.tick(self._now()))

    def _on_ask(self, asker: str, ask: Ask) -> None:
        self._meter.offered(ask.service)
        began = self._now()
        decision = self.dispatcher.offer(asker, ask, began)
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
        self._tell(self.dispatcher.tick(self._now()))
        if self.dispatcher.waits():
            self._plan_tick()

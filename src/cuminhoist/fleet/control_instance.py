"""A control instance: declared state, fleet, look-ups, dispatching."""

import asyncio
import pathlib
import random
import secrets
from collections.abc import Callable

import msgspec
from returns.result import Result, Success

from ..codec import Message
from ..gateway.routes import RouteTable
from ..logging_setup import logger
from ..register.acceptor import Acceptor, AcceptorFiles
from ..register.declared_state import (
    DeclaredState,
    DrainDomain,
    ReplaceConfiguration,
)
from ..register.messages import Join, Learned
from ..register.replica import RegisterReplica
from ..steering.targets import TargetEntry
from .background import BackgroundTasks
from .control_links import BEAT_S, ControlLinks
from .control_metrics import ControlMetrics
from .instance_config import Address, InstanceConfig
from .list_changes import changes_between
from .lookups import nearest_entries
from .messages import (
    ControlEndpoint,
    Hello,
    Neighbours,
    Roster,
    TargetList,
)
from .peer import Peer
from .region_dispatch import RegionDispatch
from .target_feed import TargetFeed, TargetSource

#: Time for the others to learn that this instance leaves, in seconds.
LEAVE_S = 0.8
#: Entry instances hear of demand each time after this many beats; it is for
#: the time without a dispatcher only.
NEIGHBOUR_BEATS = 6
#: A control instance that has just started does not know all entry instances
#: yet; its roster would hide the others, in seconds.
ROSTER_AFTER_S = 2.0

Decode = Callable[[bytes], Result[RouteTable, str]]
_log = logger('control')


class Acknowledged(msgspec.Struct, frozen=True):
    """The order is in force and will stay so."""


class Invalid(msgspec.Struct, frozen=True):
    """The order is not valid and is never in force."""

    reason: str


class Undecided(msgspec.Struct, frozen=True):
    """No quorum answered; the order may be in force or not."""


OrderOutcome = Acknowledged | Invalid | Undecided


class ControlInstance:
    """One control instance.

    :param site: what the process knows of itself.
    :param source: reads the list of targets.
    :param decode: reads a configuration.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        site: InstanceConfig,
        source: TargetSource,
        decode: Decode,
        now: Callable[[], float],
    ) -> None:
        self._site = site
        self._decode = decode
        self._now = now
        self._began_at = now()
        self._routes: RouteTable | None = None
        self.recorder = ControlMetrics()
        self.incarnation = secrets.token_hex(6)
        self.links = ControlLinks(
            site,
            Hello(
                name=site.name,
                incarnation=self.incarnation,
                address=site.peer_address,
                domain=site.domain,
                region=site.region,
                control=True,
            ),
            now,
        )
        self.replica = self._open_replica()
        self.feed = TargetFeed(source, self._rank, now, self._on_targets)
        self.dispatch = RegionDispatch(
            site.region,
            site.regions,
            now,
            site.bounds.max_shift_fraction,
            self.recorder,
        )
        self._demand = self.dispatch.measure()
        self._told: tuple[TargetEntry, ...] = ()
        self._told_controls: tuple[ControlEndpoint, ...] = ()
        self._beats = 0
        self._background = BackgroundTasks()
        self._started = False

    async def start(self) -> None:
        """Listen and take part."""
        links = self.links
        links.on_message = self._on_message
        links.on_peer = self._on_peer
        links.on_lost = self.dispatch.lost
        links.on_call = self.replica.handle_call
        if self.replica.latest_chosen is not None:
            self._on_learned(self.replica.latest_chosen)
        await links.start()
        self._started = True
        for coroutine in (
            links.run_dialling(),
            self.replica.run_proposals(),
            self.replica.run_membership(),
            self.feed.run(),
            self._run_beats(),
        ):
            self._background.spawn(coroutine)

    async def stop(self) -> None:
        """Tell the others, then end."""
        self.links.leaving = True
        self._beat()
        await asyncio.sleep(LEAVE_S)
        await self._background.stop()

    @property
    def confirmed(self) -> bool:
        """Whether a quorum of the voters is in reach."""
        return self.replica.reaches_quorum(
            self.links.reachable_voters(self.replica.name),
        )

    async def replace_configuration(self, body: bytes) -> OrderOutcome:
        """Put a configuration in force unless a newer one is.

        :param body: the configuration as an operator sent it.
        """
        began = self._now()
        outcome = await self._replace_configuration(body)
        self._record_order('configuration', outcome, began)
        return outcome

    async def _replace_configuration(self, body: bytes) -> OrderOutcome:
        decoded = self._decode(body)
        if not isinstance(decoded, Success):
            _log.bind(reason=decoded.failure()).info('configuration refused')
            return Invalid(decoded.failure())
        version = decoded.unwrap().version
        state = await self.replica.submit(
            ReplaceConfiguration(version=version, body=body),
        )
        in_force = state is not None and state.version >= version
        _log.bind(
            version=version,
            held=state.version if state else None,
            acknowledged=in_force,
        ).info('configuration order')
        return Acknowledged() if in_force else Undecided()

    async def drain_domain(self, domain: str, *, drained: bool) -> OrderOutcome:
        """Start or end the drain of a failure domain.

        :param domain: the failure domain.
        :param drained: whether its targets get nothing.
        """
        began = self._now()
        outcome = await self._drain_domain(domain, drained=drained)
        self._record_order('drain', outcome, began)
        return outcome

    async def _drain_domain(
        self,
        domain: str,
        *,
        drained: bool,
    ) -> OrderOutcome:
        if domain not in self._site.regions:
            return Invalid(f'unknown failure domain {domain!r}')
        state = await self.replica.submit(
            DrainDomain(domain=domain, drained=drained),
        )
        in_force = state is not None and (domain in state.drained) == drained
        _log.bind(
            domain=domain,
            drained=drained,
            acknowledged=in_force,
        ).info('drain order')
        return Acknowledged() if in_force else Undecided()

    async def read_configuration(self) -> bytes | None:
        """Return the newest configuration, or nothing if uncertain."""
        state = await self.replica.read()
        if state is None or not state.version:
            return None
        return state.body

    def lookup(self, region: str, domain: str) -> list[Address]:
        """Return where a caller connects.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        return nearest_entries(self.links.entries(), region, domain)

    def _open_replica(self) -> RegisterReplica:
        site = self._site
        files = AcceptorFiles(pathlib.Path(site.data_folder))
        rng = random.SystemRandom()
        founders = None
        if site.first_start:
            founders = DeclaredState.from_founders(site.seeds)
        identity = files.load_or_create_identity(
            site.peer_address.host, founders, rng
        )
        known = files.learned.load() or identity.founders
        _log.bind(
            voter=identity.voter,
            index=known.index if known else None,
            first_start=site.first_start,
        ).info('state read from disk')
        return RegisterReplica(
            Acceptor.from_files(identity.voter, files),
            known,
            site.peer_address,
            self.links,
            self._on_learned,
            rng,
        )

    def _record_order(
        self,
        kind: str,
        outcome: OrderOutcome,
        began: float,
    ) -> None:
        name = type(outcome).__name__.lower()
        self.recorder.orders.labels(kind, name).inc()
        took_s = self._now() - began
        self.recorder.order_time.labels(kind).observe(took_s)

    def _record_beliefs(self) -> None:
        known = self.replica.latest_chosen
        beliefs = self.recorder.state_gauge
        beliefs.labels('state_index').set(known.index if known else -1)
        beliefs.labels('config_version').set(known.version if known else 0)
        beliefs.labels('majority').set(self.confirmed)
        beliefs.labels('targets').set(len(self.feed.entries))
        beliefs.labels('list_age_s').set(self._now() - self.feed.read_at)
        beliefs.labels('links').set(len(self.links.peers))

    def _rank(self) -> int:
        names = [control.name for control in self.links.controls()]
        return names.index(self._site.name) if self._site.name in names else 9

    def _on_learned(self, state: DeclaredState) -> None:
        if state.body:
            decoded = self._decode(state.body)
            if isinstance(decoded, Success):
                self._routes = decoded.unwrap()
        self.links.add_addresses(
            {voter.address for voter in state.all_voters()},
        )
        self.links.send_to_entries(Learned(state=state))
        if self._started:
            self._update_dispatch()

    def _on_targets(self, feed: TargetFeed) -> None:
        age_s = self._now() - feed.read_at
        changes = changes_between(self._told, feed.entries, age_s)
        self._told = feed.entries
        self.links.send_to_entries(changes)
        if self._rank() == 0:
            self.links.broadcast(feed.message())
        self._update_dispatch()

    def _on_peer(self, peer: Peer) -> None:
        known = self.replica.latest_chosen
        if known is not None:
            peer.link.send(Learned(state=known))
        if not peer.hello.control:
            # Changes that follow start from the list that the others have.
            age_s = self._now() - self.feed.read_at
            peer.link.send(TargetList(age_s=age_s, targets=self._told))
            if self._now() - self._began_at > ROSTER_AFTER_S:
                peer.link.send(Roster(entries=tuple(self.links.entries())))
            peer.link.send(self._view(peer))
            peer.link.send(self._neighbours())

    def _on_message(self, peer: Peer, msg: Message) -> None:
        if isinstance(msg, Learned):
            self.replica.learn(msg.state)
        elif isinstance(msg, Join):
            self.replica.on_join(msg)
        elif isinstance(msg, TargetList):
            self.feed.adopt(msg)
        elif not peer.hello.control:
            self.dispatch.received(peer, msg)

    def _update_dispatch(self) -> None:
        known = self.replica.latest_chosen
        self.dispatch.update(
            self.feed.entries,
            known.drained if known else frozenset(),
            self._routes,
            self.links.demand(self._demand),
        )

    async def _run_beats(self) -> None:
        while True:
            self._demand = self.dispatch.measure()
            self._beat()
            self._update_dispatch()
            self._record_beliefs()
            await asyncio.sleep(BEAT_S)

    def _beat(self) -> None:
        if self._now() - self._began_at > ROSTER_AFTER_S:
            self.links.send_roster()
        self._tell_neighbours()
        known = self.replica.latest_chosen
        index = known.index if known else -1
        beat = self.links.beat(
            index,
            self.replica.name,
            self._demand,
            confirmed=self.confirmed,
        )
        for peer in self.links.peers.values():
            if not peer.hello.control:
                peer.link.send(self._view(peer))
                continue
            peer.link.send(beat)
            lags = peer.heartbeat is not None and peer.heartbeat.index < index
            if known is not None and lags:
                peer.link.send(Learned(state=known))

    def _tell_neighbours(self) -> None:
        neighbours = self._neighbours()
        self._beats += 1
        changed = neighbours.controls != self._told_controls
        if changed or self._beats % NEIGHBOUR_BEATS == 0:
            self._told_controls = neighbours.controls
            self.links.send_to_entries(neighbours)

    def _view(self, peer: Peer) -> Message:
        known = self.replica.latest_chosen
        return self.links.view_for(
            peer.hello.region,
            known.index if known else -1,
            confirmed=self.confirmed,
        )

    def _neighbours(self) -> Neighbours:
        return Neighbours(
            controls=tuple(self.links.controls()),
            demand=tuple(self.links.demand(self._demand)),
        )

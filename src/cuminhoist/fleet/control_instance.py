"""A control instance: replica of the declared state, and dispatcher.

Each control instance keeps a replica of the declared state (configuration and
drains), collects the state of the fleet and answers look-ups. One control
instance of each region is also the dispatcher of the region.
"""

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
from .control_links import HEARTBEAT_INTERVAL_S, ControlLinks
from .control_metrics import ControlMetrics
from .instance_config import Address, InstanceConfig
from .list_changes import changes_between
from .lookups import nearest_entries
from .messages import (
    ControlEndpoint,
    FleetSummary,
    Hello,
    Roster,
    TargetList,
)
from .peer import Peer
from .region_dispatch import RegionDispatch
from .target_feed import TargetFeed, TargetSource

#: Time between the leaving heartbeat and the end of the tasks, in seconds, so
#: that the other instances learn that this one leaves.
LEAVE_DELAY_S = 0.8
#: Heartbeats between two fleet summaries to the entry instances; they use the
#: demand only while they have no dispatcher.
HEARTBEATS_PER_SUMMARY = 6
#: Time after the start before a roster is sent, in seconds. A control instance
#: that has just started does not know all entry instances; its roster would
#: replace a complete roster by an incomplete one.
ROSTER_DELAY_S = 2.0

DecodeConfiguration = Callable[[bytes], Result[RouteTable, str]]
_log = logger('control')


class Acknowledged(msgspec.Struct, frozen=True):
    """The order is in force and will not be lost."""


class Invalid(msgspec.Struct, frozen=True):
    """The order failed validation and was not submitted.

    :param reason: the validation error.
    """

    reason: str


class Undecided(msgspec.Struct, frozen=True):
    """No quorum replied; the order may or may not be in force."""


OrderOutcome = Acknowledged | Invalid | Undecided


class ControlInstance:
    """Connects the replica, the links, the target feed and the dispatcher.

    :param config: configuration of this instance.
    :param source: reads the list of targets.
    :param decode: decodes and validates a configuration.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        config: InstanceConfig,
        source: TargetSource,
        decode: DecodeConfiguration,
        now: Callable[[], float],
    ) -> None:
        self._config = config
        self._decode = decode
        self._now = now
        self._created_at = now()
        self._routes: RouteTable | None = None
        self.metrics = ControlMetrics()
        self.incarnation = secrets.token_hex(6)
        self.links = ControlLinks(
            config,
            Hello(
                name=config.name,
                incarnation=self.incarnation,
                address=config.peer_address,
                domain=config.domain,
                region=config.region,
                control=True,
            ),
            now,
        )
        self.replica = self._open_replica()
        self.feed = TargetFeed(
            source, self._read_rank, now, self._on_target_list
        )
        self.dispatch = RegionDispatch(
            config.region,
            config.regions,
            now,
            config.limits.max_shift_fraction,
            self.metrics,
        )
        self._demand = self.dispatch.measure()
        self._sent_targets: tuple[TargetEntry, ...] = ()
        self._sent_controls: tuple[ControlEndpoint, ...] = ()
        self._heartbeat_count = 0
        self._background = BackgroundTasks()
        self._started = False

    async def start(self) -> None:
        """Accept links and start the background tasks."""
        links = self.links
        links.on_message = self._on_message
        links.on_peer_linked = self._on_peer_linked
        links.on_peer_lost = self.dispatch.handle_peer_loss
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
            self._run_heartbeats(),
        ):
            self._background.spawn(coroutine)

    async def stop(self) -> None:
        """Send a leaving heartbeat, wait ``LEAVE_DELAY_S``, end all tasks."""
        self.links.leaving = True
        self._send_heartbeats()
        await asyncio.sleep(LEAVE_DELAY_S)
        await self._background.stop()

    @property
    def confirmed(self) -> bool:
        """Whether this instance reaches a quorum of the voters."""
        return self.replica.reaches_quorum(
            self.links.reachable_voters(self.replica.name),
        )

    async def replace_configuration(self, body: bytes) -> OrderOutcome:
        """Apply a configuration unless a newer one is in force.

        :param body: the encoded configuration.
        """
        started_at = self._now()
        outcome = await self._replace_configuration(body)
        self._record_order('configuration', outcome, started_at)
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
        :param drained: whether its targets get no requests.
        """
        started_at = self._now()
        outcome = await self._drain_domain(domain, drained=drained)
        self._record_order('drain', outcome, started_at)
        return outcome

    async def _drain_domain(
        self,
        domain: str,
        *,
        drained: bool,
    ) -> OrderOutcome:
        if domain not in self._config.regions:
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
        """Return the configuration in force.

        Returns nothing if there is none yet or no quorum replies.
        """
        state = await self.replica.read()
        if state is None or not state.version:
            return None
        return state.body

    def lookup(self, region: str, domain: str) -> list[Address]:
        """Return the entry instances that a caller may connect to.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        return nearest_entries(self.links.entries(), region, domain)

    def _open_replica(self) -> RegisterReplica:
        config = self._config
        files = AcceptorFiles(pathlib.Path(config.data_folder))
        rng = random.SystemRandom()
        founders = None
        if config.first_start:
            founders = DeclaredState.from_founders(config.seeds)
        identity = files.load_or_create_identity(
            config.peer_address.host, founders, rng
        )
        state = files.learned.load() or identity.founders
        _log.bind(
            voter=identity.voter,
            index=state.index if state else None,
            first_start=config.first_start,
        ).info('state read from disk')
        return RegisterReplica(
            Acceptor.from_files(identity.voter, files),
            state,
            config.peer_address,
            self.links,
            self._on_learned,
            rng,
        )

    def _record_order(
        self,
        kind: str,
        outcome: OrderOutcome,
        started_at: float,
    ) -> None:
        name = type(outcome).__name__.lower()
        self.metrics.orders.labels(kind, name).inc()
        took_s = self._now() - started_at
        self.metrics.order_time.labels(kind).observe(took_s)

    def _record_state(self) -> None:
        state = self.replica.latest_chosen
        gauge = self.metrics.state_gauge
        gauge.labels('state_index').set(state.index if state else -1)
        gauge.labels('config_version').set(state.version if state else 0)
        gauge.labels('majority').set(self.confirmed)
        gauge.labels('targets').set(len(self.feed.entries))
        gauge.labels('list_age_s').set(self._now() - self.feed.read_at)
        gauge.labels('links').set(len(self.links.peers))

    def _read_rank(self) -> int:
        # An instance that is leaving is not in the list; rank 9 keeps it from
        # reading the target list before the others.
        names = [control.name for control in self.links.controls()]
        return (
            names.index(self._config.name) if self._config.name in names else 9
        )

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

    def _on_target_list(self, feed: TargetFeed) -> None:
        age_s = self._now() - feed.read_at
        changes = changes_between(self._sent_targets, feed.entries, age_s)
        self._sent_targets = feed.entries
        self.links.send_to_entries(changes)
        if self._read_rank() == 0:
            self.links.broadcast(feed.to_message())
        self._update_dispatch()

    def _on_peer_linked(self, peer: Peer) -> None:
        state = self.replica.latest_chosen
        if state is not None:
            peer.link.send(Learned(state=state))
        if not peer.hello.control:
            # Later changes are relative to the list that was last sent to all
            # entry instances, so a new peer starts from that list.
            age_s = self._now() - self.feed.read_at
            peer.link.send(TargetList(age_s=age_s, targets=self._sent_targets))
            if self._now() - self._created_at > ROSTER_DELAY_S:
                peer.link.send(Roster(entries=tuple(self.links.entries())))
            peer.link.send(self._build_view(peer))
            peer.link.send(self._build_fleet_summary())

    def _on_message(self, peer: Peer, msg: Message) -> None:
        if isinstance(msg, Learned):
            self.replica.learn(msg.state)
        elif isinstance(msg, Join):
            self.replica.on_join(msg)
        elif isinstance(msg, TargetList):
            self.feed.apply_list(msg)
        elif not peer.hello.control:
            self.dispatch.handle_message(peer, msg)

    def _update_dispatch(self) -> None:
        state = self.replica.latest_chosen
        self.dispatch.update(
            self.feed.entries,
            state.drained if state else frozenset(),
            self._routes,
            self.links.demand(self._demand),
        )

    async def _run_heartbeats(self) -> None:
        while True:
            self._demand = self.dispatch.measure()
            self._send_heartbeats()
            self._update_dispatch()
            self._record_state()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeats(self) -> None:
        if self._now() - self._created_at > ROSTER_DELAY_S:
            self.links.send_roster()
        self._send_fleet_summary()
        state = self.replica.latest_chosen
        index = state.index if state else -1
        heartbeat = self.links.build_heartbeat(
            index,
            self.replica.name,
            self._demand,
            confirmed=self.confirmed,
        )
        for peer in self.links.peers.values():
            if not peer.hello.control:
                peer.link.send(self._build_view(peer))
                continue
            peer.link.send(heartbeat)
            is_behind = (
                peer.heartbeat is not None and peer.heartbeat.index < index
            )
            if state is not None and is_behind:
                peer.link.send(Learned(state=state))

    def _send_fleet_summary(self) -> None:
        summary = self._build_fleet_summary()
        self._heartbeat_count += 1
        changed = summary.controls != self._sent_controls
        if changed or self._heartbeat_count % HEARTBEATS_PER_SUMMARY == 0:
            self._sent_controls = summary.controls
            self.links.send_to_entries(summary)

    def _build_view(self, peer: Peer) -> Message:
        state = self.replica.latest_chosen
        return self.links.build_view(
            peer.hello.region,
            state.index if state else -1,
            confirmed=self.confirmed,
        )

    def _build_fleet_summary(self) -> FleetSummary:
        return FleetSummary(
            controls=tuple(self.links.controls()),
            demand=tuple(self.links.demand(self._demand)),
        )

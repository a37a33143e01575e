"""A control instance: replica of the declared state, and dispatcher.

Each control instance keeps a replica of the declared state (configuration and
drains), collects the state of the fleet and answers look-ups. One control
instance of each region is also the dispatcher of the region.
"""

import asyncio
import pathlib
import random
import secrets
from collections.abc import Awaitable, Callable

from returns.result import Success

from ..codec import Message
from ..gateway.routes import RouteTable
from ..logging_setup import logger
from ..register.acceptor import Acceptor, AcceptorFiles
from ..register.declared_state import DeclaredState
from ..register.messages import Join, Learned
from ..register.replica import RegisterReplica
from .allowance_broadcast import AllowanceBroadcast
from .background import BackgroundTasks, UpdateLimiter
from .control_links import HEARTBEAT_INTERVAL_S, ControlLinks
from .control_metrics import ControlMetrics
from .entry_updates import EntryUpdates
from .instance_config import Address, InstanceConfig
from .leaving_broadcast import LeavingBroadcast
from .limit_broadcast import LimitBroadcast
from .link import Link
from .link_meter import PrometheusMeter
from .list_broadcast import ListBroadcast
from .messages import (
    FleetSummary,
    Hello,
    LeavingNotice,
    LimitsNotice,
    PoisonNotice,
    ReadinessNotice,
    TargetChanges,
    TargetList,
)
from .operator_orders import DecodeConfiguration, OperatorOrders
from .peer import Peer
from .poison_broadcast import PoisonBroadcast
from .region_dispatch import RegionDispatch
from .target_feed import TargetFeed, TargetSource

#: Time between the leaving heartbeat and the end of the tasks, in seconds, so
#: that the other instances learn that this one leaves.
LEAVE_DELAY_S = 0.8
#: Longest such time, in seconds, if the others have to drop it from the voters:
#: two ballots between regions, repeated once.
LEAVE_LIMIT_S = 2.5
#: Time after the start until the first links are expected, in seconds.
FIRST_LINKS_S = 0.5
#: Time without a new link after which an instance that has just started knows
#: its place among the control instances, in seconds; they start within some
#: 0.3 s of each other.
LINKS_SETTLE_S = 0.3
#: A control instance that reports an older declared state this long after it
#: was announced gets it again, in seconds; announcements take one round trip.
RESEND_DELAY_S = 0.5
#: Name of the task that proposes orders.
_PROPOSALS = 'proposals'

_log = logger('control')


class ControlInstance:
    """Connects the replica, the links, the target feed and the dispatcher.

    :param config: configuration of this instance.
    :param source: reads the list of targets.
    :param decode: decodes and validates a configuration.
    :param now: returns monotonic time in seconds.
    :param check_order: does the same for one that an operator orders; by
        default ``decode``.
    :param stall_clock: returns time in seconds, suspensions included; by
        default the clock of the system.
    """

    def __init__(
        self,
        config: InstanceConfig,
        source: TargetSource,
        decode: DecodeConfiguration,
        now: Callable[[], float],
        check_order: DecodeConfiguration | None = None,
        stall_clock: Callable[[], float] | None = None,
    ) -> None:
        self._config = config
        self._decode = decode
        self._now = now
        self._created_at = now()
        self._routes: RouteTable | None = None
        self.metrics = ControlMetrics()
        self.incarnation = secrets.token_hex(6)
        meter = PrometheusMeter(
            config.domain, config.region, self.metrics.registry
        )
        self._background = BackgroundTasks.from_registry(self.metrics.registry)
        self._reports = meter.run_reports
        hello = Hello(
            name=config.name,
            incarnation=self.incarnation,
            address=config.peer_address,
            domain=config.domain,
            region=config.region,
            control=True,
        )
        self.links = ControlLinks(config, hello, now, meter)
        self.replica = self._open_replica()
        self.orders = OperatorOrders(
            self.replica,
            check_order or decode,
            config.regions,
            self.metrics,
            stall_clock,
        )
        self.feed = TargetFeed(
            source,
            self._read_rank,
            now,
            self._on_target_list,
            config.limits,
        )
        self.feed.report_rejected(self.metrics.registry)
        self.dispatch = RegionDispatch(
            config.region,
            config.regions,
            now,
            config.limits.max_shift_fraction,
            self.metrics,
            config.limits.allowance_bounds,
            learns_limits=config.limits.learns_limits,
        )
        self._demand = self.dispatch.measure()
        self._entry_updates = EntryUpdates(self.links, self.feed, now)
        self._list_broadcast = ListBroadcast(self.links)
        self._leaving_broadcast = LeavingBroadcast(
            self.links, self.feed, self.metrics
        )
        self._limit_broadcast = LimitBroadcast(
            self.links, self.dispatch.dispatcher, self.metrics
        )
        self._poison_broadcast = PoisonBroadcast(self.links, self.metrics, now)
        self._allowance_broadcast = AllowanceBroadcast(
            self.links,
            hello,
            self.dispatch,
            self.metrics,
            config.limits.allowance_bounds,
        )
        self._entry_updates.send_notices = self._send_notices
        self._dispatch_update = UpdateLimiter(self._update_dispatch, now)
        self._learned_at = float('-inf')
        self._linked_controls: set[Address] = set()
        self._links_changed_at = now()
        self._started = False

    async def start(self) -> None:
        """Accept links and start the background tasks."""
        links = self.links
        links.on_message = self._on_message
        links.on_peer_linked = self._on_peer_linked
        links.on_peer_lost = self._on_peer_lost
        links.on_call = self.replica.handle_call
        if self.replica.latest_chosen is not None:
            self._on_learned(self.replica.latest_chosen)
        await links.start()
        self._started = True
        for name, factory in (
            ('links', links.run_dialling),
            (_PROPOSALS, self.replica.run_proposals),
            ('membership', self.replica.run_membership),
            ('target list', self.feed.run),
            ('heartbeats', self._run_heartbeats),
            ('stalls', self.orders.stalls.run),
            ('reports', self._reports),
        ):
            self.supervise(name, factory)

    def supervise(
        self, name: str, factory: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a long-lived task of the process until the stop.

        :param name: name of the task in logs and metrics.
        :param factory: starts the task, again after an error.
        """
        self._background.supervise(name, factory)

    async def stop(self) -> None:
        """Send a leaving heartbeat, leave the voters, end all tasks."""
        self.links.fleet.leaving = True
        self._send_heartbeats()
        limit_s = min(LEAVE_LIMIT_S, self._config.limits.stop_grace_s / 2)
        await self.replica.leave(LEAVE_DELAY_S, limit_s)
        await self._background.stop()

    @property
    def confirmed(self) -> bool:
        """Whether this instance reaches a quorum and can propose orders.

        The other control instances send orders to one that can. One whose
        heartbeats or links are down is silent, and the list of targets is
        read by the next one if it does not arrive.
        """
        return not self._background.is_down(
            _PROPOSALS
        ) and self.replica.reaches_quorum(
            self.links.reachable_voters(self.replica.name),
        )

    def lookup(self, region: str, domain: str) -> list[Address]:
        """Return the entry instances that a caller may connect to.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        return self.links.fleet.nearest_entries(region, domain)

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
            config.limits.tolerated_losses,
        )

    def _record_state(self) -> None:
        state = self.replica.latest_chosen
        gauge = self.metrics.state_gauge
        gauge.labels('state_index').set(state.index if state else -1)
        gauge.labels('config_version').set(state.shown_version if state else -1)
        gauge.labels('majority').set(self.confirmed)
        gauge.labels('targets').set(len(self.feed.entries))
        gauge.labels('list_age_s').set(self._now() - self.feed.read_at)
        gauge.labels('links').set(len(self.links.peers))

    def _read_rank(self) -> int:
        # An instance that is leaving is not in the list and reads the target
        # list after all others. One that has just started waits for links, as
        # it does not know its place yet.
        if self._has_just_started() and not self._knows_place():
            return 1
        names = [control.name for control in self.links.fleet.controls()]
        return (
            names.index(self._config.name)
            if self._config.name in names
            else len(names)
        )

    def _knows_place(self) -> bool:
        """Tell whether all known voters are linked, or no link is new.

        While links come up, several instances would take themselves for the
        first.
        """
        linked = {
            peer.hello.address
            for peer in self.links.peers.values()
            if peer.hello.control
        }
        if linked != self._linked_controls:
            self._linked_controls = linked
            self._links_changed_at = self._now()
        state = self.replica.latest_chosen
        voters = {voter.address for voter in state.voters} if state else set()
        if voters and voters <= {*linked, self._config.peer_address}:
            return True
        settled_s = self._now() - self._links_changed_at
        return bool(linked) and settled_s >= LINKS_SETTLE_S

    def _has_just_started(self) -> bool:
        return self._now() - self._created_at < FIRST_LINKS_S

    def _on_learned(self, state: DeclaredState) -> None:
        if state.has_configuration:
            decoded = self._decode(state.body)
            if isinstance(decoded, Success):
                self._routes = decoded.unwrap()
                self._allowance_broadcast.replace_routes(
                    self._routes, self._now()
                )
        self.links.add_addresses(
            {voter.address for voter in state.all_voters()},
        )
        self._learned_at = self._now()
        self.links.send_to_subscribers(Learned(state=state))
        if self._started:
            self._update_dispatch()

    def _on_target_list(self, feed: TargetFeed) -> None:
        self._entry_updates.send_targets()
        if self._read_rank() == 0:
            self._list_broadcast.send(feed, self._now() - feed.read_at)
        else:
            self._list_broadcast.pause()
        self._update_dispatch()

    def _on_peer_linked(self, peer: Peer) -> None:
        if not peer.hello.control:
            peer.link.send(
                self.links.fleet.view(
                    peer.hello.region,
                    self.replica.known_index,
                    self._now() - self.feed.read_at,
                    confirmed=self.confirmed,
                )
            )
            return
        state = self.replica.latest_chosen
        if state is not None:
            peer.link.send(Learned(state=state))
        peer.link.send(self.links.fleet.all_linked())
        self._leaving_broadcast.send_in_force(peer.link)
        self._send_notices(peer.link)

    def _on_peer_lost(self, peer: Peer) -> None:
        self.dispatch.handle_peer_loss(peer)
        if self._allowance_broadcast.replaces(peer):
            self._send_views()

    def _send_notices(self, link: Link) -> None:
        """Send what an instance must know of targets and requests."""
        self._limit_broadcast.send_in_force(link)
        self._poison_broadcast.send_in_force(link)
        self._allowance_broadcast.send_in_force(link)

    def _on_message(self, peer: Peer, msg: Message) -> None:
        if isinstance(msg, LeavingNotice):
            if self._leaving_broadcast.handle_notice(peer, msg):
                self._dispatch_update.request()
        elif isinstance(msg, LimitsNotice):
            self._limit_broadcast.handle_notice(peer, msg, self._now())
        elif isinstance(msg, PoisonNotice):
            self._poison_broadcast.handle_notice(peer, msg)
        elif peer.hello.control:
            self._on_control_message(peer, msg)
        else:
            self._on_entry_message(peer, msg)

    def _on_control_message(self, peer: Peer, msg: Message) -> None:
        if isinstance(msg, Learned):
            self.replica.learn(msg.state)
        elif isinstance(msg, Join):
            self.replica.on_join(msg)
        elif isinstance(msg, (TargetList, TargetChanges)):
            target_list = peer.targets.apply(msg, self._now())
            if target_list is not None:
                self.feed.apply_list(target_list)
        else:
            self._allowance_broadcast.handle_message(peer, msg, self._now())

    def _on_entry_message(self, peer: Peer, msg: Message) -> None:
        if isinstance(msg, ReadinessNotice):
            self._entry_updates.handle_notice(
                peer, msg, self.replica.latest_chosen
            )
        else:
            self.dispatch.handle_message(peer, msg)

    def _update_dispatch(self) -> None:
        state = self.replica.latest_chosen
        self.dispatch.update(
            self.feed.entries,
            state.drained if state else frozenset(),
            self._routes,
            self.links.demand(self._demand),
            self.links.round_trips_s(),
        )

    async def _run_heartbeats(self) -> None:
        while True:
            self._demand = self.dispatch.measure()
            self._send_heartbeats()
            self.feed.stop_last_targets()
            self._update_dispatch()
            self._record_state()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeats(self) -> None:
        self._entry_updates.send_heartbeat(
            FleetSummary(
                controls=tuple(self.links.fleet.controls()),
                demand=tuple(self.links.demand(self._demand)),
                round_trips_s=self.links.round_trips_s(),
            )
        )
        changes = self.links.fleet.changes()
        if changes is not None:
            self.links.broadcast(changes)
        heartbeat = self.links.build_heartbeat(
            self.replica.known_index,
            self.replica.name,
            self._demand,
            confirmed=self.confirmed,
        )
        self.links.broadcast(
            self._allowance_broadcast.heartbeat(heartbeat, self._now())
        )
        self._send_views()
        self._resend_state()

    def _send_views(self) -> None:
        self.links.send_views(
            self.replica.known_index,
            self._now() - self.feed.read_at,
            confirmed=self.confirmed,
        )

    def _resend_state(self) -> None:
        """Send the declared state to instances that missed its announcement.

        All control instances learn it at about the same time. Only the first
        one by name sends it again, unless nobody has for several heartbeats.
        """
        state = self.replica.latest_chosen
        learned_for_s = self._now() - self._learned_at
        if state is None or learned_for_s < RESEND_DELAY_S:
            return
        fresh = self.links.fleet.fresh_peers()
        current = [
            peer.hello.name
            for peer in fresh
            if peer.heartbeat is not None
            and peer.heartbeat.index >= state.index
        ]
        is_first = self._config.name < min(current, default='~')
        if not is_first and learned_for_s < 4 * RESEND_DELAY_S:
            return
        for peer in fresh:
            if (
                peer.heartbeat is not None
                and peer.heartbeat.index < state.index
                and peer.heartbeat_at > self._learned_at + RESEND_DELAY_S / 2
            ):
                peer.link.send(Learned(state=state))

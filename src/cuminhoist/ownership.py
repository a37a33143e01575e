"""Decides which entry instance of a failure domain owns which target.

Only the owner dispatches to a target, so that two instances never use a
slot of it at once. The entry instances of a domain (domain peers) exchange
heartbeats in rounds; a new owner needs the consent of every peer that is
not silent.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterable

import msgspec
from returns.result import Success

from .clock import Clock
from .codec import Message
from .heartbeats import Handover, Heartbeat, HeartbeatReply
from .lease import Lease
from .logging_setup import logger
from .membership import (
    PARTNER_INTERVAL_S,
    TAKEOVER_S,
    Membership,
    cross_domain_partners,
)
from .rendezvous import highest_ranked, ranked, score
from .settings import Target, Topology
from .slot_handover import DEADLINE_MARGIN_S, SlotHandover
from .transport import ErrorReply, Transport

ROUND_INTERVAL_S = 1.0
#: A failed round is repeated early: five rounds fit into the time after
#: which a peer that leaves calls unanswered is left out of the lease.
RETRY_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 0.3
TICK_S = 0.1
#: Limits the messages that announce a planned stop.
MAX_STOP_NOTICES = 32

_log = logger('ownership')


class _ReleasedTarget(msgspec.Struct):
    """A target that this instance released.

    :param granted_to: incarnation of the peer whose claim was granted and that
        got the hand-over; empty for none.
    """

    granted_to: str = ''


class Ownership:
    """Runs the lease rounds and claims targets of this failure domain.

    A target is owned only after one round in which every domain peer
    replied without denying the claim, or was silent for ``TAKEOVER_S``.
    Unless a peer (or this instance) released the target and reports what
    still runs there, all its slots are quarantined for the longest deadline
    of its service plus a margin.

    :param topology: the deployment.
    :param membership: the latest heartbeats of the peers.
    :param transport: carries heartbeats.
    :param clock: time source.
    :param slots: the slot table.
    :param epoch: returns the current epoch of the key tickets.
    """

    def __init__(
        self,
        topology: Topology,
        membership: Membership,
        transport: Transport,
        clock: Clock,
        slots: SlotHandover,
        epoch: Callable[[], int] = int,
    ) -> None:
        self._topology = topology
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._slots = slots
        self._epoch = epoch
        name = membership.name
        self._peers: tuple[str, ...] = tuple(
            peer.name
            for peer in topology.domain_entry_instances(name)
            if peer.name != name
        )
        domain = topology.instance(name).domain
        self._targets: dict[str, Target] = {
            target.name: target
            for target in topology.targets
            if target.domain == domain
        }
        self._lease = Lease(clock, membership, self._peers)
        self._owned: set[str] = set()
        # Number of the first round that sends each claim.
        self._claims: dict[str, int] = {}
        self._released: dict[str, _ReleasedTarget] = {}
        self._round = 0
        self._version: Callable[[], int] = int
        self._round_requested = asyncio.Event()
        transport.add_handler(Heartbeat, self._on_heartbeat)

    @property
    def is_handed_over(self) -> bool:
        """Whether a peer has claimed every released target.

        Without a live peer no instance can claim them; owning none is enough.
        """
        has_live_peer = any(self._is_live(peer) for peer in self._peers)
        return not self._owned and not (
            has_live_peer
            and any(not rel.granted_to for rel in self._released.values())
        )

    def set_version_source(self, version: Callable[[], int]) -> None:
        """Set the source of the configuration version in heartbeats.

        :param version: returns the version in force.
        """
        self._version = version

    def holds_lease(self) -> bool:
        """Return whether the lease is valid; no target is owned without it."""
        return self._lease.is_valid

    @property
    def owned_names(self) -> set[str]:
        """Names of the targets that are owned while the lease is valid."""
        return self._owned

    def owns(self, target: str) -> bool:
        """Return whether this instance may dispatch to a target now.

        :param target: name of the target.
        """
        return target in self._owned and self._lease.is_valid

    def owner_of(self, target: str) -> str | None:
        """Return the instance of this domain that owns a target, if known.

        :param target: name of the target.
        """
        if self.owns(target):
            return self._membership.name
        for peer in self._peers:
            heartbeat = self._membership.last_heartbeat(peer)
            if heartbeat and target in heartbeat.held and self._is_live(peer):
                return peer
        return None

    def owned(self) -> tuple[Target, ...]:
        """Return the targets that this instance may dispatch to now."""
        if not self._lease.is_valid:
            return ()
        return tuple(self._targets[name] for name in sorted(self._owned))

    def release_all(self) -> None:
        """Release every target for a planned stop and stop claiming."""
        self.tick()
        self._membership.leaving = True
        self._claims.clear()
        for name in tuple(self._owned):
            self._release(name)
        self._round_requested.set()

    async def announce_stop(self) -> int:
        """Send heartbeats that announce the planned stop.

        This instance owns its targets until a peer claims them, so that they
        always have an owner. Without the announcement, instances of other
        domains would learn of the stop only with the next heartbeat exchange
        between the domains, and would return this instance in look-ups until
        then.

        :returns: how many instances replied.
        """
        self._membership.leaving = True
        own = self._membership.name
        partners = [
            entry.name for entry in cross_domain_partners(self._topology, own)
        ]
        others = ranked(
            own, (each.name for each in self._topology.entry_instances())
        )
        names = [*self._peers, *partners, *others]
        receivers = [name for name in dict.fromkeys(names) if name != own]
        heartbeat = self._own_heartbeat()
        replies = await asyncio.gather(
            *(
                self._send_heartbeat(name, heartbeat)
                for name in receivers[:MAX_STOP_NOTICES]
            ),
        )
        return sum(reply is not None for reply in replies)

    async def run(self) -> None:
        """Run heartbeat rounds and ticks until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_rounds())
            tasks.create_task(self._run_ticks())

    async def run_partner_heartbeats(self) -> None:
        """Exchange heartbeats with the partners in other domains in turn."""
        partners = cross_domain_partners(self._topology, self._membership.name)
        while partners:
            for partner in partners:
                await self._send_heartbeat(partner.name, self._own_heartbeat())
                await asyncio.sleep(PARTNER_INTERVAL_S)

    def tick(self) -> None:
        """Update the run time; drop all targets if the lease has ended."""
        self._lease.update_run_time()
        if not self._lease.is_valid:
            self._clear_targets()

    async def run_round(self) -> bool:
        """Send one heartbeat to each peer and evaluate the replies.

        :returns: whether the lease was renewed.
        """
        self.tick()
        self._assign_targets()
        self._round += 1
        self._lease.begin_round()
        started_at = self._clock.now()
        heartbeat = self._own_heartbeat()
        replies = await asyncio.gather(
            *(self._send_heartbeat(peer, heartbeat) for peer in self._peers),
        )
        self.tick()
        received: dict[str, HeartbeatReply] = {
            peer: reply
            for peer, reply in zip(self._peers, replies, strict=True)
            if reply is not None
        }
        succeeded = self._lease.renew(started_at, frozenset(received))
        self._drop_denied(received.values())
        if succeeded:
            self._confirm_claims(heartbeat.claims, received)
        return succeeded

    async def _run_rounds(self) -> None:
        while True:
            due_at = self._clock.now() + ROUND_INTERVAL_S
            if not await self.run_round():
                due_at -= ROUND_INTERVAL_S - RETRY_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(due_at - self._clock.now()):
                    await self._round_requested.wait()
            self._round_requested.clear()

    async def _run_ticks(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    async def _send_heartbeat(
        self, peer: str, heartbeat: Heartbeat
    ) -> HeartbeatReply | None:
        result = await self._transport.call(peer, heartbeat, CALL_TIMEOUT_S)
        reply = result.value_or(None) if isinstance(result, Success) else None
        if not isinstance(reply, HeartbeatReply):
            return None
        self._membership.record_heartbeat(peer, reply.state)
        self._membership.record_peer_summaries(reply.peer_summaries)
        return reply

    async def _on_heartbeat(self, sender: str, msg: Message) -> Message:
        if not isinstance(msg, Heartbeat):
            return ErrorReply(reason='not a heartbeat')
        self.tick()
        self._membership.record_heartbeat(sender, msg)
        if msg.leaving and msg.held and sender in self._peers:
            self._round_requested.set()
        if sender not in self._peers:
            return HeartbeatReply(
                state=self._own_heartbeat(),
                peer_summaries=self._membership.peer_summaries(),
            )
        denied = [name for name in msg.held if name in self._owned]
        handovers: dict[str, Handover] = {}
        for name in msg.held:
            self._claims.pop(name, None)
        for name in msg.claims:
            if self._denies(name, sender):
                denied.append(name)
            else:
                self._grant_claim(name, msg.incarnation, handovers)
        return HeartbeatReply(
            state=self._own_heartbeat(),
            denied=tuple(denied),
            handovers=handovers,
        )

    def _denies(self, name: str, claimant: str) -> bool:
        if name in self._owned and self._membership.leaving:
            self._release(name)
        if name in self._owned:
            return True
        return name in self._claims and (
            score(name, self._membership.name) > score(name, claimant)
        )

    def _grant_claim(
        self,
        name: str,
        claimant: str,
        handovers: dict[str, Handover],
    ) -> None:
        """Release an own claim and report what still runs at a target.

        :param name: name of the target.
        :param claimant: incarnation of the peer that claims it.
        :param handovers: gets the hand-over of the target.
        """
        self._claims.pop(name, None)
        released = self._released.get(name)
        if released is None:
            return
        if released.granted_to not in {'', claimant}:
            # Another peer may have owned the target since the release, so
            # requests of that peer may still run there too.
            self._released.pop(name)
            return
        released.granted_to = claimant
        handovers[name] = self._slots.handover_state(name)

    def _assign_targets(self) -> None:
        """Release and claim targets by rendezvous hashing over live peers."""
        if not self._lease.is_valid or self._membership.leaving:
            return
        own = self._membership.name
        candidates = [peer for peer in self._peers if self._is_candidate(peer)]
        owned_by_peers = self._owned_by_peers()
        for name in self._targets:
            is_assigned = highest_ranked(name, (own, *candidates)) == own
            if name in self._owned and not is_assigned:
                self._release(name)
            elif not is_assigned or name in owned_by_peers:
                self._claims.pop(name, None)
            elif name not in self._owned:
                self._claims.setdefault(name, self._round + 1)

    def _confirm_claims(
        self,
        claims: tuple[str, ...],
        replies: dict[str, HeartbeatReply],
    ) -> None:
        missing = set(self._peers) - set(replies)
        if not all(self._lease.is_silent(peer, TAKEOVER_S) for peer in missing):
            return
        for name in claims:
            # A claim that was dropped during the round is not confirmed,
            # even if it was made again before the round ended.
            if self._claims.get(name, self._round + 1) <= self._round:
                self._start_owning(name, replies.values())

    def _start_owning(
        self, name: str, replies: Iterable[HeartbeatReply]
    ) -> None:
        target = self._targets[name]
        service = self._topology.service(target.service)
        deadline_s = service.longest_deadline_s if service else 0
        handover = Handover(target.slots, deadline_s + DEADLINE_MARGIN_S)
        released = self._released.pop(name, None)
        if released is not None and not released.granted_to:
            # Released here and claimed by no peer: the slot table still
            # counts what this instance has running.
            handover = Handover(0, 0)
        for reply in replies:
            handover = reply.handovers.get(name, handover)
        # The quarantine comes first: the rounds go on after an error in it.
        self._slots.take_over(name, handover)
        self._claims.pop(name)
        self._owned.add(name)
        _log.info(
            'Took over target {}; {} slots are quarantined for {:.1f} s.',
            name,
            handover.running,
            handover.remaining_s,
        )

    def _drop_denied(self, replies: Iterable[HeartbeatReply]) -> None:
        for reply in replies:
            for name in reply.denied:
                self._claims.pop(name, None)
                if name in self._owned:
                    # Only possible if the domain was partitioned.
                    _log.error(
                        'Target {} also has another owner; gave it up.', name
                    )
                    self._owned.discard(name)

    def _release(self, name: str) -> None:
        self._owned.discard(name)
        self._released[name] = _ReleasedTarget()
        _log.info('Released target {}.', name)

    def _clear_targets(self) -> None:
        if self._owned:
            _log.warning(
                'The lease has ended; gave up {} targets.', len(self._owned)
            )
        self._owned.clear()
        self._claims.clear()
        self._released.clear()

    def _is_live(self, peer: str) -> bool:
        heartbeat_at = self._membership.last_heartbeat_at(peer)
        return heartbeat_at is not None and not self._lease.is_silent(
            peer,
            TAKEOVER_S,
        )

    def _is_candidate(self, peer: str) -> bool:
        heartbeat = self._membership.last_heartbeat(peer)
        if heartbeat is None or heartbeat.leaving or not heartbeat.ready:
            return False
        return self._is_live(peer)

    def _owned_by_peers(self) -> set[str]:
        owned: set[str] = set()
        for peer in self._peers:
            heartbeat = self._membership.last_heartbeat(peer)
            # The targets of a leaving peer stay its own until another
            # instance claims them, so they may be claimed.
            keeps_targets = heartbeat is not None and not heartbeat.leaving
            if heartbeat is not None and keeps_targets and self._is_live(peer):
                owned.update(heartbeat.held)
        return owned

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            incarnation=self._membership.incarnation,
            epoch=self._epoch(),
            leaving=self._membership.leaving,
            ready=self._lease.is_valid,
            version=self._version(),
            services=self._slots.slots_by_service(),
            held=tuple(sorted(self._owned)),
            claims=tuple(sorted(self._claims)),
            leaving_targets=self._membership.own_leaving_targets,
        )

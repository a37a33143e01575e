"""Which instance of a cell may dispatch to which target."""

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
#: A failed round is repeated at once: five attempts fit into the time
#: after which a silent peer is taken for crashed.
RETRY_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 0.3
TICK_S = 0.1
#: Bound on the messages that announce a planned stop.
ANNOUNCE_MAX = 32

_log = logger('ownership')


class _Released(msgspec.Struct):
    """A target that was released, and who was told what still ran."""

    given_to: str = ''


class Ownership:
    """Runs the lease rounds and decides on claims of the cell's targets.

    A target is held only after one round in which every peer responded
    without denying the claim, or was silent for ``TAKEOVER_S``. Unless a
    peer (or this instance) released it and says what still runs there,
    all its slots stay unused for the longest deadline.

    :param topology: the deployment.
    :param membership: what is known about peers.
    :param transport: carries heartbeats.
    :param clock: time source.
    :param load: the slot table.
    :param epoch: returns the current epoch of the key tickets.
    """

    def __init__(
        self,
        topology: Topology,
        membership: Membership,
        transport: Transport,
        clock: Clock,
        load: SlotHandover,
        epoch: Callable[[], int] = int,
    ) -> None:
        self._topology = topology
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._load = load
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
        self._held: set[str] = set()
        # The round in which each claim was made first.
        self._claims: dict[str, int] = {}
        self._released: dict[str, _Released] = {}
        self._round = 0
        self._version: Callable[[], int] = int
        self._hurry = asyncio.Event()
        transport.add_handler(Heartbeat, self._on_heartbeat)

    @property
    def is_handed_over(self) -> bool:
        """Whether peers have taken note of every released target."""
        peers = any(self._is_live(peer) for peer in self._peers)
        return not self._held and not (
            peers and any(not rel.given_to for rel in self._released.values())
        )

    def set_version_source(self, version: Callable[[], int]) -> None:
        """Put the version in force into heartbeats.

        :param version: returns the version.
        """
        self._version = version

    def holds_lease(self) -> bool:
        """Tell whether this instance may dispatch at all."""
        return self._lease.is_valid

    @property
    def held(self) -> set[str]:
        """Targets that are owned while the lease is valid."""
        return self._held

    def owns(self, target: str) -> bool:
        """Tell whether this instance may dispatch to a target now.

        :param target: name of the target.
        """
        return target in self._held and self._lease.is_valid

    def owner_of(self, target: str) -> str | None:
        """Return the instance of this cell that owns a target, if known.

        :param target: name of the target.
        """
        if self.owns(target):
            return self._membership.name
        for peer in self._peers:
            state = self._membership.last_heartbeat(peer)
            if state and target in state.held and self._is_live(peer):
                return peer
        return None

    def owned(self) -> tuple[Target, ...]:
        """Return the targets that this instance may dispatch to now."""
        if not self._lease.is_valid:
            return ()
        return tuple(self._targets[name] for name in sorted(self._held))

    def release_all(self) -> None:
        """Release every target for a planned stop; claim none again."""
        self.tick()
        self._membership.leaving = True
        self._claims.clear()
        for name in tuple(self._held):
            self._release(name)
        self._hurry.set()

    async def announce_stop(self) -> int:
        """Tell other instances of the stop.

        The targets stay here until a peer claims them, so that there is
        no time at which nobody serves them. Without the notice far instances
        would learn of the stop only when they exchange state with this
        cell, and name it in look-ups meanwhile.

        :returns: how many instances took note.
        """
        self._membership.leaving = True
        own = self._membership.name
        near = [
            entry.name for entry in cross_domain_partners(self._topology, own)
        ]
        others = ranked(
            own, (each.name for each in self._topology.entry_instances())
        )
        names = [*self._peers, *near, *others]
        chosen = [name for name in dict.fromkeys(names) if name != own]
        state = self._state()
        replies = await asyncio.gather(
            *(self._beat(name, state) for name in chosen[:ANNOUNCE_MAX]),
        )
        return sum(reply is not None for reply in replies)

    async def run(self) -> None:
        """Run rounds until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_rounds())
            tasks.create_task(self._run_ticks())

    async def run_partner_heartbeats(self) -> None:
        """Exchange state with one partner in another domain at a time."""
        partners = cross_domain_partners(self._topology, self._membership.name)
        while partners:
            for partner in partners:
                await self._beat(partner.name, self._state())
                await asyncio.sleep(PARTNER_INTERVAL_S)

    def tick(self) -> None:
        """Note that the process runs; give up targets with the lease."""
        self._lease.wake()
        if not self._lease.is_valid:
            self._lapse()

    async def run_round(self) -> bool:
        """Send one heartbeat to each peer and judge the replies."""
        self.tick()
        self._settle()
        self._round += 1
        self._lease.begin_round()
        started_at = self._clock.now()
        state = self._state()
        replies = await asyncio.gather(
            *(self._beat(peer, state) for peer in self._peers),
        )
        self.tick()
        found: dict[str, HeartbeatReply] = {
            peer: reply
            for peer, reply in zip(self._peers, replies, strict=True)
            if reply is not None
        }
        succeeded = self._lease.renew(started_at, frozenset(found))
        self._drop_denied(found.values())
        if succeeded:
            self._win(state.claims, found)
        return succeeded

    async def _run_rounds(self) -> None:
        while True:
            due_at = self._clock.now() + ROUND_INTERVAL_S
            if not await self.run_round():
                due_at -= ROUND_INTERVAL_S - RETRY_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(due_at - self._clock.now()):
                    await self._hurry.wait()
            self._hurry.clear()

    async def _run_ticks(self) -> None:
        while True:
            self.tick()
            await asyncio.sleep(TICK_S)

    async def _beat(self, peer: str, state: Heartbeat) -> HeartbeatReply | None:
        result = await self._transport.call(peer, state, CALL_TIMEOUT_S)
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
            self._hurry.set()
        if sender not in self._peers:
            return HeartbeatReply(
                state=self._state(),
                peer_summaries=self._membership.peer_summaries(),
            )
        denied = [name for name in msg.held if name in self._held]
        handovers: dict[str, Handover] = {}
        for name in msg.held:
            self._claims.pop(name, None)
        for name in msg.claims:
            if self._denies(name, sender):
                denied.append(name)
            else:
                self._grant(name, msg.incarnation, handovers)
        return HeartbeatReply(
            state=self._state(),
            denied=tuple(denied),
            handovers=handovers,
        )

    def _denies(self, name: str, claimer: str) -> bool:
        if name in self._held and self._membership.leaving:
            self._release(name)
        if name in self._held:
            return True
        return name in self._claims and (
            score(name, self._membership.name) > score(name, claimer)
        )

    def _grant(
        self,
        name: str,
        claimer: str,
        handovers: dict[str, Handover],
    ) -> None:
        self._claims.pop(name, None)
        released = self._released.get(name)
        if released is None:
            return
        if released.given_to not in {'', claimer}:
            # Somebody else may have owned it since; what this instance
            # left running is not all that may still run.
            self._released.pop(name)
            return
        released.given_to = claimer
        handovers[name] = self._load.handover_state(name)

    def _settle(self) -> None:
        """Release and claim targets by rendezvous over live instances."""
        if not self._lease.is_valid or self._membership.leaving:
            return
        own = self._membership.name
        live = [peer for peer in self._peers if self._is_candidate(peer)]
        taken = self._held_by_peers()
        for name in self._targets:
            wanted = highest_ranked(name, (own, *live)) == own
            if name in self._held and not wanted:
                self._release(name)
            elif not wanted or name in taken:
                self._claims.pop(name, None)
            elif name not in self._held:
                self._claims.setdefault(name, self._round + 1)

    def _win(
        self,
        claims: tuple[str, ...],
        replies: dict[str, HeartbeatReply],
    ) -> None:
        missing = set(self._peers) - set(replies)
        if not all(self._lease.is_silent(peer, TAKEOVER_S) for peer in missing):
            return
        for name in claims:
            # A claim that was dropped during the round does not count,
            # even if it was made again since.
            if self._claims.get(name, self._round + 1) <= self._round:
                self._gain(name, replies.values())

    def _gain(self, name: str, replies: Iterable[HeartbeatReply]) -> None:
        target = self._targets[name]
        service = self._topology.service(target.service)
        deadline_s = service.longest_deadline_s if service else 0
        handover = Handover(target.slots, deadline_s + DEADLINE_MARGIN_S)
        own = self._released.pop(name, None)
        if own is not None and not own.given_to:
            handover = Handover(0, 0)
        for reply in replies:
            handover = reply.handovers.get(name, handover)
        self._claims.pop(name)
        self._held.add(name)
        self._load.take_over(name, handover)
        _log.info(
            'Owns {}; {} slots stay unused for {:.1f} s.',
            name,
            handover.running,
            handover.remaining_s,
        )

    def _drop_denied(self, replies: Iterable[HeartbeatReply]) -> None:
        for reply in replies:
            for name in reply.denied:
                self._claims.pop(name, None)
                if name in self._held:
                    # Only possible if the cell was partitioned.
                    _log.error('Another instance owns {} too.', name)
                    self._held.discard(name)

    def _release(self, name: str) -> None:
        self._held.discard(name)
        self._released[name] = _Released()
        _log.info('Released {}.', name)

    def _lapse(self) -> None:
        if self._held:
            _log.warning(
                'The lease ended; gave up {} targets.', len(self._held)
            )
        self._held.clear()
        self._claims.clear()
        self._released.clear()

    def _is_live(self, peer: str) -> bool:
        heard_at = self._membership.last_heartbeat_at(peer)
        return heard_at is not None and not self._lease.is_silent(
            peer,
            TAKEOVER_S,
        )

    def _is_candidate(self, peer: str) -> bool:
        state = self._membership.last_heartbeat(peer)
        if state is None or state.leaving or not state.ready:
            return False
        return self._is_live(peer)

    def _held_by_peers(self) -> set[str]:
        taken: set[str] = set()
        for peer in self._peers:
            state = self._membership.last_heartbeat(peer)
            # A peer that leaves keeps its targets until they are claimed.
            is_owner = state is not None and not state.leaving
            if state is not None and is_owner and self._is_live(peer):
                taken.update(state.held)
        return taken

    def _state(self) -> Heartbeat:
        return Heartbeat(
            incarnation=self._membership.incarnation,
            epoch=self._epoch(),
            leaving=self._membership.leaving,
            ready=self._lease.is_valid,
            version=self._version(),
            services=self._load.slots_by_service(),
            held=tuple(sorted(self._held)),
            claims=tuple(sorted(self._claims)),
            leaving_targets=self._membership.own_signals,
        )

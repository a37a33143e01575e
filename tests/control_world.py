"""Control replicas on virtual time with fake disks and a fake network."""

import asyncio
import bisect
import contextvars
import random
from collections.abc import Coroutine
from typing import Any

from returns.result import Failure, Result, Success

from cuminhoist.codec import Codec, Message, ReceivedMessage
from cuminhoist.config_model import (
    Accepted,
    Change,
    ChangeOutcome,
    Drain,
    Unavailable,
)
from cuminhoist.consensus import LogReplica
from cuminhoist.consensus_messages import (
    LogEntry,
    Member,
    VoteReply,
    VoteRequest,
)
from cuminhoist.exceptions import TransportError
from cuminhoist.replica_context import ReplicaOptions, ReplicaTimings
from cuminhoist.transport import Transport
from cuminhoist.types import DrainScope

from . import builders
from .control_fakes import (
    FakeDisk,
    LoopClock,
    Network,
    VirtualLoop,
    current_node,
)

COMPACT_ENTRIES = 12


class FakeTransport(Transport):
    """Calls other replicas through a fake network."""

    def __init__(self, world: 'World', node: 'Node') -> None:
        super().__init__()
        self._world = world
        self._node = node
        self._codec = Codec('key', node.name)

    async def call(
        self, peer: str, msg: Message, timeout_s: float
    ) -> Result[Message, TransportError]:
        await self._node.gate.wait()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(peer, msg)
        except TimeoutError:
            reply = None
        await self._node.gate.wait()
        if reply is None:
            return Failure(TransportError(peer, 'timeout'))
        return self._codec.decode(self._codec.encode(reply)).map(
            lambda received: received.message
        )

    async def _exchange(self, peer: str, msg: Message) -> Message | None:
        world = self._world
        await world.network.carry(self._node.name, peer)
        target = world.nodes[peer]
        received = self._codec.decode(self._codec.encode(msg)).unwrap()
        if world.network.rng.random() < world.network.duplicates:
            target.run(self._late_copy(target, received))
        if not target.alive:
            return None
        handling = target.run(target.receive(received))
        # A crash of the receiver ends the handler, not the caller.
        await asyncio.wait((handling,))
        if handling.cancelled():
            return await asyncio.Future()
        reply: Message = handling.result()
        world.check_vote(msg, reply)
        await world.network.carry(peer, self._node.name)
        return reply

    async def _late_copy(
        self, target: 'Node', received: ReceivedMessage
    ) -> None:
        await asyncio.sleep(self._world.network.rng.uniform(0, 3))
        if target.alive:
            await target.receive(received)


class Node:
    """One control instance that can crash and pause."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        self.tasks: set[asyncio.Task[Any]] = set()
        self.disk = FakeDisk(world.rng)
        self.gate = asyncio.Event()
        self.alive = False
        self.replica: LogReplica
        self.transport: FakeTransport
        self._context = contextvars.copy_context()
        self._context.run(current_node.set, self)

    def run(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a task that ends when this node crashes."""
        return self.world.loop.create_task(coro, context=self._context)

    def start(self) -> None:
        self.alive = True
        self.gate = asyncio.Event()
        self.gate.set()
        self.transport = FakeTransport(self.world, self)
        self.replica = LogReplica.from_config(
            self.name,
            self.world.names,
            self.transport,
            LoopClock(self.world.loop),
            self.disk,
            self.world.rng.getrandbits(32),
            self.world.options,
        )
        self.run(self.replica.start())

    def crash(self) -> None:
        self.alive = False
        self.disk.crash()
        for task in tuple(self.tasks):
            task.cancel()
        self.world.advance(0)

    def lose_disk(self) -> None:
        self.crash()
        self.disk = FakeDisk(self.world.rng)

    async def receive(self, received: ReceivedMessage) -> Message:
        await self.gate.wait()
        reply = await self.transport.handle(received)
        await self.gate.wait()
        return reply

    @property
    def core(self) -> Any:
        return self.replica._core

    @property
    def ready(self) -> bool:
        return self.alive and self.core.files is not None


class World:
    """A few replicas and what must hold for them at any time."""

    def __init__(self, count: int = 3, seed: int = 0) -> None:
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.network = Network(self.rng)
        self.names = tuple(f'c{number}' for number in range(count))
        self.options = ReplicaOptions(
            timings=ReplicaTimings(
                heartbeat_s=0.25,
                election_min_s=1,
                election_max_s=2,
                lease_s=0.9,
                compact_after_entries=COMPACT_ENTRIES,
            ),
        )
        self.nodes = {name: Node(self, name) for name in self.names}
        self.changes: dict[str, Change] = {}
        self.decided: dict[str, ChangeOutcome] = {}
        self.accepted: list[tuple[float, int]] = []
        self.loaded = False
        self.faults: list[str] = []
        #: Newest version among the first acceptances, by their number.
        self._newest = [0]
        self._checked: dict[Any, int] = {}
        self._winners: dict[tuple[str, int], str] = {}
        self._entries: dict[int, LogEntry] = {}
        self._leaders: dict[int, Member] = {}
        self._votes: dict[tuple[Member, int], Member] = {}
        self._members: set[Member] = set()
        self._held: dict[Member, int] = {}

    def boot(self) -> None:
        """Start all, initialise the first one and wait for the others."""
        for node in self.nodes.values():
            node.start()
        self.advance(0.2)
        first = self.nodes[self.names[0]]
        assert isinstance(
            self.wait(first.run(first.replica.bootstrap_cluster())), Success
        )
        for _ in range(60):
            self.advance(0.5)
            if self.complete():
                return
        raise AssertionError(f'not all joined: {self.voters()}')

    def voters(self) -> set[Member]:
        leader = self.leader()
        return set(leader.core.membership.voters) if leader else set()

    def complete(self) -> bool:
        """Tell whether all replicas vote with the disks they have."""
        live = [node.core.own for node in self.nodes.values() if node.ready]
        return self.voters() == set(live) and len(live) == len(self.names)

    def leader(self) -> Node | None:
        leading = [
            node
            for node in self.nodes.values()
            if node.ready and node.replica.status().role == 'leader'
        ]
        return max(leading, key=lambda node: node.core.term, default=None)

    def wait(self, awaitable: Any) -> Any:
        return self.loop.run_until_complete(awaitable)

    def advance(self, seconds: float) -> None:
        """Let time pass, and check everything on the way."""
        end = self.loop.time() + seconds
        while True:
            step = min(0.2, max(0, end - self.loop.time()))
            self.wait(asyncio.sleep(step))
            self.check()
            if self.loaded:
                self.load()
            if self.loop.time() >= end - 1e-6:
                return

    def submit(self, name: str, change: Change) -> asyncio.Task[Any]:
        self.changes[change.change_id] = change
        node = self.nodes[name]
        if not node.ready:
            return node.run(asyncio.sleep(0))
        return node.run(self._submit(node, change))

    def load(self) -> None:
        """Submit or resend a change, sometimes with a rival."""
        node = self.nodes[self.rng.choice(self.names)]
        leader = self.leader()
        if leader is not None and self.rng.random() < 0.5:
            node = leader
        if not node.ready:
            return
        if self.changes and self.rng.random() < 0.3:
            known = self.changes[self.rng.choice(list(self.changes))]
            self.submit(node.name, known)
            return
        base = node.core.state.config.plans_version
        number = len(self.changes)
        change = builders.plans_change(f'plans-{number}', base, number + 1)
        if self.rng.random() < 0.3:
            drain = Drain(scope=DrainScope.upstream, name=f'u{number % 5}')
            change = Change.from_drain(f'drain-{number}', drain)
        self.submit(node.name, change)
        if self.rng.random() < 0.3:
            rival = builders.plans_change(f'rival-{number}', base, number + 2)
            self.submit(self.rng.choice(self.names), rival)

    def decide(self, name: str, change: Change) -> ChangeOutcome:
        """Submit a change and wait for the answer."""
        outcome: ChangeOutcome = self.wait(self.submit(name, change))
        return outcome

    async def _submit(self, node: Node, change: Change) -> ChangeOutcome:
        outcome = await node.replica.submit(change)
        await node.gate.wait()
        if not isinstance(outcome, Unavailable):
            first = self.decided.setdefault(change.change_id, outcome)
            self.expect(first == outcome, f'answers {first}, then {outcome}')
            self._check_winner(change, outcome)
        if isinstance(outcome, Accepted):
            self.accepted.append((self.loop.time(), outcome.version))
            self._newest.append(max(self._newest[-1], outcome.version))
        return outcome

    def isolate(self, name: str) -> None:
        for other in self.names:
            self.network.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.network.cut.clear()
        self.network.loss = 0
        self.network.duplicates = 0
        self.network.delay_s = 0.01

    def recover(self) -> None:
        """End all faults and start every replica."""
        self.heal()
        for node in self.nodes.values():
            node.disk.full = False
            node.gate.set()
            if not node.alive:
                node.start()

    def can_recover(self, lost: Node | None = None) -> bool:
        """Tell whether each known majority still has its disks."""
        live = {
            node.core.own
            for node in self.nodes.values()
            if node.ready and node is not lost
        }
        known = [
            node.core.membership
            for node in self.nodes.values()
            if node.ready and node.core.membership.voters
        ]
        return bool(known) and all(
            len(live & set(found.voters)) >= found.majority for found in known
        )

    def close(self) -> None:
        for node in self.nodes.values():
            if node.alive:
                node.crash()
        self.wait(asyncio.sleep(0))
        pending = asyncio.all_tasks(self.loop)
        for task in pending:
            task.cancel()
        if pending:
            self.wait(asyncio.wait(pending))
        self.loop.close()

    def expect(self, holds: bool, text: str) -> None:
        if not holds:
            self.faults.append(text)

    def check(self) -> None:
        """Check what must hold at any time."""
        for node in self.nodes.values():
            if node.ready:
                self._check_node(node)
        assert not self.faults, self.faults

    def _check_winner(self, change: Change, outcome: ChangeOutcome) -> None:
        if change.plans is None or not isinstance(outcome, Accepted):
            return
        base = ('plans', change.base_version)
        winner = self._winners.setdefault(base, change.change_id)
        self.expect(winner == change.change_id, f'two winners of {base}')

    def _check_node(self, node: Node) -> None:
        core = node.core
        fault = core.fault
        self.expect(not fault or 'no space' in fault, f'{node.name}: {fault}')
        for entry in core.log.entries(
            core.log.base.index + 1, core.commit_index
        ):
            first = self._entries.setdefault(entry.index, entry)
            self.expect(first == entry, f'{first} was replaced by {entry}')
        if core.leading:
            first_leader = self._leaders.setdefault(core.term, core.own)
            self.expect(first_leader == core.own, 'two leaders in one term')
        self._note_members(node)
        self._check_age(node)

    def _check_age(self, node: Node) -> None:
        age_s = node.replica.confirmed_age_s()
        if age_s is None:
            return
        confirmed_at = self.loop.time() - age_s
        config = node.replica.committed_config()
        assert config is not None
        before = bisect.bisect_left(self.accepted, (confirmed_at - 1e-6, 0))
        version = self._newest[before]
        self.expect(
            config.version >= version,
            f'{node.name} confirms {config.version} at {confirmed_at},'
            f' but {version} was accepted before',
        )

    def _note_members(self, node: Node) -> None:
        known = set(node.core.membership.voters)
        newest = max(self._entries, default=0)
        for other in self.nodes.values():
            if other.ready and other.core.own not in self._members | known:
                self._held[other.core.own] = newest
        self._members |= known

    def check_vote(self, req: Message, reply: Message) -> None:
        """Check a vote when it is given."""
        if not isinstance(req, VoteRequest):
            return
        if not isinstance(reply, VoteReply) or not reply.granted:
            return
        voter = reply.voter
        if not req.pre_vote:
            first = self._votes.setdefault((voter, req.term), req.candidate)
            self.expect(first == req.candidate, f'{voter} voted twice')
        self.expect(
            voter in self._members | set(req.membership.voters),
            f'{voter} voted before it was added',
        )
        core = self.nodes[voter.name].core
        if self.nodes[voter.name].ready and core.own == voter:
            held = self._held.get(voter, 0)
            self.expect(core.log.last.index >= held, f'{voter} lacks state')

"""Control replicas on virtual time with fake disks and a fake network.

The world checks the invariants of the log while time advances: no committed
entry is replaced, a term has one leader, a voter votes once in a term.
"""

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
    """Sends calls to other replicas through the fake network."""

    def __init__(self, world: 'World', node: 'Node') -> None:
        super().__init__()
        self._world = world
        self._node = node
        self._codec = Codec('key', node.name)

    async def call(
        self, peer: str, msg: Message, timeout_s: float
    ) -> Result[Message, TransportError]:
        await self._node.not_paused.wait()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(peer, msg)
        except TimeoutError:
            reply = None
        await self._node.not_paused.wait()
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
        # A crash of the receiver cancels the handler, but not the caller.
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
    """A control instance that can crash and pause."""

    def __init__(self, world: 'World', name: str) -> None:
        self.world = world
        self.name = name
        #: Tasks in the order of their start. The order of a set would make
        #: the cancellations of a crash differ from run to run.
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.disk = FakeDisk(world.rng)
        self.not_paused = asyncio.Event()
        self.alive = False
        self.replica: LogReplica
        self.transport: FakeTransport
        self._context = contextvars.copy_context()
        self._context.run(current_node.set, self)

    def run(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task that is cancelled when this node crashes."""
        return self.world.loop.create_task(coro, context=self._context)

    def start(self) -> None:
        self.alive = True
        self.not_paused = asyncio.Event()
        self.not_paused.set()
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
        await self.not_paused.wait()
        reply = await self.transport.handle(received)
        await self.not_paused.wait()
        return reply

    @property
    def ctx(self) -> Any:
        return self.replica._ctx

    @property
    def ready(self) -> bool:
        return self.alive and self.ctx.durable_log is not None


class World:
    """Replicas of one cluster with the invariants to check on them."""

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
        self.load_enabled = False
        self.violations: list[str] = []
        #: Newest version among the first n accepted changes, by n.
        self._newest_versions = [0]
        self._checked: dict[Any, int] = {}
        self._winners: dict[tuple[str, int], str] = {}
        self._entries: dict[int, LogEntry] = {}
        self._leaders: dict[int, Member] = {}
        self._votes: dict[tuple[Member, int], Member] = {}
        self._members: set[Member] = set()
        self._join_index: dict[Member, int] = {}

    def boot(self) -> None:
        """Start all replicas, bootstrap on the first, wait until all vote."""
        for node in self.nodes.values():
            node.start()
        self.advance(0.2)
        first_node = self.nodes[self.names[0]]
        assert isinstance(
            self.wait(first_node.run(first_node.replica.bootstrap_cluster())),
            Success,
        )
        for _ in range(60):
            self.advance(0.5)
            if self.complete():
                return
        raise AssertionError(f'not all joined: {self.voters()}')

    def voters(self) -> set[Member]:
        leader = self.leader()
        return set(leader.ctx.membership.voters) if leader else set()

    def complete(self) -> bool:
        """Tell whether all replicas are voters with their current disks."""
        live = [
            node.ctx.own_member for node in self.nodes.values() if node.ready
        ]
        return self.voters() == set(live) and len(live) == len(self.names)

    def leader(self) -> Node | None:
        leading = [
            node
            for node in self.nodes.values()
            if node.ready and node.replica.status().role == 'leader'
        ]
        return max(leading, key=lambda node: node.ctx.term, default=None)

    def wait(self, awaitable: Any) -> Any:
        return self.loop.run_until_complete(awaitable)

    def advance(self, seconds: float) -> None:
        """Advance the virtual time and check the invariants at each step."""
        end = self.loop.time() + seconds
        while True:
            step = min(0.2, max(0, end - self.loop.time()))
            self.wait(asyncio.sleep(step))
            self.check()
            if self.load_enabled:
                self.submit_load()
            if self.loop.time() >= end - 1e-6:
                return

    def submit(self, name: str, change: Change) -> asyncio.Task[Any]:
        self.changes[change.change_id] = change
        node = self.nodes[name]
        if not node.ready:
            return node.run(asyncio.sleep(0))
        return node.run(self._submit(node, change))

    def submit_load(self) -> None:
        """Submit or retry a change, sometimes with a concurrent one."""
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
        base = node.ctx.state.config.plans_version
        number = len(self.changes)
        change = builders.plans_change(f'plans-{number}', base, number + 1)
        if self.rng.random() < 0.3:
            drain = Drain(scope=DrainScope.upstream, name=f'u{number % 5}')
            change = Change.from_drain(f'drain-{number}', drain)
        self.submit(node.name, change)
        if self.rng.random() < 0.3:
            competing = builders.plans_change(
                f'rival-{number}', base, number + 2
            )
            self.submit(self.rng.choice(self.names), competing)

    def decide(self, name: str, change: Change) -> ChangeOutcome:
        """Submit a change and wait for its outcome."""
        outcome: ChangeOutcome = self.wait(self.submit(name, change))
        return outcome

    async def _submit(self, node: Node, change: Change) -> ChangeOutcome:
        outcome = await node.replica.submit(change)
        await node.not_paused.wait()
        if not isinstance(outcome, Unavailable):
            first_seen = self.decided.setdefault(change.change_id, outcome)
            self.expect(
                first_seen == outcome, f'answers {first_seen}, then {outcome}'
            )
            self._check_winner(change, outcome)
        if isinstance(outcome, Accepted):
            self.accepted.append((self.loop.time(), outcome.version))
            self._newest_versions.append(
                max(self._newest_versions[-1], outcome.version)
            )
        return outcome

    def isolate(self, name: str) -> None:
        for other in self.names:
            self.network.blocked_links |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.network.blocked_links.clear()
        self.network.loss = 0
        self.network.duplicates = 0
        self.network.delay_s = 0.01

    def recover(self) -> None:
        """End all faults and start the crashed replicas."""
        self.heal()
        for node in self.nodes.values():
            node.disk.full = False
            node.not_paused.set()
            if not node.alive:
                node.start()

    def can_recover(self, lost: Node | None = None) -> bool:
        """Tell whether each known voter set still has a quorum of its disks."""
        live = {
            node.ctx.own_member
            for node in self.nodes.values()
            if node.ready and node is not lost
        }
        known = [
            node.ctx.membership
            for node in self.nodes.values()
            if node.ready and node.ctx.membership.voters
        ]
        return bool(known) and all(
            len(live & set(found.voters)) >= found.quorum for found in known
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

    def expect(self, condition: bool, text: str) -> None:
        if not condition:
            self.violations.append(text)

    def check(self) -> None:
        """Check the invariants of all replicas."""
        for node in self.nodes.values():
            if node.ready:
                self._check_node(node)
        assert not self.violations, self.violations

    def _check_winner(self, change: Change, outcome: ChangeOutcome) -> None:
        if change.plans is None or not isinstance(outcome, Accepted):
            return
        base = ('plans', change.base_version)
        winner = self._winners.setdefault(base, change.change_id)
        self.expect(winner == change.change_id, f'two winners of {base}')

    def _check_node(self, node: Node) -> None:
        ctx = node.ctx
        fault = ctx.fault
        self.expect(not fault or 'no space' in fault, f'{node.name}: {fault}')
        for entry in ctx.log.entries(ctx.log.base.index + 1, ctx.commit_index):
            first_seen = self._entries.setdefault(entry.index, entry)
            self.expect(
                first_seen == entry, f'{first_seen} was replaced by {entry}'
            )
        if ctx.leading:
            first_leader = self._leaders.setdefault(ctx.term, ctx.own_member)
            self.expect(
                first_leader == ctx.own_member, 'two leaders in one term'
            )
        self._record_join_indexes(node)
        self._check_age(node)

    def _check_age(self, node: Node) -> None:
        age_s = node.replica.confirmed_age_s()
        if age_s is None:
            return
        confirmed_at = self.loop.time() - age_s
        config = node.replica.committed_config()
        assert config is not None
        accepted_before = bisect.bisect_left(
            self.accepted, (confirmed_at - 1e-6, 0)
        )
        version = self._newest_versions[accepted_before]
        self.expect(
            config.version >= version,
            f'{node.name} confirms {config.version} at {confirmed_at},'
            f' but {version} was accepted before',
        )

    def _record_join_indexes(self, node: Node) -> None:
        known = set(node.ctx.membership.voters)
        last_index = max(self._entries, default=0)
        for other in self.nodes.values():
            if (
                other.ready
                and other.ctx.own_member not in self._members | known
            ):
                self._join_index[other.ctx.own_member] = last_index
        self._members |= known

    def check_vote(self, req: Message, reply: Message) -> None:
        """Check the invariants of a vote when it is granted."""
        if not isinstance(req, VoteRequest):
            return
        if not isinstance(reply, VoteReply) or not reply.granted:
            return
        voter = reply.voter
        if not req.pre_vote:
            first_seen = self._votes.setdefault(
                (voter, req.term), req.candidate
            )
            self.expect(first_seen == req.candidate, f'{voter} voted twice')
        self.expect(
            voter in self._members | set(req.membership.voters),
            f'{voter} voted before it was added',
        )
        ctx = self.nodes[voter.name].ctx
        if self.nodes[voter.name].ready and ctx.own_member == voter:
            join_index = self._join_index.get(voter, 0)
            self.expect(
                ctx.log.last.index >= join_index, f'{voter} lacks state'
            )

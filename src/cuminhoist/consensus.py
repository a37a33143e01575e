"""The control log of one instance, replicated by a majority."""

import asyncio
import random
from collections.abc import Callable
from typing import Any, Self

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock
from .codec import Message
from .config_model import Change, ChangeOutcome, Configuration, Unavailable
from .consensus_messages import (
    AppendRequest,
    InstallRequest,
    JoinReply,
    JoinRequest,
    LogEntry,
    SubmitReply,
    SubmitRequest,
    VoteRequest,
)
from .control_log import ControlLog, ReplicaStatus
from .durable_log import DurableLog
from .election import Election
from .exceptions import InvariantError
from .follower import Follower
from .leader import Leader
from .logging_setup import logger
from .replica_context import ReplicaContext, ReplicaOptions
from .settings import CorruptionPolicy
from .storage import Disk, DiskError, DiskErrorKind
from .transport import ErrorReply, Transport

ID_BITS = 64

_log = logger('control')


class LogReplica(ControlLog):
    """One control replica: durable log, elections and membership.

    :param core: what its parts share.
    :param disk: where the files are.
    :param on_corruption: what to do with damaged files.
    """

    def __init__(
        self,
        core: ReplicaContext,
        disk: Disk,
        on_corruption: CorruptionPolicy,
    ) -> None:
        self._core = core
        self._disk = disk
        self._on_corruption = on_corruption
        self._election = Election(core)
        self._follower = Follower(core)
        self._leadership: Leader | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._initialised = asyncio.Event()

    @classmethod
    def from_config(
        cls,
        name: str,
        declared: tuple[str, ...],
        transport: Transport,
        clock: Clock,
        disk: Disk,
        seed: int | None = None,
        options: ReplicaOptions = ReplicaOptions(),
    ) -> Self:
        """Build a replica.

        :param name: name of the instance.
        :param declared: names of all control instances in the settings.
        :param transport: carries its messages.
        :param clock: source of time.
        :param disk: where its files are.
        :param seed: seed of its random numbers; None for the system's, as
            incarnations must differ between starts.
        :param options: how it behaves.
        """
        rng = random.SystemRandom() if seed is None else random.Random(seed)
        core = ReplicaContext(
            name,
            declared,
            transport,
            clock,
            rng,
            options.timings,
        )
        return cls(core, disk, options.on_corruption)

    async def start(self) -> None:
        """Read the files and take part."""
        core = self._core
        opened = await self._open()
        if isinstance(opened, Failure):
            core.fault = str(opened.failure())
            _log.error('Does not take part: {}.', core.fault)
        else:
            core.attach(opened.unwrap())
            self._tasks.append(core.spawn(self._take_part()))
            self._tasks.append(core.spawn(self._seek_vote()))
        self._register()

    async def stop(self) -> None:
        """Stop after the running disk operation."""
        async with self._core.lock:
            self._core.fault = 'stopped'
            for task in self._tasks:
                task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._core.step_down('stopped')

    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change; an acceptance is durable on a majority.

        :param change: the change.
        """
        core = self._core
        if core.fault:
            return Unavailable(reason=core.fault)
        if core.leading:
            return await self._submit_here(change)
        if not core.leader or core.leader == core.name:
            return Unavailable(reason='no leader is known')
        leader = core.leader
        answer = await core.transport.call(
            leader,
            SubmitRequest(change=change),
            core.timings.submit_timeout_s,
        )
        reply = answer.unwrap() if isinstance(answer, Success) else None
        if isinstance(reply, SubmitReply):
            return reply.outcome
        return Unavailable(reason='the leader did not respond', leader=leader)

    async def bootstrap_cluster(self) -> Result[str, str]:
        """Make this empty replica the first voter of a new cluster.

        :returns: the cluster id, or why it cannot be done.
        """
        core = self._core
        if core.fault:
            return Failure(core.fault)
        async with core.lock:
            vote = core.log.vote
            if core.log.last.index:
                return Failure('this replica already has a cluster')
            # A replica without entries belongs to no cluster yet, also
            # after an attempt that failed between the two writes, so a
            # repetition takes a new cluster id.
            named = msgspec.structs.replace(
                vote,
                cluster_id=self._new_id(),
                term=vote.term + 1,
                voted_for=core.own,
            )
            first = LogEntry(1, named.term, members=(core.own,))
            if not await core.promise(named):
                return Failure('the disk refused')
            if not core.check_disk(await core.log.append((first,))):
                return Failure('the disk refused')
        self._initialised.set()
        return Success(named.cluster_id)

    def committed_config(self) -> Configuration | None:
        """Return the newest committed configuration, if there is one.

        None after a restart until a majority has confirmed it.
        """
        return self._core.committed()

    def confirmed_age_s(self) -> float | None:
        """Return the age of the last proof that it is the current one."""
        core = self._core
        leadership = self._leadership
        if leadership is not None and leadership.active:
            if leadership.established:
                core.confirm(leadership.confirmed_at())
        if core.confirmed_at is None:
            return None
        return core.clock.now() - core.confirmed_at

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called in version order.
        """
        self._core.on_commit(listener)

    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
        core = self._core
        log = core.files
        vote = log.vote if log else None
        return ReplicaStatus(
            name=core.name,
            incarnation=vote.incarnation if vote else '',
            cluster_id=vote.cluster_id if vote else '',
            role=core.role.value,
            term=vote.term if vote else 0,
            leader=core.leader,
            commit_index=core.commit_index,
            version=core.state.config.version,
            voters=tuple(
                voter.name for voter in (log.membership.voters if log else ())
            ),
            fault=core.fault,
        )

    async def _open(self) -> Result[DurableLog, DiskError]:
        opened = await DurableLog.open(self._disk, self._new_id())
        if (
            isinstance(opened, Success)
            or self._on_corruption is not CorruptionPolicy.rejoin
        ):
            return opened
        error = opened.failure()
        if error.kind is not DiskErrorKind.corrupt:
            return opened
        _log.error('Sets its files aside: {}.', error)
        moved = await self._disk.set_aside(f'damaged-{self._new_id()}')
        if isinstance(moved, Failure):
            return moved
        return await DurableLog.open(self._disk, self._new_id())

    def _new_id(self) -> str:
        return f'{self._core.rng.getrandbits(ID_BITS):016x}'

    async def _take_part(self) -> None:
        while True:
            waiting = asyncio.create_task(self._election.wait())
            first = asyncio.create_task(self._initialised.wait())
            await asyncio.wait(
                (waiting, first),
                return_when=asyncio.FIRST_COMPLETED,
            )
            waiting.cancel()
            first.cancel()
            self._initialised.clear()
            if await self._election.campaign():
                self._leadership = Leader(self._core)
                await self._leadership.run()
                self._leadership = None
            self._core.campaigning = False

    async def _seek_vote(self) -> None:
        """Ask for a vote until this replica is a voter."""
        core = self._core
        turn = 0
        hint = ''
        others = [name for name in core.declared if name != core.name]
        while others:
            if core.own not in core.membership.voters:
                # A hint is followed once: it may name a leader that is
                # gone, or this replica before it lost its disk.
                asked = hint if hint in others else others[turn % len(others)]
                turn += 1
                answer = await self._join(asked)
                hint = '' if asked == hint else answer
            await asyncio.sleep(core.timings.join_pause_s)

    async def _join(self, asked: str) -> str:
        core = self._core
        answer = await core.transport.call(
            asked,
            JoinRequest(cluster_id=core.log.vote.cluster_id, replica=core.own),
            core.timings.call_timeout_s,
        )
        reply = answer.unwrap() if isinstance(answer, Success) else None
        return reply.leader if isinstance(reply, JoinReply) else ''

    async def _submit_here(self, change: Change) -> ChangeOutcome:
        core = self._core
        leadership = self._leadership
        if leadership is None or not leadership.has_lease():
            return Unavailable(reason='no majority confirms the leader')
        names = {voter.name for voter in core.membership.voters}
        if 2 * len(names & set(core.declared)) <= len(core.declared):
            return Unavailable(
                reason='the voters are no majority of the control instances',
            )
        first = core.state.first_outcome(change.change_id)
        if first is not None:
            return first
        decided = core.outcome_of(change)
        leadership.submit(change)
        try:
            async with asyncio.timeout(core.timings.submit_timeout_s):
                return await asyncio.shield(decided)
        except TimeoutError:
            return Unavailable(reason='no majority responded in time')

    async def _on_join(self, req: JoinRequest) -> JoinReply:
        core = self._core
        if req.cluster_id not in {'', core.log.vote.cluster_id}:
            return JoinReply(leader='', reason='another cluster')
        if core.leading and self._leadership is not None:
            reason = self._leadership.join(req.replica)
            return JoinReply(leader=core.name, reason=reason)
        return JoinReply(leader=core.leader)

    async def _on_submit(self, req: SubmitRequest) -> SubmitReply:
        if not self._core.leading:
            outcome = Unavailable(
                reason='not the leader',
                leader=self._core.leader,
            )
            return SubmitReply(outcome=outcome)
        return SubmitReply(outcome=await self._submit_here(req.change))

    def _register(self) -> None:
        handlers: tuple[tuple[type[Message], Any], ...] = (
            (VoteRequest, self._election.on_vote),
            (AppendRequest, self._follower.on_append),
            (InstallRequest, self._follower.on_install),
            (JoinRequest, self._on_join),
            (SubmitRequest, self._on_submit),
        )
        for kind, handler in handlers:
            self._core.transport.add_handler(kind, self._guarded(handler))

    def _guarded(self, handler: Any) -> Any:
        async def answer(_sender: str, msg: Message) -> Message:
            if self._core.fault:
                return ErrorReply(reason=self._core.fault)
            try:
                reply: Message = await handler(msg)
            except InvariantError as exc:
                self._core.fail(exc)
                return ErrorReply(reason=self._core.fault)
            return reply

        return answer

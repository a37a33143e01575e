"""The replica of the control log that runs on a control instance.

The log follows Raft, with pre-vote, CheckQuorum, leader leases, snapshots
and changes of one voter at a time. A change of the configuration is
accepted once a quorum of the voters has synced it to disk.
"""

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
    """A Raft replica with its durable log, elections and membership.

    :param ctx: state that the replica shares with its components.
    :param disk: holds the files of the replica.
    :param on_corruption: whether to stop or to rejoin if files are damaged.
    """

    def __init__(
        self,
        ctx: ReplicaContext,
        disk: Disk,
        on_corruption: CorruptionPolicy,
    ) -> None:
        self._ctx = ctx
        self._disk = disk
        self._on_corruption = on_corruption
        self._election = Election(ctx)
        self._follower = Follower(ctx)
        self._leadership: Leader | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._bootstrapped = asyncio.Event()

    @classmethod
    def from_config(
        cls,
        name: str,
        control_names: tuple[str, ...],
        transport: Transport,
        clock: Clock,
        disk: Disk,
        seed: int | None = None,
        options: ReplicaOptions = ReplicaOptions(),
    ) -> Self:
        """Build a replica with its context.

        :param name: name of the instance.
        :param control_names: names of all control instances in the settings.
        :param transport: carries messages between the replicas.
        :param clock: source of time.
        :param disk: holds the files of the replica.
        :param seed: seed of the random numbers; None uses the random source
            of the system, because incarnations must differ between starts.
        :param options: durations and the policy for damaged files.
        """
        rng = random.SystemRandom() if seed is None else random.Random(seed)
        ctx = ReplicaContext(
            name,
            control_names,
            transport,
            clock,
            rng,
            options.timings,
        )
        return cls(ctx, disk, options.on_corruption)

    async def start(self) -> None:
        """Read the files and join the cluster.

        If the files are damaged, the replica reports the fault and stays
        inactive. If the disk fails, it tries again until it succeeds.
        """
        opened = await self._open_log()
        if isinstance(opened, Success):
            self._attach(opened.unwrap())
        else:
            self._report_start_fault(opened.failure())
            if opened.failure().kind is not DiskErrorKind.corrupt:
                self._tasks.append(self._ctx.spawn(self._retry_start()))
        self._register()

    async def stop(self) -> None:
        """Stop once the disk operation in progress has ended."""
        async with self._ctx.lock:
            self._ctx.fault = 'stopped'
            self._ctx.write_failed = False
            for task in self._tasks:
                task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._ctx.step_down('stopped')

    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change; an accepted one is durable on a quorum.

        A follower forwards the change to the leader.

        :param change: the change.
        """
        ctx = self._ctx
        if ctx.fault:
            return Unavailable(reason=ctx.fault)
        if ctx.leading:
            return await self._submit_as_leader(change)
        if not ctx.leader or ctx.leader == ctx.name:
            return Unavailable(reason='no leader is known')
        leader = ctx.leader
        result = await ctx.transport.call(
            leader,
            SubmitRequest(change=change),
            ctx.timings.submit_timeout_s,
        )
        reply = result.unwrap() if isinstance(result, Success) else None
        if isinstance(reply, SubmitReply):
            return reply.outcome
        return Unavailable(
            reason='the leader did not reply in time', leader=leader
        )

    async def bootstrap_cluster(self) -> Result[str, str]:
        """Make this empty replica the first voter of a new cluster.

        :returns: the cluster id, or why the cluster was not created.
        """
        ctx = self._ctx
        if ctx.fault:
            return Failure(ctx.fault)
        async with ctx.lock:
            hard_state = ctx.log.hard_state
            if ctx.log.last.index:
                return Failure('this replica already belongs to a cluster')
            # A replica without entries belongs to no cluster, even if an
            # earlier call failed between the two writes. A retry therefore
            # creates a new cluster id.
            hard_state = msgspec.structs.replace(
                hard_state,
                cluster_id=self._new_id(),
                term=hard_state.term + 1,
                voted_for=ctx.own_member,
            )
            first_entry = LogEntry(
                1, hard_state.term, members=(ctx.own_member,)
            )
            if not await ctx.persist_hard_state(hard_state):
                return Failure('cannot write to disk')
            if not ctx.check_write(await ctx.log.append((first_entry,))):
                return Failure('cannot write to disk')
        self._bootstrapped.set()
        return Success(hard_state.cluster_id)

    def committed_config(self) -> Configuration | None:
        """Return the newest committed configuration, if there is one.

        After a restart it is None until a quorum has confirmed it.
        """
        return self._ctx.committed_config()

    def confirmed_age_s(self) -> float | None:
        """Return the age of the last quorum confirmation, in seconds.

        At that time the committed configuration was the current one. None
        means that no quorum has confirmed it since the start.
        """
        ctx = self._ctx
        leadership = self._leadership
        if leadership is not None and leadership.active:
            if leadership.established:
                ctx.confirm(leadership.confirmed_at())
        if ctx.confirmed_at is None:
            return None
        return ctx.clock.now() - ctx.confirmed_at

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called with the configurations in version order.
        """
        self._ctx.on_commit(listener)

    def status(self) -> ReplicaStatus:
        """Return the role, term and commit index of the replica."""
        ctx = self._ctx
        log = ctx.durable_log
        hard_state = log.hard_state if log else None
        return ReplicaStatus(
            name=ctx.name,
            incarnation=hard_state.incarnation if hard_state else '',
            cluster_id=hard_state.cluster_id if hard_state else '',
            role=ctx.role.value,
            term=hard_state.term if hard_state else 0,
            leader=ctx.leader,
            commit_index=ctx.commit_index,
            version=ctx.state.config.version,
            voters=tuple(
                voter.name for voter in (log.membership.voters if log else ())
            ),
            fault=ctx.fault,
        )

    def _attach(self, log: DurableLog) -> None:
        """Take part in the cluster with a log that was read from disk."""
        ctx = self._ctx
        ctx.attach(log)
        for work in (
            self._run_elections(),
            self._join_until_voter(),
            self._repair_disk(),
        ):
            self._tasks.append(ctx.spawn(work))

    def _report_start_fault(self, error: DiskError) -> None:
        self._ctx.fault = str(error)
        _log.error('Control replica did not start: {}.', error)

    async def _retry_start(self) -> None:
        while True:
            await asyncio.sleep(self._ctx.timings.disk_full_pause_s)
            opened = await self._open_log()
            if isinstance(opened, Success):
                self._attach(opened.unwrap())
                return
            self._report_start_fault(opened.failure())
            if opened.failure().kind is DiskErrorKind.corrupt:
                return

    async def _repair_disk(self) -> None:
        """Use a disk again that failed a write once it takes writes."""
        ctx = self._ctx
        while True:
            await asyncio.sleep(ctx.timings.disk_full_pause_s)
            if ctx.write_failed:
                async with ctx.lock:
                    await ctx.repair()

    async def _open_log(self) -> Result[DurableLog, DiskError]:
        opened = await DurableLog.open(self._disk, self._new_id())
        if (
            isinstance(opened, Success)
            or self._on_corruption is not CorruptionPolicy.rejoin
        ):
            return opened
        error = opened.failure()
        if error.kind is not DiskErrorKind.corrupt:
            return opened
        _log.error('Moving the damaged files to a subfolder: {}.', error)
        moved = await self._disk.move_to_subfolder(f'damaged-{self._new_id()}')
        if isinstance(moved, Failure):
            return moved
        return await DurableLog.open(self._disk, self._new_id())

    def _new_id(self) -> str:
        return f'{self._ctx.rng.getrandbits(ID_BITS):016x}'

    async def _run_elections(self) -> None:
        while True:
            election_timeout = asyncio.create_task(self._election.wait())
            bootstrapped = asyncio.create_task(self._bootstrapped.wait())
            await asyncio.wait(
                (election_timeout, bootstrapped),
                return_when=asyncio.FIRST_COMPLETED,
            )
            election_timeout.cancel()
            bootstrapped.cancel()
            self._bootstrapped.clear()
            if await self._election.campaign():
                self._leadership = Leader(self._ctx)
                await self._leadership.run()
                self._leadership = None
            self._ctx.campaigning = False

    async def _join_until_voter(self) -> None:
        """Send join requests while this replica may not be a voter."""
        ctx = self._ctx
        attempts = 0
        leader_hint = ''
        others = [name for name in ctx.control_names if name != ctx.name]
        while others:
            if self._may_be_no_voter():
                # A leader hint is used once: it may name a leader that has
                # failed, or this replica before it lost its disk.
                peer = (
                    leader_hint
                    if leader_hint in others
                    else others[attempts % len(others)]
                )
                attempts += 1
                named_leader = await self._send_join_request(peer)
                leader_hint = '' if peer == leader_hint else named_leader
            await asyncio.sleep(ctx.timings.join_interval_s)

    def _may_be_no_voter(self) -> bool:
        """Tell whether the leader may not know this replica as a voter.

        The entry that made it a voter can be replaced while it is not
        committed. A later leader without that entry sends no requests to
        this replica, so the silence of all leaders is the only sign of it.
        A leader ignores the join request of a voter.
        """
        ctx = self._ctx
        membership = ctx.membership
        if ctx.own_member not in membership.voters:
            return True
        silent_s = ctx.clock.now() - ctx.leader_contact_at
        return (
            not ctx.leading
            and membership.defined_at.index > ctx.commit_index
            and silent_s > ctx.timings.election_max_s
        )

    async def _send_join_request(self, peer: str) -> str:
        ctx = self._ctx
        result = await ctx.transport.call(
            peer,
            JoinRequest(
                cluster_id=ctx.log.hard_state.cluster_id, replica=ctx.own_member
            ),
            ctx.timings.call_timeout_s,
        )
        reply = result.unwrap() if isinstance(result, Success) else None
        return reply.leader if isinstance(reply, JoinReply) else ''

    async def _submit_as_leader(self, change: Change) -> ChangeOutcome:
        ctx = self._ctx
        leadership = self._leadership
        if leadership is None or not leadership.has_lease():
            return Unavailable(
                reason='no quorum has confirmed the leader within its lease'
            )
        names = {voter.name for voter in ctx.membership.voters}
        if 2 * len(names & set(ctx.control_names)) <= len(ctx.control_names):
            return Unavailable(
                reason='the voters are not a majority of the control instances',
            )
        previous = ctx.state.first_outcome(change.change_id)
        if previous is not None:
            return previous
        outcome = ctx.outcome_future(change)
        leadership.submit(change)
        try:
            async with asyncio.timeout(ctx.timings.submit_timeout_s):
                return await asyncio.shield(outcome)
        except TimeoutError:
            return Unavailable(reason='no quorum replied in time')

    async def _on_join(self, req: JoinRequest) -> JoinReply:
        ctx = self._ctx
        if req.cluster_id not in {'', ctx.log.hard_state.cluster_id}:
            return JoinReply(
                leader='', reason='the replica belongs to another cluster'
            )
        if ctx.leading and self._leadership is not None:
            reason = self._leadership.join(req.replica)
            return JoinReply(leader=ctx.name, reason=reason)
        return JoinReply(leader=ctx.leader)

    async def _on_submit(self, req: SubmitRequest) -> SubmitReply:
        if not self._ctx.leading:
            outcome = Unavailable(
                reason='this replica is not the leader',
                leader=self._ctx.leader,
            )
            return SubmitReply(outcome=outcome)
        return SubmitReply(outcome=await self._submit_as_leader(req.change))

    def _register(self) -> None:
        handlers: tuple[tuple[type[Message], Any], ...] = (
            (VoteRequest, self._election.on_vote),
            (AppendRequest, self._follower.on_append),
            (InstallRequest, self._follower.on_install),
            (JoinRequest, self._on_join),
            (SubmitRequest, self._on_submit),
        )
        for message_type, handler in handlers:
            self._ctx.transport.add_handler(
                message_type, self._guard_handler(handler)
            )

    def _guard_handler(self, handler: Any) -> Any:
        async def handle(_sender: str, msg: Message) -> Message:
            if self._ctx.fault:
                return ErrorReply(reason=self._ctx.fault)
            try:
                reply: Message = await handler(msg)
            except InvariantError as exc:
                self._ctx.fail(exc)
                return ErrorReply(reason=self._ctx.fault)
            return reply

        return handle

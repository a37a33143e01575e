"""The leader of a term: replicates entries and changes the voters."""

import asyncio
import contextlib
import math
from typing import Self

import msgspec
from returns.result import Result, Success

from .codec import Message
from .config_model import Change
from .consensus_messages import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    LogEntry,
    Member,
)
from .exceptions import TransportError
from .logging_setup import logger
from .replica_context import ReplicaContext

#: A learner that was silent for this long is dropped; it can join again.
LEARNER_SILENT_S = 10
#: Limit of entries in a request, so that a follower catches up with
#: hundreds of missed changes in one round trip.
MAX_BATCH_ENTRIES = 2000
MAX_BATCH_BYTES = 8 * 1024 * 1024

_log = logger('control')


class FollowerProgress:
    """What the leader knows about the log of another replica.

    ``match_index`` is the last entry known to be synced there, -1 if unknown;
    ``acked_at`` is the time at which the last accepted request was sent;
    ``reply_token`` is the token of the last reply, which the next request
    returns.

    :param member: the other replica.
    :param next_index: index of the next entry to send.
    :param now: current time, for a replica that has not replied yet.
    """

    def __init__(self, member: Member, next_index: int, now: float) -> None:
        self.member = member
        self.next_index = next_index
        self.match_index = -1
        self.acked_at = -math.inf
        self.created_at = now
        self.reply_token = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class Leader:
    """Replicates the log as leader of one term.

    :param ctx: context of the replica, which was just elected.
    """

    def __init__(self, ctx: ReplicaContext) -> None:
        self._ctx = ctx
        self._term = ctx.term
        self._peers: dict[Member, FollowerProgress] = {}
        self._learners: set[Member] = set()
        self._pending_changes: list[Change] = []
        self._wake = asyncio.Event()
        self._term_start_index = math.inf
        self._elected_at = ctx.clock.now()

    @classmethod
    def from_context(cls, ctx: ReplicaContext) -> Self:
        """Build the leader of the current term.

        :param ctx: context of the replica.
        """
        return cls(ctx)

    @property
    def active(self) -> bool:
        """Whether this replica still leads the term."""
        ctx = self._ctx
        return ctx.leading and ctx.term == self._term and not ctx.fault

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._ctx.commit_index >= self._term_start_index

    def confirmed_at(self) -> float:
        """Return the last time at which a quorum accepted this leader.

        It is the time of sending the requests. The time of the reply would
        be too new: a reply may arrive late, or be read late by a process
        that was paused.
        """
        ctx = self._ctx
        now = ctx.clock.now()
        accepted_at = sorted(
            (
                now if voter == ctx.own_member else self._acked_at(voter)
                for voter in ctx.membership.voters
            ),
            reverse=True,
        )
        return accepted_at[ctx.membership.quorum - 1]

    def has_lease(self) -> bool:
        """Tell whether the leader holds its lease and may accept changes."""
        age_s = self._ctx.clock.now() - self.confirmed_at()
        return self.active and age_s < self._ctx.timings.lease_s

    def confirmed_age_s(self) -> float | None:
        """Return the age of the quorum confirmation, in seconds, if any."""
        confirmed_at = self.confirmed_at()
        if not self.established or math.isinf(confirmed_at):
            return None
        return self._ctx.clock.now() - confirmed_at

    def submit(self, change: Change) -> None:
        """Queue a change for the next batch of entries.

        :param change: the change.
        """
        self._pending_changes.append(change)
        self._wake.set()

    def join(self, member: Member) -> str:
        """Add a learner, which becomes a voter once it has caught up.

        :param member: the learner.
        :returns: why it is refused, or an empty text.
        """
        ctx = self._ctx
        if member.name not in ctx.control_names or member.name == ctx.name:
            return 'not a declared control instance'
        if member in ctx.membership.voters or member in self._learners:
            return ''
        others = {
            learner for learner in self._learners if learner.name != member.name
        }
        self._learners = others | {member}
        self._wake.set()
        return ''

    async def run(self) -> None:
        """Lead until a newer term starts or no quorum replies."""
        try:
            await self._lead()
        finally:
            await self._stop_peers()

    async def _lead(self) -> None:
        self._term_start_index = self._ctx.log.last.index + 1
        if not await self._append((self._new_entry(),)):
            return
        while self.active:
            self._update_peers()
            self._advance_commit_index()
            self._check_quorum()
            await self._change_voters()
            await self._compact()
            if self._pending_changes and self.active:
                await self._append_pending()
            else:
                await _wait(self._wake, self._ctx.timings.heartbeat_s)

    async def _stop_peers(self) -> None:
        tasks = [peer.task for peer in self._peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _compact(self) -> None:
        async with self._ctx.lock:
            await self._ctx.compact_if_long()

    async def _append_pending(self) -> None:
        changes = self._pending_changes
        self._pending_changes = []
        first_index = self._ctx.log.last.index + 1
        await self._append(
            tuple(
                LogEntry(first_index + offset, self._term, change=change)
                for offset, change in enumerate(changes)
            ),
        )

    async def _append(self, entries: tuple[LogEntry, ...]) -> bool:
        ctx = self._ctx
        async with ctx.lock:
            if not self.active:
                return False
            if not ctx.check_write(await ctx.log.append(entries)):
                return False
        self._wake_peers()
        return True

    def _new_entry(self, members: tuple[Member, ...] | None = None) -> LogEntry:
        index = self._ctx.log.last.index + 1
        return LogEntry(index, self._term, members=members)

    def _advance_commit_index(self) -> None:
        ctx = self._ctx
        match_indexes = sorted(
            (
                ctx.log.last.index
                if voter == ctx.own_member
                else self._match_index(voter)
                for voter in ctx.membership.voters
            ),
            reverse=True,
        )
        index = match_indexes[ctx.membership.quorum - 1]
        # An entry of an older term can still be replaced, even if a quorum
        # has it. Committing an entry of this term commits all entries
        # before it.
        if index >= self._term_start_index and ctx.commit(index):
            self._wake_peers()
        if self.confirmed_age_s() is not None:
            ctx.confirm(self.confirmed_at())

    async def _change_voters(self) -> None:
        ctx = self._ctx
        uncommitted = ctx.membership.defined_at.index > ctx.commit_index
        if uncommitted or not self.established or not self.has_lease():
            return
        for learner in sorted(self._learners):
            if self._match_index(learner) >= ctx.commit_index:
                await self._promote_learner(learner)
                return

    async def _promote_learner(self, learner: Member) -> None:
        voters = self._ctx.membership.voters
        if learner in voters:
            self._learners.discard(learner)
            return
        others = tuple(voter for voter in voters if voter.name != learner.name)
        # The old incarnation is removed before the new one is added. With
        # both as voters, a cluster of three would have four voters and
        # would stop if one more replica failed.
        members = (*others, learner) if others == voters else others
        _log.info('Changing the voters to {}.', members)
        await self._append((self._new_entry(members),))
        self._wake.set()

    def _update_peers(self) -> None:
        ctx = self._ctx
        now = ctx.clock.now()
        members = {*ctx.membership.voters, *self._learners} - {ctx.own_member}
        # Sorted, because the hash of a member differs between processes and
        # the order of a set would make the order of the requests differ.
        for member in sorted(self._peers.keys() - members):
            peer = self._peers.pop(member)
            if peer.task is not None:
                peer.task.cancel()
        for member in sorted(members - self._peers.keys()):
            self._peers[member] = FollowerProgress(
                member, ctx.log.last.index + 1, now
            )
        for peer in self._peers.values():
            # Restart a task that has ended, such as after its call was
            # cancelled; the replica would get no further entries otherwise.
            if peer.task is None or peer.task.done():
                peer.task = ctx.spawn(self._replicate(peer))

    def _check_quorum(self) -> None:
        ctx = self._ctx
        now = ctx.clock.now()
        limit_s = ctx.timings.election_max_s
        silent_s = now - max(self.confirmed_at(), self._elected_at)
        if self.active and silent_s > limit_s:
            ctx.step_down('no quorum replied in time')
        for learner in tuple(self._learners):
            peer = self._peers.get(learner)
            if (
                peer
                and now - max(peer.created_at, peer.acked_at) > LEARNER_SILENT_S
            ):
                self._learners.discard(learner)

    async def _replicate(self, peer: FollowerProgress) -> None:
        while self.active:
            peer.wake.clear()
            replied = await self._send_request(peer)
            if not replied:
                await asyncio.sleep(self._ctx.timings.heartbeat_s)
            elif peer.match_index >= self._ctx.log.last.index:
                await _wait(peer.wake, self._ctx.timings.heartbeat_s)

    async def _send_request(self, peer: FollowerProgress) -> bool:
        ctx = self._ctx
        sent_at = ctx.clock.now()
        timeout_s = ctx.timings.call_timeout_s
        req: Message
        if peer.next_index <= ctx.log.base.index:
            req = self._install_request(peer)
            timeout_s = ctx.timings.install_timeout_s
        else:
            req = self._append_request(peer)
        result = await ctx.transport.call(peer.member.name, req, timeout_s)
        return await self._handle_reply(peer, result, sent_at)

    async def _handle_reply(
        self,
        peer: FollowerProgress,
        result: Result[Message, TransportError],
        sent_at: float,
    ) -> bool:
        ctx = self._ctx
        reply = result.unwrap() if isinstance(result, Success) else None
        if not isinstance(reply, AppendReply) or reply.replica != peer.member:
            return False
        if reply.term > self._term:
            async with ctx.lock:
                await ctx.advance_term(reply.term)
            return False
        if not self.active or reply.index < 0:
            return False
        peer.reply_token = reply.token
        peer.acked_at = max(peer.acked_at, sent_at)
        peer.next_index = reply.index + 1
        if reply.matched:
            peer.match_index = max(peer.match_index, reply.index)
        self._wake.set()
        return True

    def _append_request(self, peer: FollowerProgress) -> AppendRequest:
        ctx = self._ctx
        previous = min(peer.next_index - 1, ctx.log.last.index)
        last = min(ctx.log.last.index, previous + MAX_BATCH_ENTRIES)
        entries = ctx.log.entries(previous + 1, last)
        return AppendRequest(
            cluster_id=ctx.log.hard_state.cluster_id,
            leader=ctx.own_member,
            to=peer.member,
            term=self._term,
            previous=ctx.log.position(previous),
            entries=_limit_batch_bytes(entries),
            commit_index=ctx.commit_index,
            confirmed_age_s=self.confirmed_age_s(),
            echo=peer.reply_token,
        )

    def _install_request(self, peer: FollowerProgress) -> InstallRequest:
        ctx = self._ctx
        return InstallRequest(
            cluster_id=ctx.log.hard_state.cluster_id,
            leader=ctx.own_member,
            to=peer.member,
            term=self._term,
            snapshot=ctx.snapshot(),
        )

    def _wake_peers(self) -> None:
        for peer in self._peers.values():
            peer.wake.set()

    def _acked_at(self, member: Member) -> float:
        peer = self._peers.get(member)
        return -math.inf if peer is None else peer.acked_at

    def _match_index(self, member: Member) -> int:
        peer = self._peers.get(member)
        return -1 if peer is None else peer.match_index


def _limit_batch_bytes(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    total = 0
    for count, entry in enumerate(entries):
        if entry.change is not None:
            total += len(msgspec.msgpack.encode(entry.change))
        if count and total > MAX_BATCH_BYTES:
            return entries[:count]
    return entries


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    event.clear()

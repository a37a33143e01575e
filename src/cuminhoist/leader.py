"""What the leader of a term does: replicate, confirm, change voters."""

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

#: A learner that was silent this long is dropped; it joins again.
LEARNER_SILENT_S = 10
#: Entries of one request; hundreds of missed changes fit into it.
MAX_BATCH_ENTRIES = 2000
MAX_BATCH_BYTES = 8 * 1024 * 1024

_log = logger('control')


class FollowerProgress:
    """What the leader knows about another replica.

    :param match: last entry that it holds, synced; -1 if unknown.
    :param acked_at: when the last request that it followed was sent.
    """

    def __init__(self, member: Member, next_index: int, now: float) -> None:
        self.member = member
        self.next_index = next_index
        self.match = -1
        self.acked_at = -math.inf
        self.since = now
        self.echo = 0
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class Leader:
    """Leads one term.

    :param core: the replica, just elected.
    """

    def __init__(self, core: ReplicaContext) -> None:
        self._core = core
        self._term = core.term
        self._peers: dict[Member, FollowerProgress] = {}
        self._learners: set[Member] = set()
        self._pending: list[Change] = []
        self._wake = asyncio.Event()
        self._first_index = math.inf
        self._began_at = core.clock.now()

    @classmethod
    def from_core(cls, core: ReplicaContext) -> Self:
        """Build the leadership of the term that was just won.

        :param core: the replica.
        """
        return cls(core)

    @property
    def active(self) -> bool:
        """Whether the term is still this replica's."""
        core = self._core
        return core.leading and core.term == self._term and not core.fault

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._core.commit_index >= self._first_index

    def confirmed_at(self) -> float:
        """Return when a majority was last known to follow.

        The time is that of the sending: a reply that arrives late, or is
        read late by a process that was paused, proves nothing newer.
        """
        core = self._core
        now = core.clock.now()
        times = sorted(
            (
                now if voter == core.own else self._acked_at(voter)
                for voter in core.membership.voters
            ),
            reverse=True,
        )
        return times[core.membership.majority - 1]

    def has_lease(self) -> bool:
        """Tell whether the leader may accept changes."""
        age = self._core.clock.now() - self.confirmed_at()
        return self.active and age < self._core.timings.lease_s

    def confirmed_age_s(self) -> float | None:
        """Return the age of the majority confirmation, if it has one."""
        confirmed_at = self.confirmed_at()
        if not self.established or math.isinf(confirmed_at):
            return None
        return self._core.clock.now() - confirmed_at

    def submit(self, change: Change) -> None:
        """Append a change with the next batch.

        :param change: the change.
        """
        self._pending.append(change)
        self._wake.set()

    def join(self, member: Member) -> str:
        """Start to replicate to a replica without a vote.

        :param member: the replica.
        :returns: why it is refused, or nothing.
        """
        core = self._core
        if member.name not in core.declared or member.name == core.name:
            return 'not a declared control instance'
        if member in core.membership.voters or member in self._learners:
            return ''
        others = {
            learner for learner in self._learners if learner.name != member.name
        }
        self._learners = others | {member}
        self._wake.set()
        return ''

    async def run(self) -> None:
        """Lead until another term starts or the majority is lost."""
        try:
            await self._lead()
        finally:
            await self._stop_peers()

    async def _lead(self) -> None:
        self._first_index = self._core.log.last.index + 1
        if not await self._append((self._entry(),)):
            return
        while self.active:
            self._update_peers()
            self._advance()
            self._check_quorum()
            await self._change_members()
            await self._compact()
            if self._pending and self.active:
                await self._append_pending()
            else:
                await _wait(self._wake, self._core.timings.heartbeat_s)

    async def _stop_peers(self) -> None:
        tasks = [peer.task for peer in self._peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _compact(self) -> None:
        async with self._core.lock:
            await self._core.compact_if_long()

    async def _append_pending(self) -> None:
        changes = self._pending
        self._pending = []
        first = self._core.log.last.index + 1
        await self._append(
            tuple(
                LogEntry(first + number, self._term, change=change)
                for number, change in enumerate(changes)
            ),
        )

    async def _append(self, entries: tuple[LogEntry, ...]) -> bool:
        core = self._core
        async with core.lock:
            if not self.active:
                return False
            if not core.check_disk(await core.log.append(entries)):
                return False
        self._wake_peers()
        return True

    def _entry(self, members: tuple[Member, ...] | None = None) -> LogEntry:
        index = self._core.log.last.index + 1
        return LogEntry(index, self._term, members=members)

    def _advance(self) -> None:
        core = self._core
        matches = sorted(
            (
                core.log.last.index if voter == core.own else self._match(voter)
                for voter in core.membership.voters
            ),
            reverse=True,
        )
        index = matches[core.membership.majority - 1]
        # An entry of an older term can still be replaced, also when a
        # majority holds it; one of this term commits those before it.
        if index >= self._first_index and core.commit(index):
            self._wake_peers()
        if self.confirmed_age_s() is not None:
            core.confirm(self.confirmed_at())

    async def _change_members(self) -> None:
        core = self._core
        uncommitted = core.membership.defined_at.index > core.commit_index
        if uncommitted or not self.established or not self.has_lease():
            return
        for learner in sorted(self._learners):
            if self._match(learner) >= core.commit_index:
                await self._admit(learner)
                return

    async def _admit(self, learner: Member) -> None:
        voters = self._core.membership.voters
        if learner in voters:
            self._learners.discard(learner)
            return
        others = tuple(voter for voter in voters if voter.name != learner.name)
        # The old incarnation leaves first: with both as voters, the loss
        # of one more replica would stop a cluster of three.
        members = (*others, learner) if others == voters else others
        _log.info('Changes the voters to {}.', members)
        await self._append((self._entry(members),))
        self._wake.set()

    def _update_peers(self) -> None:
        core = self._core
        now = core.clock.now()
        wanted = {*core.membership.voters, *self._learners} - {core.own}
        for gone in self._peers.keys() - wanted:
            peer = self._peers.pop(gone)
            if peer.task is not None:
                peer.task.cancel()
        for member in wanted - self._peers.keys():
            self._peers[member] = FollowerProgress(
                member, core.log.last.index + 1, now
            )
        for peer in self._peers.values():
            # A task can also end because its call was cancelled from
            # elsewhere; its replica would miss all further entries.
            if peer.task is None or peer.task.done():
                peer.task = core.spawn(self._replicate(peer))

    def _check_quorum(self) -> None:
        core = self._core
        now = core.clock.now()
        limit = core.timings.election_max_s
        silent_s = now - max(self.confirmed_at(), self._began_at)
        if self.active and silent_s > limit:
            core.step_down('no majority')
        for learner in tuple(self._learners):
            peer = self._peers.get(learner)
            if peer and now - max(peer.since, peer.acked_at) > LEARNER_SILENT_S:
                self._learners.discard(learner)

    async def _replicate(self, peer: FollowerProgress) -> None:
        while self.active:
            peer.wake.clear()
            progress = await self._exchange(peer)
            if not progress:
                await asyncio.sleep(self._core.timings.heartbeat_s)
            elif peer.match >= self._core.log.last.index:
                await _wait(peer.wake, self._core.timings.heartbeat_s)

    async def _exchange(self, peer: FollowerProgress) -> bool:
        core = self._core
        sent_at = core.clock.now()
        timeout_s = core.timings.call_timeout_s
        req: Message
        if peer.next_index <= core.log.base.index:
            req = self._install_request(peer)
            timeout_s = core.timings.install_timeout_s
        else:
            req = self._append_request(peer)
        answer = await core.transport.call(peer.member.name, req, timeout_s)
        return await self._read(peer, answer, sent_at)

    async def _read(
        self,
        peer: FollowerProgress,
        answer: Result[Message, TransportError],
        sent_at: float,
    ) -> bool:
        core = self._core
        reply = answer.unwrap() if isinstance(answer, Success) else None
        if not isinstance(reply, AppendReply) or reply.replica != peer.member:
            return False
        if reply.term > self._term:
            async with core.lock:
                await core.adopt_term(reply.term)
            return False
        if not self.active or reply.index < 0:
            return False
        peer.echo = reply.token
        peer.acked_at = max(peer.acked_at, sent_at)
        peer.next_index = reply.index + 1
        if reply.matched:
            peer.match = max(peer.match, reply.index)
        self._wake.set()
        return True

    def _append_request(self, peer: FollowerProgress) -> AppendRequest:
        core = self._core
        previous = min(peer.next_index - 1, core.log.last.index)
        last = min(core.log.last.index, previous + MAX_BATCH_ENTRIES)
        entries = core.log.entries(previous + 1, last)
        return AppendRequest(
            cluster_id=core.log.vote.cluster_id,
            leader=core.own,
            to=peer.member,
            term=self._term,
            previous=core.log.position(previous),
            entries=_within_bytes(entries),
            commit_index=core.commit_index,
            confirmed_age_s=self.confirmed_age_s(),
            echo=peer.echo,
        )

    def _install_request(self, peer: FollowerProgress) -> InstallRequest:
        core = self._core
        return InstallRequest(
            cluster_id=core.log.vote.cluster_id,
            leader=core.own,
            to=peer.member,
            term=self._term,
            snapshot=core.snapshot(),
        )

    def _wake_peers(self) -> None:
        for peer in self._peers.values():
            peer.wake.set()

    def _acked_at(self, member: Member) -> float:
        peer = self._peers.get(member)
        return -math.inf if peer is None else peer.acked_at

    def _match(self, member: Member) -> int:
        peer = self._peers.get(member)
        return -1 if peer is None else peer.match


def _within_bytes(entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
    total = 0
    for number, entry in enumerate(entries):
        if entry.change is not None:
            total += len(msgspec.msgpack.encode(entry.change))
        if number and total > MAX_BATCH_BYTES:
            return entries[:number]
    return entries


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    event.clear()

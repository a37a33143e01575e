"""What a replica does with the entries and snapshots of a leader."""

import msgspec

from .consensus_messages import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    LogEntry,
)
from .exceptions import InvariantError
from .replica_context import ReplicaContext

#: Replies whose tokens are remembered; one request runs at a time.
MAX_TOKENS = 8
TOKEN_BITS = 62


class Follower:
    """Takes entries from the leader and proves how recent they are.

    Each reply carries a token, and the leader's next request returns it.
    That request was sent after the token was issued, so the leader's
    confirmation is at most the time since then plus the age that the
    request states, however long the request was under way.

    :param core: the replica.
    """

    def __init__(self, core: ReplicaContext) -> None:
        self._core = core
        self._tokens: dict[int, float] = {}

    async def on_append(self, req: AppendRequest) -> AppendReply:
        """Take entries of the leader, synced before the reply.

        :param req: the entries, or a heartbeat.
        """
        async with self._core.lock:
            reason = await self._why_not(req)
            if reason:
                return self._refusal(reason)
            return await self._append(req)

    async def on_install(self, req: InstallRequest) -> AppendReply:
        """Take a snapshot of the leader.

        :param req: the snapshot.
        """
        core = self._core
        async with core.lock:
            reason = await self._why_not(req)
            if reason:
                return self._refusal(reason)
            last = req.snapshot.last
            if last.index > core.commit_index:
                if not await core.install(req.snapshot):
                    return self._refusal('the disk refused')
            return self._reply(last.index, matched=True)

    async def _why_not(self, req: AppendRequest | InstallRequest) -> str:
        core = self._core
        vote = core.log.vote
        if vote.cluster_id not in {'', req.cluster_id}:
            return 'another cluster'
        if req.to != core.own:
            return 'another incarnation'
        if req.term < core.term:
            return 'an older term'
        if not vote.cluster_id:
            joined = msgspec.structs.replace(vote, cluster_id=req.cluster_id)
            if not await core.promise(joined):
                return 'the disk refused'
        if not await core.adopt_term(req.term):
            return 'the disk refused'
        if core.leading:
            raise InvariantError('two leaders in one term')
        core.campaigning = False
        core.leader = req.leader.name
        core.heard_at = core.clock.now()
        return ''

    async def _append(self, req: AppendRequest) -> AppendReply:
        core = self._core
        if req.previous.index >= core.log.base.index:
            if not core.log.holds(req.previous):
                return self._reply(self._go_on_after(req), matched=False)
        new = self._new_entries(req.entries)
        if new:
            if new[0].index <= core.commit_index:
                raise InvariantError('a committed entry would be replaced')
            if not core.check_disk(await core.log.append(new)):
                return self._refusal('the disk refused')
        matched = req.previous.index + len(req.entries)
        core.commit(min(req.commit_index, matched))
        self._confirm(req)
        await core.compact_if_long()
        return self._reply(matched, matched=True)

    def _new_entries(
        self, entries: tuple[LogEntry, ...]
    ) -> tuple[LogEntry, ...]:
        log = self._core.log
        for number, entry in enumerate(entries):
            if entry.index <= log.base.index:
                continue
            if entry.index > log.last.index:
                return entries[number:]
            if log.position(entry.index).term != entry.term:
                return entries[number:]
        return ()

    def _go_on_after(self, req: AppendRequest) -> int:
        """Return where the leader should go on.

        Uncommitted entries are few, so the whole unconfirmed part is sent
        again in place of a search for the first difference.
        """
        core = self._core
        if core.log.last.index < req.previous.index:
            return core.log.last.index
        return core.commit_index

    def _confirm(self, req: AppendRequest) -> None:
        core = self._core
        issued_at = self._tokens.get(req.echo)
        if issued_at is None or req.confirmed_age_s is None:
            return
        if core.commit_index >= req.commit_index:
            core.confirm(issued_at - req.confirmed_age_s)

    def _reply(self, index: int, *, matched: bool) -> AppendReply:
        core = self._core
        token = core.rng.getrandbits(TOKEN_BITS) + 1
        self._tokens[token] = core.clock.now()
        while len(self._tokens) > MAX_TOKENS:
            self._tokens.pop(next(iter(self._tokens)))
        return AppendReply(
            replica=core.own,
            term=core.term,
            matched=matched,
            index=index,
            token=token,
        )

    def _refusal(self, reason: str) -> AppendReply:
        core = self._core
        return AppendReply(
            replica=core.own,
            term=core.term,
            matched=False,
            index=-1,
            reason=reason,
        )

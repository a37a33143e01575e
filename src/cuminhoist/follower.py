"""The follower: appends the entries and snapshots of the leader."""

import msgspec

from .consensus_messages import (
    AppendReply,
    AppendRequest,
    InstallRequest,
    LogEntry,
)
from .exceptions import InvariantError
from .replica_context import ReplicaContext

#: Reply tokens that are kept; few suffice, as the leader sends one request
#: at a time to a replica.
MAX_REPLY_TOKENS = 8
TOKEN_BITS = 62


class Follower:
    """Appends entries of the leader and bounds the age of its state.

    Each reply carries a token, which the next request of the leader
    returns. That request was sent after the token was issued. The age of
    the leader's quorum confirmation is therefore at most the time since the
    token was issued plus the age stated in the request, no matter how long
    the request took to arrive.

    :param ctx: context of the replica.
    """

    def __init__(self, ctx: ReplicaContext) -> None:
        self._ctx = ctx
        self._tokens: dict[int, float] = {}

    async def on_append(self, req: AppendRequest) -> AppendReply:
        """Append entries of the leader and sync them before the reply.

        :param req: the entries, or a heartbeat.
        """
        async with self._ctx.lock:
            reason = await self._refusal_reason(req)
            if reason:
                return self._refusal(reason)
            return await self._append(req)

    async def on_install(self, req: InstallRequest) -> AppendReply:
        """Install a snapshot of the leader.

        :param req: the snapshot.
        """
        ctx = self._ctx
        async with ctx.lock:
            reason = await self._refusal_reason(req)
            if reason:
                return self._refusal(reason)
            last = req.snapshot.last
            if last.index > ctx.commit_index:
                if not await ctx.install(req.snapshot):
                    return self._refusal('cannot write to disk')
            return self._reply(last.index, matched=True)

    async def _refusal_reason(self, req: AppendRequest | InstallRequest) -> str:
        ctx = self._ctx
        hard_state = ctx.log.hard_state
        if hard_state.cluster_id not in {'', req.cluster_id}:
            return 'the replica belongs to another cluster'
        if req.to != ctx.own_member:
            return 'the replica has another incarnation'
        if req.term < ctx.term:
            return 'the term is too old'
        if not hard_state.cluster_id:
            joined = msgspec.structs.replace(
                hard_state, cluster_id=req.cluster_id
            )
            if not await ctx.persist_hard_state(joined):
                return 'cannot write to disk'
        if not await ctx.advance_term(req.term):
            return 'cannot write to disk'
        if ctx.leading:
            raise InvariantError('two leaders in one term')
        ctx.campaigning = False
        ctx.leader = req.leader.name
        ctx.leader_contact_at = ctx.clock.now()
        return ''

    async def _append(self, req: AppendRequest) -> AppendReply:
        ctx = self._ctx
        if req.previous.index >= ctx.log.base.index:
            if not ctx.log.contains(req.previous):
                return self._reply(self._reject_hint(req), matched=False)
        new_entries = self._new_entries(req.entries)
        if new_entries:
            if new_entries[0].index <= ctx.commit_index:
                raise InvariantError('a committed entry would be replaced')
            if not ctx.check_write(await ctx.log.append(new_entries)):
                return self._refusal('cannot write to disk')
        matched = req.previous.index + len(req.entries)
        ctx.commit(min(req.commit_index, matched))
        self._confirm(req)
        await ctx.compact_if_long()
        return self._reply(matched, matched=True)

    def _new_entries(
        self, entries: tuple[LogEntry, ...]
    ) -> tuple[LogEntry, ...]:
        log = self._ctx.log
        for offset, entry in enumerate(entries):
            if entry.index <= log.base.index:
                continue
            if entry.index > log.last.index:
                return entries[offset:]
            if log.position(entry.index).term != entry.term:
                return entries[offset:]
        return ()

    def _reject_hint(self, req: AppendRequest) -> int:
        """Return the entry after which the leader should continue.

        Uncommitted entries are few, so all of them are sent again instead
        of searching for the first one that differs.
        """
        ctx = self._ctx
        if ctx.log.last.index < req.previous.index:
            return ctx.log.last.index
        return ctx.commit_index

    def _confirm(self, req: AppendRequest) -> None:
        ctx = self._ctx
        issued_at = self._tokens.get(req.echo)
        if issued_at is None or req.confirmed_age_s is None:
            return
        if ctx.commit_index >= req.commit_index:
            ctx.confirm(issued_at - req.confirmed_age_s)

    def _reply(self, index: int, *, matched: bool) -> AppendReply:
        ctx = self._ctx
        token = ctx.rng.getrandbits(TOKEN_BITS) + 1
        self._tokens[token] = ctx.clock.now()
        while len(self._tokens) > MAX_REPLY_TOKENS:
            self._tokens.pop(next(iter(self._tokens)))
        return AppendReply(
            replica=ctx.own_member,
            term=ctx.term,
            matched=matched,
            index=index,
            token=token,
        )

    def _refusal(self, reason: str) -> AppendReply:
        ctx = self._ctx
        return AppendReply(
            replica=ctx.own_member,
            term=ctx.term,
            matched=False,
            index=-1,
            reason=reason,
        )

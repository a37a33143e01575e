"""Elections of the control log: time-outs, pre-votes and votes.

A pre-vote shows whether a quorum would grant the vote. Without it, a
replica that was isolated would come back with a higher term and force an
election although the cluster has a leader.
"""

import asyncio

import msgspec
from returns.result import Success

from .consensus_messages import Member, VoteReply, VoteRequest, VoterSet
from .logging_setup import logger
from .replica_context import ReplicaContext

_log = logger('control')


class Election:
    """Requests and grants votes.

    :param ctx: context of the replica.
    """

    def __init__(self, ctx: ReplicaContext) -> None:
        self._ctx = ctx

    async def wait(self) -> None:
        """Return after a random time without a request from a leader."""
        ctx = self._ctx
        timings = ctx.timings
        timeout_s = ctx.rng.uniform(
            timings.election_min_s, timings.election_max_s
        )
        while True:
            expires_at = (
                max(ctx.leader_contact_at, ctx.election_timer_start) + timeout_s
            )
            remaining_s = expires_at - ctx.clock.now()
            if remaining_s <= 0:
                return
            await asyncio.sleep(remaining_s)

    async def campaign(self) -> bool:
        """Request pre-votes and then votes.

        :returns: whether this replica was elected and leads the new term.
        """
        ctx = self._ctx
        ctx.election_timer_start = ctx.clock.now()
        if ctx.fault or ctx.own_member not in ctx.membership.voters:
            return False
        ctx.campaigning = True
        if not await self._collect_votes(ctx.term + 1, pre_vote=True):
            return False
        async with ctx.lock:
            term = ctx.term + 1
            hard_state = msgspec.structs.replace(
                ctx.log.hard_state,
                term=term,
                voted_for=ctx.own_member,
            )
            if not self._is_eligible() or not await ctx.persist_hard_state(
                hard_state
            ):
                return False
            ctx.campaigning = True
        won = await self._collect_votes(term, pre_vote=False)
        if not won or ctx.term != term or not ctx.campaigning:
            return False
        ctx.campaigning = False
        ctx.leading = True
        ctx.leader = ctx.name
        _log.info('Elected leader of term {}.', term)
        return True

    async def on_vote(self, req: VoteRequest) -> VoteReply:
        """Reply to a vote or pre-vote request.

        :param req: the request.
        """
        ctx = self._ctx
        async with ctx.lock:
            reason = self._refusal_reason(req)
            if not reason and not req.pre_vote:
                reason = await self._grant_vote(req)
            if reason:
                return _refusal(ctx, reason)
            if not req.pre_vote:
                ctx.election_timer_start = ctx.clock.now()
            return VoteReply(voter=ctx.own_member, term=ctx.term, granted=True)

    def _is_eligible(self) -> bool:
        ctx = self._ctx
        return ctx.campaigning and ctx.own_member in ctx.membership.voters

    def _refusal_reason(self, req: VoteRequest) -> str:
        ctx = self._ctx
        if not ctx.belongs_to(req.cluster_id):
            return 'the replica belongs to another cluster'
        if self._has_recent_leader():
            return 'a leader sent a request recently'
        # The newer one of both voter sets applies: a voter that was added
        # by an entry that this replica lacks must be able to win.
        voters = _newer_voters(ctx.membership, req.membership).voters
        if req.candidate not in voters:
            return 'the candidate is not a voter'
        if ctx.own_member not in voters:
            return 'this replica is not a voter'
        if req.term < ctx.term or (req.pre_vote and req.term == ctx.term):
            return 'the term is too old'
        if req.last < ctx.log.last:
            return 'the log of the candidate is less up to date'
        return ''

    def _has_recent_leader(self) -> bool:
        ctx = self._ctx
        silent_s = ctx.clock.now() - ctx.leader_contact_at
        return ctx.leading or silent_s < ctx.timings.election_min_s

    async def _grant_vote(self, req: VoteRequest) -> str:
        ctx = self._ctx
        if req.term > ctx.term and not await ctx.advance_term(req.term):
            return 'cannot write to disk'
        if ctx.log.hard_state.voted_for not in {None, req.candidate}:
            return 'voted for another candidate in this term'
        hard_state = msgspec.structs.replace(
            ctx.log.hard_state,
            voted_for=req.candidate,
        )
        return (
            ''
            if await ctx.persist_hard_state(hard_state)
            else 'cannot write to disk'
        )

    async def _collect_votes(self, term: int, *, pre_vote: bool) -> bool:
        ctx = self._ctx
        membership = ctx.membership
        req = VoteRequest(
            cluster_id=ctx.log.hard_state.cluster_id,
            candidate=ctx.own_member,
            term=term,
            pre_vote=pre_vote,
            last=ctx.log.last,
            membership=membership,
        )
        calls = [
            asyncio.create_task(self._request_vote(voter, req))
            for voter in membership.voters
            if voter != ctx.own_member
        ]
        votes = 1
        try:
            for result in asyncio.as_completed(calls):
                votes += await result
                if votes >= membership.quorum:
                    break
        finally:
            for call in calls:
                call.cancel()
        return votes >= membership.quorum

    async def _request_vote(self, voter: Member, req: VoteRequest) -> bool:
        ctx = self._ctx
        result = await ctx.transport.call(
            voter.name,
            req,
            ctx.timings.call_timeout_s,
        )
        if not isinstance(result, Success):
            return False
        reply = result.unwrap()
        if not isinstance(reply, VoteReply) or reply.voter != voter:
            return False
        if reply.term > ctx.term:
            async with ctx.lock:
                await ctx.advance_term(reply.term)
        return reply.granted


def _newer_voters(first: VoterSet, second: VoterSet) -> VoterSet:
    return second if second.defined_at > first.defined_at else first


def _refusal(ctx: ReplicaContext, reason: str) -> VoteReply:
    return VoteReply(
        voter=ctx.own_member,
        term=ctx.term,
        granted=False,
        reason=reason,
    )

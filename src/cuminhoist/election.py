"""Elections: pre-votes, votes, and when to ask for them."""

import asyncio

import msgspec
from returns.result import Success

from .consensus_messages import Member, VoteReply, VoteRequest, VoterSet
from .logging_setup import logger
from .replica_context import ReplicaContext

_log = logger('control')


class Election:
    """Asks for votes and grants them.

    :param core: the replica.
    """

    def __init__(self, core: ReplicaContext) -> None:
        self._core = core

    async def wait(self) -> None:
        """Return when no leader was heard for a random time."""
        core = self._core
        timings = core.timings
        span = core.rng.uniform(timings.election_min_s, timings.election_max_s)
        while True:
            due = max(core.heard_at, core.waiting_since) + span
            left = due - core.clock.now()
            if left <= 0:
                return
            await asyncio.sleep(left)

    async def campaign(self) -> bool:
        """Ask for pre-votes and then for votes.

        :returns: whether this replica won and now leads its term.
        """
        core = self._core
        core.waiting_since = core.clock.now()
        if core.fault or core.own not in core.membership.voters:
            return False
        core.campaigning = True
        if not await self._poll(core.term + 1, trial=True):
            return False
        async with core.lock:
            term = core.term + 1
            vote = msgspec.structs.replace(
                core.log.vote,
                term=term,
                voted_for=core.own,
            )
            if not self._may_stand() or not await core.promise(vote):
                return False
            core.campaigning = True
        won = await self._poll(term, trial=False)
        if not won or core.term != term or not core.campaigning:
            return False
        core.campaigning = False
        core.leading = True
        core.leader = core.name
        _log.info('Leads term {}.', term)
        return True

    async def on_vote(self, req: VoteRequest) -> VoteReply:
        """Answer a request for a vote.

        :param req: the request.
        """
        core = self._core
        async with core.lock:
            reason = self._why_not(req)
            if not reason and not req.pre_vote:
                reason = await self._vote(req)
            if reason:
                return _refusal(core, reason)
            if not req.pre_vote:
                core.waiting_since = core.clock.now()
            return VoteReply(voter=core.own, term=core.term, granted=True)

    def _may_stand(self) -> bool:
        core = self._core
        return core.campaigning and core.own in core.membership.voters

    def _why_not(self, req: VoteRequest) -> str:
        core = self._core
        if not core.serves(req.cluster_id):
            return 'another cluster'
        if self._has_leader():
            return 'a leader was heard'
        # The newer of both lists of voters counts: a voter that was added
        # in an entry that this replica lacks must be able to win.
        voters = _newer(core.membership, req.membership).voters
        if req.candidate not in voters:
            return 'the candidate is no voter'
        if core.own not in voters:
            return 'this replica is no voter'
        if req.term < core.term or (req.pre_vote and req.term == core.term):
            return 'an older term'
        if req.last < core.log.last:
            return 'a shorter log'
        return ''

    def _has_leader(self) -> bool:
        core = self._core
        silent_s = core.clock.now() - core.heard_at
        return core.leading or silent_s < core.timings.election_min_s

    async def _vote(self, req: VoteRequest) -> str:
        core = self._core
        if req.term > core.term and not await core.adopt_term(req.term):
            return 'the disk refused'
        if core.log.vote.voted_for not in {None, req.candidate}:
            return 'voted for another candidate'
        vote = msgspec.structs.replace(
            core.log.vote,
            voted_for=req.candidate,
        )
        return '' if await core.promise(vote) else 'the disk refused'

    async def _poll(self, term: int, *, trial: bool) -> bool:
        core = self._core
        membership = core.membership
        req = VoteRequest(
            cluster_id=core.log.vote.cluster_id,
            candidate=core.own,
            term=term,
            pre_vote=trial,
            last=core.log.last,
            membership=membership,
        )
        calls = [
            asyncio.create_task(self._ask(voter, req))
            for voter in membership.voters
            if voter != core.own
        ]
        votes = 1
        try:
            for answer in asyncio.as_completed(calls):
                votes += await answer
                if votes >= membership.majority:
                    break
        finally:
            for call in calls:
                call.cancel()
        return votes >= membership.majority

    async def _ask(self, voter: Member, req: VoteRequest) -> bool:
        core = self._core
        answer = await core.transport.call(
            voter.name,
            req,
            core.timings.call_timeout_s,
        )
        if not isinstance(answer, Success):
            return False
        reply = answer.unwrap()
        if not isinstance(reply, VoteReply) or reply.voter != voter:
            return False
        if reply.term > core.term:
            async with core.lock:
                await core.adopt_term(reply.term)
        return reply.granted


def _newer(one: VoterSet, other: VoterSet) -> VoterSet:
    return other if other.defined_at > one.defined_at else one


def _refusal(core: ReplicaContext, reason: str) -> VoteReply:
    return VoteReply(
        voter=core.own,
        term=core.term,
        granted=False,
        reason=reason,
    )

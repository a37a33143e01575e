"""Changes and reads the register through a quorum of its voters."""

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from ..codec import Message
from ..logging_setup import logger
from .declared_state import DeclaredState, Voter, apply_order, finish_voters
from .messages import Accept, Ballot, Inquire, Prepare, VoterReply

#: Time for one phase; regions are 35 ms apart and a slow disk takes
#: up to 150 ms a sync.
PHASE_S = 0.9
#: Longest pause after the first attempt that met another proposer, in
#: seconds, and after any: a ballot between regions takes 0.15 s, and the
#: pauses of all proposers must spread over several of them.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8
#: Attempts of one change before the caller is told to ask again.
MAX_ATTEMPTS = 6

_log = logger('register')


class VoterClient(abc.ABC):
    """Carries requests to voters."""

    @abc.abstractmethod
    async def call_voter(
        self,
        voter: Voter,
        msg: Message,
        timeout_s: float,
    ) -> VoterReply | None:
        """Return the answer of a voter, or nothing.

        :param voter: whom to ask.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """


class PhaseResult(msgspec.Struct, frozen=True):
    """Answers of one phase.

    :param best: newest state that any voter holds.
    :param ballot: its ballot.
    :param agreed: whether all voters that answered hold just that ballot.
    """

    best: DeclaredState
    ballot: Ballot
    agreed: bool


class Chosen(msgspec.Struct, frozen=True):
    """A state that a quorum holds.

    :param applied: whether the orders are in it.
    """

    state: DeclaredState
    applied: bool


class _Gathering:
    """Asks voters until a quorum of the newest state among them answers.

    :param known: newest state that is known to be chosen.
    :param client: carries requests to voters.
    :param request: returns the request to a voter.
    """

    def __init__(
        self,
        known: DeclaredState,
        client: VoterClient,
        request: Callable[[Voter], Message],
    ) -> None:
        #: In the order of asking, so that runs repeat under a fixed seed.
        self.asked: list[asyncio.Task[VoterReply | None]] = []
        self.highest_round = 0
        self._known = known
        self._client = client
        self._request = request
        self._best = known
        self._ballot = Ballot()
        self._verdicts: dict[str, VoterReply] = {}
        self._names: set[str] = set()

    async def run(self) -> PhaseResult | None:
        """Return what was found, or nothing without a quorum."""
        while not self._is_complete():
            self._ask_further()
            if not self.asked:
                return None
            await asyncio.wait(
                self.asked,
                return_when=asyncio.FIRST_COMPLETED,
            )
            finished = [task for task in self.asked if task.done()]
            self.asked = [task for task in self.asked if not task.done()]
            granted = [self._take(task.result()) for task in finished]
            if not all(granted):
                return None
        accepted = {verdict.accepted for verdict in self._verdicts.values()}
        return PhaseResult(self._best, self._ballot, accepted == {self._ballot})

    def _is_complete(self) -> bool:
        answered = set(self._verdicts)
        known = self._known.has_quorum(answered)
        return known and self._best.has_quorum(answered)

    def _ask_further(self) -> None:
        # Answers may name voters that were not known before.
        for voter in (*self._known.all_voters(), *self._best.all_voters()):
            if voter.name not in self._names:
                self._names.add(voter.name)
                call = self._client.call_voter(
                    voter, self._request(voter), PHASE_S
                )
                self.asked.append(asyncio.create_task(call))

    def _take(self, verdict: VoterReply | None) -> bool:
        """Take an answer and tell whether it grants the request."""
        if verdict is None:
            return True
        self.highest_round = max(self.highest_round, verdict.promised.round)
        if verdict.granted:
            self._verdicts[verdict.voter] = verdict
            if verdict.state and verdict.accepted > self._ballot:
                self._best = verdict.state
                self._ballot = verdict.accepted
        return verdict.granted


class Proposer:
    """Proposes on behalf of one control instance.

    A quorum is a majority of the voters, and of the former voters while a
    change of voters is unfinished. The voters are part of the state: a
    proposer that knows older ones finds the newer ones among the answers of
    the older ones, and then needs a quorum of both.

    :param name: name of this voter, unique among all starts with an empty
        disk.
    :param client: carries requests to voters.
    :param known: newest state that this instance knows to be chosen.
    :param rng: source of backoff times.
    """

    def __init__(
        self,
        name: str,
        client: VoterClient,
        known: Callable[[], DeclaredState],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._client = client
        self._known = known
        self._rng = rng
        self._round = 0
        self._lock = asyncio.Lock()

    async def change(self, orders: Sequence[Message]) -> DeclaredState | None:
        """Return a chosen state that holds the orders.

        :param orders: applied one after the other.
        :returns: nothing if no quorum answered; the orders may then be in
            force or not.
        """
        async with self._lock:
            pending = tuple(orders)
            unsettled: DeclaredState | None = None
            longest_s = FIRST_BACKOFF_S
            for _ in range(MAX_ATTEMPTS):
                chosen = await self._attempt(pending, unsettled)
                if chosen is None:
                    await asyncio.sleep(self._rng.uniform(0, longest_s))
                    longest_s = min(longest_s * 2, MAX_BACKOFF_S)
                    continue
                if chosen.applied:
                    pending = ()
                if chosen.state.settled and not pending:
                    return chosen.state
                unsettled = chosen.state
        return None

    async def read(self) -> DeclaredState | None:
        """Return the newest state, or nothing if that is not certain."""
        known = self._known()
        found = await self._gather(lambda voter: Inquire(voter=voter.name))
        if found is not None and found.best.index <= known.index:
            # A newer chosen state would be held by one of the quorum.
            return known
        if found is not None and found.agreed and found.best.settled:
            return found.best
        # Another proposer is at work, or one stopped halfway: the state is
        # certain once a quorum has accepted it under one ballot.
        return await self.change(())

    async def _attempt(
        self,
        orders: Sequence[Message],
        unsettled: DeclaredState | None,
    ) -> Chosen | None:
        """Run one ballot.

        :param orders: applied if no change of voters is unfinished.
        :param unsettled: a state with an unfinished change of voters that
            is known to be chosen; the change may then be finished.
        """
        self._round += 1
        ballot = Ballot(self._round, self._name)
        found = await self._gather(
            lambda voter: Prepare(voter=voter.name, ballot=ballot),
        )
        if found is None:
            return None
        state = found.best
        if state.settled:
            for order in orders:
                state = apply_order(state, order)
        elif state == unsettled:
            state = finish_voters(state)
        if await self._spread(ballot, state):
            return Chosen(state, applied=found.best.settled)
        return None

    async def _spread(self, ballot: Ballot, state: DeclaredState) -> bool:
        names: set[str] = set()
        calls = [
            asyncio.create_task(
                self._client.call_voter(
                    voter,
                    Accept(voter=voter.name, ballot=ballot, state=state),
                    PHASE_S,
                ),
            )
            for voter in state.all_voters()
        ]
        try:
            for call in asyncio.as_completed(calls):
                verdict = await call
                if verdict is None:
                    continue
                self._round = max(self._round, verdict.promised.round)
                if not verdict.granted:
                    return False
                names.add(verdict.voter)
                if state.has_quorum(names):
                    return True
        finally:
            self._leave(calls)
        return False

    async def _gather(
        self,
        request: Callable[[Voter], Message],
    ) -> PhaseResult | None:
        gathering = _Gathering(self._known(), self._client, request)
        try:
            return await gathering.run()
        finally:
            self._round = max(self._round, gathering.highest_round)
            self._leave(gathering.asked)

    def _leave(self, calls: list[asyncio.Task[VoterReply | None]]) -> None:
        # Answers that are no longer needed still arrive; the voters act on
        # the requests all the same.
        for call in calls:
            if not call.done():
                call.add_done_callback(_drop)


def _drop(call: asyncio.Task[VoterReply | None]) -> None:
    if not call.cancelled() and call.exception() is not None:
        _log.warning('voter call failed', error=repr(call.exception()))

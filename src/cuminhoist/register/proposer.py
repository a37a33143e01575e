"""Proposer of the register: changes and reads the declared state by ballots.

A ballot has a prepare and an accept phase; each needs a quorum of the voters.
Proposers that compete make each other's ballots fail, so a proposer waits for
a random time before its next ballot.
"""

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from ..codec import Message
from ..logging_setup import logger
from .declared_state import (
    DeclaredState,
    Voter,
    apply_order,
    finish_voter_change,
    is_same_state,
)
from .messages import (
    Accept,
    AcceptedState,
    Ballot,
    Inquire,
    Prepare,
    VoterReply,
)

#: Time-out of one phase, in seconds; regions are 35 ms apart and a slow disk
#: takes up to 150 ms for a sync.
PHASE_TIMEOUT_S = 0.9
#: Upper bounds of the random backoff after the first failed ballot and after
#: any later one, in seconds. A ballot between regions takes 0.15 s, and the
#: backoff times of all proposers must spread over several ballots.
FIRST_BACKOFF_S = 0.15
MAX_BACKOFF_S = 0.8
#: Ballots for one change before it is reported as failed.
MAX_BALLOTS = 6
#: Tries to read a state without a ballot; a ballot under way ends meanwhile.
READ_TRIES = 6

_log = logger('register')


class VoterClient(abc.ABC):
    """Sends requests to voters."""

    @abc.abstractmethod
    async def call_voter(
        self,
        voter: Voter,
        msg: Message,
        timeout_s: float,
    ) -> VoterReply | None:
        """Return the reply of a voter, or none if there is none in time.

        :param voter: the voter.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """


class PhaseResult(msgspec.Struct, frozen=True):
    """Result of a phase that a quorum replied to.

    :param state: the state accepted under the highest ballot; if no reply has
        one, the newest chosen state that the proposer knows.
    :param ballot: the ballot of that state.
    :param accepted_by: names of the voters that accepted it, as far as they
        replied.
    """

    state: DeclaredState
    ballot: Ballot
    accepted_by: frozenset[str]


class Chosen(msgspec.Struct, frozen=True):
    """A state that a quorum accepted.

    :param state: the state.
    :param applied: whether the orders were applied to it.
    """

    state: DeclaredState
    applied: bool


class _QuorumCollector:
    """Sends a request to the voters and waits for a quorum of replies.

    Replies may carry a state with other voters than the proposer knows. These
    voters are called too, and the replies must then be a quorum of both
    states.

    :param latest_chosen: newest state that the proposer knows to be chosen.
    :param client: sends requests to voters.
    :param build_request: returns the request to a voter.
    :param known: state that this instance has accepted; replies with the
        same one leave it out.
    """

    def __init__(
        self,
        latest_chosen: DeclaredState,
        client: VoterClient,
        build_request: Callable[[Voter], Message],
        known: AcceptedState,
    ) -> None:
        #: In the order of the calls, so that a fixed seed repeats a run.
        self.open_calls: list[asyncio.Task[VoterReply | None]] = []
        self.highest_round = 0
        #: The reply that refused the request, if any.
        self.refusal: VoterReply | None = None
        self._latest_chosen = latest_chosen
        self._client = client
        self._build_request = build_request
        self._known = known
        self._accepted_state = latest_chosen
        self._accepted_ballot = Ballot()
        self._replies: dict[str, VoterReply] = {}
        self._called_names: set[str] = set()

    async def run(self) -> PhaseResult | None:
        """Return the result, or none if no quorum grants the request."""
        while not self._has_quorum():
            self._call_new_voters()
            if not self.open_calls:
                return None
            await asyncio.wait(
                self.open_calls,
                return_when=asyncio.FIRST_COMPLETED,
            )
            finished = [call for call in self.open_calls if call.done()]
            self.open_calls = [
                call for call in self.open_calls if not call.done()
            ]
            granted = [self._add_reply(call.result()) for call in finished]
            if not all(granted):
                return None
        return PhaseResult(
            self._accepted_state,
            self._accepted_ballot,
            frozenset(
                reply.voter
                for reply in self._replies.values()
                if reply.accepted == self._accepted_ballot
            ),
        )

    @property
    def granted_by(self) -> set[str]:
        """Names of the voters that granted the request."""
        return set(self._replies)

    def _has_quorum(self) -> bool:
        replied = self.granted_by
        known_quorum = self._latest_chosen.has_quorum(replied)
        return known_quorum and self._accepted_state.has_quorum(replied)

    def _call_new_voters(self) -> None:
        # A reply may carry a state with voters that were not known before.
        for voter in (
            *self._latest_chosen.all_voters(),
            *self._accepted_state.all_voters(),
        ):
            if voter.name not in self._called_names:
                self._called_names.add(voter.name)
                call = self._client.call_voter(
                    voter, self._build_request(voter), PHASE_TIMEOUT_S
                )
                self.open_calls.append(asyncio.create_task(call))

    def _add_reply(self, reply: VoterReply | None) -> bool:
        """Add a reply; return whether the request may still be granted."""
        if reply is None:
            return True
        self.highest_round = max(self.highest_round, reply.promised.round)
        if reply.granted:
            self._replies[reply.voter] = reply
            state = reply.state
            if reply.accepted == self._known.ballot:
                state = self._known.state
            if state and reply.accepted > self._accepted_ballot:
                self._accepted_state = state
                self._accepted_ballot = reply.accepted
        else:
            self.refusal = reply
        return reply.granted


class Proposer:
    """Runs ballots for one control instance.

    A quorum is a majority of the voters; in a joint configuration also of the
    former voters. The voters are part of the state: a proposer that knows an
    older state finds newer voters in the replies, and then needs a quorum of
    both states.

    :param name: name of this voter; a start with an empty disk gets a new
        one, so that no two proposers ever use one name.
    :param client: sends requests to voters.
    :param latest_chosen: returns the newest state that this instance knows to
        be chosen.
    :param accepted: returns the state that this instance accepted last.
    :param rng: source of backoff times.
    """

    def __init__(
        self,
        name: str,
        client: VoterClient,
        latest_chosen: Callable[[], DeclaredState],
        accepted: Callable[[], AcceptedState],
        rng: random.Random,
    ) -> None:
        self._name = name
        self._client = client
        self._latest_chosen = latest_chosen
        self._accepted = accepted
        self._rng = rng
        self._round = 0
        self._lock = asyncio.Lock()

    async def change(self, orders: Sequence[Message]) -> DeclaredState | None:
        """Apply orders and return a chosen state that includes them.

        :param orders: applied in this order.
        :returns: none if no ballot succeeded; the orders may then be in force
            or not.
        """
        async with self._lock:
            pending = tuple(orders)
            joint_state: DeclaredState | None = None
            max_backoff_s = FIRST_BACKOFF_S
            for _ in range(MAX_BALLOTS):
                chosen = await self._run_ballot(pending, joint_state)
                if chosen is None:
                    await asyncio.sleep(self._rng.uniform(0, max_backoff_s))
                    max_backoff_s = min(max_backoff_s * 2, MAX_BACKOFF_S)
                    continue
                if chosen.applied:
                    pending = ()
                if chosen.state.voters_settled and not pending:
                    return chosen.state
                joint_state = chosen.state
        return None

    async def read(self) -> DeclaredState | None:
        """Return the newest chosen state, or none if it is not certain.

        The state may have a joint configuration. A read starts a ballot only
        if the ballot that it finds under way does not end, as it would make
        that one fail.
        """
        newest: DeclaredState | None = None
        for _ in range(READ_TRIES):
            phase = await self._inquire()
            if newest is None and phase is not None:
                newest = phase.state
            # Every quorum has a voter that accepted the newest chosen state.
            known = self._latest_chosen()
            if newest is not None and known.index >= newest.index:
                return known
            if phase is not None and await self._run_accept_phase(
                phase.ballot, phase.state, phase.accepted_by
            ):
                return phase.state
            await asyncio.sleep(self._rng.uniform(0, FIRST_BACKOFF_S))
        if newest is None:
            return None
        return await self.change(())

    async def _inquire(self) -> PhaseResult | None:
        accepted = self._accepted()
        return await self._collect_quorum(
            'inquire',
            lambda voter: Inquire(voter=voter.name, known=accepted.ballot),
            accepted,
        )

    async def _run_ballot(
        self,
        orders: Sequence[Message],
        joint_state: DeclaredState | None,
    ) -> Chosen | None:
        """Run one ballot; return none if it fails.

        :param orders: applied unless the state has a joint configuration.
        :param joint_state: state with a joint configuration that is known to
            be chosen, so that the change of voters can be finished.
        """
        self._round += 1
        ballot = Ballot(self._round, self._name)
        accepted = self._accepted()
        phase = await self._collect_quorum(
            'prepare',
            lambda voter: Prepare(
                voter=voter.name, ballot=ballot, known=accepted.ballot
            ),
            accepted,
        )
        if phase is None:
            return None
        state = phase.state
        if state.voters_settled:
            for order in orders:
                state = apply_order(state, order)
        elif joint_state is not None and is_same_state(state, joint_state):
            state = finish_voter_change(state)
        if not await self._run_accept_phase(ballot, state):
            return None
        if not (state.voters_settled and phase.state.voters_settled):
            _log.bind(
                index=state.index,
                ballot=ballot.round,
                voters=[voter.name for voter in state.voters],
                former=[voter.name for voter in state.former],
            ).info('voters change accepted')
        return Chosen(state, applied=phase.state.voters_settled)

    async def _run_accept_phase(
        self,
        ballot: Ballot,
        state: DeclaredState,
        accepted_by: frozenset[str] = frozenset(),
    ) -> bool:
        """Tell whether a quorum accepts a state; it is chosen then.

        :param ballot: the ballot of the state.
        :param state: the state.
        :param accepted_by: voters that have accepted it under this ballot.
        """
        names = set(accepted_by)
        if state.has_quorum(names):
            return True
        calls = [
            asyncio.create_task(
                self._client.call_voter(
                    voter,
                    Accept(voter=voter.name, ballot=ballot, state=state),
                    PHASE_TIMEOUT_S,
                ),
            )
            for voter in state.all_voters()
            if voter.name not in accepted_by
        ]
        try:
            for call in asyncio.as_completed(calls):
                reply = await call
                if reply is None:
                    continue
                self._round = max(self._round, reply.promised.round)
                if not reply.granted:
                    _log_failed_phase('accept', names, reply)
                    return False
                names.add(reply.voter)
                if state.has_quorum(names):
                    return True
        finally:
            self._log_late_failures(calls)
        _log_failed_phase('accept', names)
        return False

    async def _collect_quorum(
        self,
        name: str,
        build_request: Callable[[Voter], Message],
        known: AcceptedState,
    ) -> PhaseResult | None:
        collector = _QuorumCollector(
            self._latest_chosen(), self._client, build_request, known
        )
        try:
            phase = await collector.run()
        finally:
            self._round = max(self._round, collector.highest_round)
            self._log_late_failures(collector.open_calls)
        if phase is None:
            _log_failed_phase(name, collector.granted_by, collector.refusal)
        return phase

    def _log_late_failures(
        self, calls: list[asyncio.Task[VoterReply | None]]
    ) -> None:
        # Calls whose replies are not needed still run to their end, as the
        # voters act on every request.
        for call in calls:
            if not call.done():
                call.add_done_callback(_log_failure)


def _log_failed_phase(
    phase: str, granted_by: set[str], refusal: VoterReply | None = None
) -> None:
    """Log whether another ballot or silent voters made a phase fail."""
    _log.bind(
        phase=phase,
        granted_by=sorted(granted_by),
        refused_by=refusal.voter if refusal else None,
        promised=refusal.promised if refusal else None,
    ).info('ballot phase failed')


def _log_failure(call: asyncio.Task[VoterReply | None]) -> None:
    if not call.cancelled() and call.exception() is not None:
        _log.warning('voter call failed', error=repr(call.exception()))

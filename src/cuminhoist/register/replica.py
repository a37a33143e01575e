"""One control instance's part in the register."""

import abc
import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec
from returns.result import Success

from ..codec import Codec, Message
from ..fleet.instance_config import Address
from ..logging_setup import logger
from .acceptor import Acceptor
from .declared_state import (
    DeclaredState,
    ReplaceConfiguration,
    ReplaceVoters,
    Voter,
)
from .messages import Join, Learned, Submit, Submitted, VoterReply
from .proposer import Proposer, VoterClient
from .voters import next_voters

#: How often membership and unlearned states are looked at, in seconds.
ROUND_S = 0.3
#: Time for the instance that usually proposes; operators wait a second.
SUBMIT_S = 0.9
#: A state that nobody has announced for this long is looked for, in seconds.
UNLEARNED_S = 0.5
#: A voter that was silent this long may be replaced by a new instance, in
#: seconds; restarts take less.
REPLACE_AFTER_S = 3.0
#: A request for a vote counts for this long, in seconds.
JOIN_FRESH_S = 1.5
#: Voters are not replaced in the first seconds of a process, which has not
#: heard from all of them yet.
WARM_UP_S = 6.0

_log = logger('register')


class ControlPeers(abc.ABC):
    """What a replica needs of the other control instances."""

    @abc.abstractmethod
    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        """Return the answer of a control instance, or nothing.

        :param address: where it listens.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """

    @abc.abstractmethod
    def broadcast(self, msg: Message) -> None:
        """Send a message to all linked control instances.

        :param msg: the message.
        """

    @abc.abstractmethod
    def reachable_voters(self, own: str) -> set[str]:
        """Return the voters that hear this one and are heard.

        :param own: name of this voter.
        """

    @abc.abstractmethod
    def is_active_proposer(self, voter: str) -> bool:
        """Tell whether a voter was heard just now and reaches a quorum.

        :param voter: name of the voter.
        """

    @abc.abstractmethod
    def voter_silence_s(self, voter: str) -> float:
        """Return for how long a voter has been silent, in seconds.

        :param voter: name of the voter.
        """


class _Pending(msgspec.Struct):
    """An order that waits for the next ballot."""

    order: Message
    fut: asyncio.Future[DeclaredState | None]


class RegisterReplica(VoterClient):
    """Holds, changes and reads the declared state.

    :param acceptor: what this instance holds.
    :param latest_chosen: newest state that is known to be chosen, if any.
    :param address: where this instance listens.
    :param peers: the other control instances.
    :param on_learned: called with each newer chosen state.
    :param rng: source of pauses.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        known: DeclaredState | None,
        address: Address,
        peers: ControlPeers,
        on_learned: Callable[[DeclaredState], None],
        rng: random.Random,
    ) -> None:
        self.latest_chosen = known
        self._acceptor = acceptor
        self._own = Voter(acceptor.name, address)
        self._peers = peers
        self._on_learned = on_learned
        self._codec = Codec('', acceptor.name)
        self._proposer = Proposer(
            acceptor.name,
            self,
            self._known_state,
            rng,
        )
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()
        self._joining: dict[Voter, float] = {}
        self._certain = False
        self._unlearned_since: float | None = None

    @property
    def name(self) -> str:
        """Name of this instance as a voter."""
        return self._own.name

    @property
    def is_voter(self) -> bool:
        """Whether this instance has a vote in the known state."""
        return (
            self.latest_chosen is not None
            and self._own in self.latest_chosen.voters
        )

    def reaches_quorum(self, heard: set[str]) -> bool:
        """Tell whether a quorum of the voters is in reach.

        :param heard: voters that hear this instance and are heard.
        """
        if self.latest_chosen is None:
            return False
        return self.latest_chosen.has_quorum({*heard, self.name})

    async def submit(self, order: Message) -> DeclaredState | None:
        """Return the state once an order is chosen, or nothing.

        One instance proposes for all: proposers that compete make each
        other start again.

        :param order: the order.
        """
        known = self.latest_chosen
        if known is not None and _is_overtaken(order, known):
            return known
        preferred = self._preferred()
        if preferred is None or preferred == self._own:
            return await self._submit_here(order)
        reply = await self._peers.call(
            preferred.address,
            Submit(orders=(self._codec.encode(order),)),
            SUBMIT_S,
        )
        if isinstance(reply, Submitted) and reply.state is not None:
            self.learn(reply.state)
            return reply.state
        return None

    async def read(self) -> DeclaredState | None:
        """Return the newest state, or nothing if that is not certain."""
        if self.latest_chosen is None:
            return None
        state = await self._proposer.read()
        if state is not None:
            self.learn(state)
        return state

    def learn(self, state: DeclaredState) -> None:
        """Take a chosen state.

        :param state: the state.
        """
        if (
            self.latest_chosen is not None
            and state.index <= self.latest_chosen.index
        ):
            return
        self.latest_chosen = state
        _log.bind(
            index=state.index,
            version=state.version,
            drained=sorted(state.drained),
            voters=[voter.name for voter in state.voters],
        ).info('state learned')
        self._on_learned(state)

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
        if voter == self._own:
            return await self._acceptor.handle_request(msg)
        reply = await self._peers.call(voter.address, msg, timeout_s)
        return reply if isinstance(reply, VoterReply) else None

    async def handle_call(self, msg: Message) -> Message | None:
        """Return the answer to a call of another control instance.

        :param msg: the request.
        """
        if isinstance(msg, Submit):
            return await self._on_submit(msg)
        return await self._acceptor.handle_request(msg)

    def on_join(self, msg: Join) -> None:
        """Note that an instance asks for a vote.

        :param msg: the request.
        """
        voter = Voter(msg.voter, Address(msg.host, msg.port))
        loop = asyncio.get_running_loop()
        self._joining[voter] = loop.time()

    async def run_proposals(self) -> None:
        """Propose what is submitted, many orders in one ballot."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch = self._pending
            self._pending = []
            if not batch:
                continue
            state = None
            if self.latest_chosen is not None:
                state = await self._proposer.change(
                    [entry.order for entry in batch],
                )
            if state is not None:
                self.learn(state)
                self._peers.broadcast(Learned(state=state))
            for entry in batch:
                if not entry.fut.done():
                    entry.fut.set_result(state)

    async def run_membership(self) -> None:
        """Find states that nobody announced, ask for a vote, give votes."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        saved = -1
        while True:
            await asyncio.sleep(ROUND_S)
            await self._find_unlearned(loop.time())
            known = self.latest_chosen
            if known is None:
                self._ask_for_vote()
                continue
            if known.index > saved:
                saved = known.index
                await self._acceptor.remember(known)
            if not self.is_voter:
                self._ask_for_vote()
            elif self._preferred() == self._own:
                await self._give_votes(known, loop.time(), began)

    async def _find_unlearned(self, now: float) -> None:
        held = self._acceptor.held.state
        known_index = self.latest_chosen.index if self.latest_chosen else -1
        behind = held is not None and held.index > known_index
        if not behind:
            self._unlearned_since = None
        elif self._unlearned_since is None:
            self._unlearned_since = now
        waited = behind and now - (self._unlearned_since or now) > UNLEARNED_S
        if self._certain and not waited:
            return
        # The instance that proposed the state may have failed right after
        # it acknowledged it.
        state = await self.read()
        if state is not None:
            self._certain = True
            self._peers.broadcast(Learned(state=state))

    def _ask_for_vote(self) -> None:
        address = self._own.address
        self._peers.broadcast(
            Join(voter=self.name, host=address.host, port=address.port),
        )

    async def _give_votes(
        self,
        known: DeclaredState,
        now: float,
        began: float,
    ) -> None:
        fresh = [
            voter
            for voter, asked_at in self._joining.items()
            if now - asked_at < JOIN_FRESH_S and voter not in known.voters
        ]
        if not fresh or not known.settled:
            return
        voters = next_voters(
            known.voters,
            sorted(fresh),
            [
                voter
                for voter in known.voters
                if now - began > WARM_UP_S
                and self._peers.voter_silence_s(voter.name) > REPLACE_AFTER_S
            ],
        )
        if voters == known.voters:
            return
        _log.bind(voters=[voter.name for voter in voters]).info('voters change')
        order = ReplaceVoters(seen=known.index, voters=voters)
        await self._submit_here(order)

    def _preferred(self) -> Voter | None:
        if self.latest_chosen is None:
            return None
        for voter in self.latest_chosen.voters:
            if voter == self._own and self.reaches_quorum(
                self._peers.reachable_voters(self.name),
            ):
                return voter
            if self._peers.is_active_proposer(voter.name):
                return voter
        return None

    def _known_state(self) -> DeclaredState:
        if self.latest_chosen is None:
            raise RuntimeError('no state is known')
        return self.latest_chosen

    async def _submit_here(self, order: Message) -> DeclaredState | None:
        fut: asyncio.Future[DeclaredState | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(_Pending(order, fut))
        self._wake.set()
        return await fut

    async def _on_submit(self, msg: Submit) -> Submitted:
        orders = [self._codec.decode(frame) for frame in msg.orders]
        states = await asyncio.gather(
            *(
                self._submit_here(order.unwrap().message)
                for order in orders
                if isinstance(order, Success)
            ),
        )
        return Submitted(state=_newest(states))


def _is_overtaken(order: Message, known: DeclaredState) -> bool:
    if isinstance(order, ReplaceConfiguration):
        return order.version <= known.version
    return False


def _newest(states: Sequence[DeclaredState | None]) -> DeclaredState | None:
    found = [state for state in states if state is not None]
    return max(found, key=lambda state: state.index, default=None)

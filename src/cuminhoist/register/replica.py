"""Replica of the register on one control instance.

The replica sends orders to the active proposer, learns chosen states, and
keeps the voters in line with the instances that run. One instance proposes
for all, because competing proposers make each other's ballots fail.
"""

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
    DrainDomain,
    ReplaceConfiguration,
    ReplaceVoters,
    Voter,
)
from .messages import Join, Learned, Submit, Submitted, VoterReply
from .proposer import Proposer, VoterClient
from .voters import REPLACE_SILENT_AFTER_S, VoterWatch

#: How often membership and unlearned states are checked, in seconds.
MEMBERSHIP_INTERVAL_S = 0.3
#: Time-out of a call to the active proposer, in seconds; operators wait one
#: second.
SUBMIT_TIMEOUT_S = 0.9
#: An accepted state that has not been announced as chosen for this long
#: triggers a read, in seconds.
UNLEARNED_LIMIT_S = 0.5
#: A joint configuration that the active proposer has not finished for this long
#: is finished by any instance that accepted it, in seconds.
UNFINISHED_LIMIT_S = 1.2
#: The process stood still if a check of the membership is this late, in
#: seconds. It may then have missed heartbeats of running voters.
STANDSTILL_S = 1.0
#: Founders that the settings name; a deployment with fewer has no further
#: control instances.
FOUNDER_COUNT = 3
#: No voter counts as silent for this long after the start of the process, in
#: seconds: it may not have received heartbeats of all of them yet.
START_GRACE_S = 6.0

#: Interval of the checks whether a stopping instance was dropped, in seconds.
LEAVE_POLL_S = 0.05

_log = logger('register')


class ControlPeers(abc.ABC):
    """The other control instances, as a replica uses them."""

    @abc.abstractmethod
    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        """Return the reply of a control instance, or none without one.

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
    def send_to(self, address: Address, msg: Message) -> None:
        """Send a message to one linked control instance.

        :param address: where it listens.
        :param msg: the message.
        """

    @abc.abstractmethod
    def reachable_voters(self, own: str) -> set[str]:
        """Return the voters with heartbeats in both directions.

        :param own: name of this voter.
        """

    @abc.abstractmethod
    def is_active_proposer(self, voter: str) -> bool:
        """Tell whether a recent heartbeat says that a voter has a quorum.

        :param voter: name of the voter.
        """

    @abc.abstractmethod
    def voter_silence_s(self, voter: str) -> float:
        """Return for how long a voter has been silent, in seconds.

        :param voter: name of the voter.
        """

    @abc.abstractmethod
    def leaving_voters(self) -> set[str]:
        """Return the voters that say that they are about to stop."""


class _PendingOrder(msgspec.Struct):
    """An order that waits for the next ballot.

    :param order: the order.
    :param fut: gets the chosen state, or none if the ballots failed.
    """

    order: Message
    fut: asyncio.Future[DeclaredState | None]


class RegisterReplica(VoterClient):
    """Changes, reads and learns the declared state.

    :param acceptor: the acceptor of this instance.
    :param latest_chosen: newest state that is known to be chosen, if any.
    :param address: where this instance listens.
    :param peers: the other control instances.
    :param on_learned: called with each newer chosen state.
    :param rng: source of backoff times.
    :param tolerated_losses: number of control instances that may be lost at
        once.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        latest_chosen: DeclaredState | None,
        address: Address,
        peers: ControlPeers,
        on_learned: Callable[[DeclaredState], None],
        rng: random.Random,
        tolerated_losses: int = 1,
    ) -> None:
        self.latest_chosen = latest_chosen
        self._acceptor = acceptor
        self._own_voter = Voter(acceptor.name, address)
        self._peers = peers
        self._on_learned = on_learned
        self._codec = Codec('', acceptor.name)
        self._proposer = Proposer(
            acceptor.name,
            self,
            self._require_latest_chosen,
            lambda: acceptor.accepted,
            rng,
        )
        self._pending_orders: list[_PendingOrder] = []
        self._orders_submitted = asyncio.Event()
        self._voter_watch = VoterWatch(
            self._own_voter,
            peers.voter_silence_s,
            peers.leaving_voters,
            tolerated_losses,
        )
        self._has_read = False
        self._leaving = False
        #: Loop time of the start; infinite before it.
        self._started_at = float('inf')
        self._unlearned_since: float | None = None

    @property
    def name(self) -> str:
        """Name of this instance as a voter."""
        return self._own_voter.name

    @property
    def known_index(self) -> int:
        """Index of the latest known state; -1 for none."""
        return -1 if self.latest_chosen is None else self.latest_chosen.index

    @property
    def is_voter(self) -> bool:
        """Whether the latest known state lists this instance as a voter."""
        return (
            self.latest_chosen is not None
            and self._own_voter in self.latest_chosen.voters
        )

    async def leave(self, least_s: float, most_s: float) -> None:
        """Leave the voters, if the others are enough, before a stop.

        The others drop this instance once they have heard that it stops. It
        stays for that long if there are more voters than necessary.

        :param least_s: shortest time until it may stop, in seconds.
        :param most_s: longest time, in seconds.
        """
        self._leaving = True
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        await asyncio.sleep(least_s)
        while loop.time() - began_at < most_s and self._may_be_dropped:
            await asyncio.sleep(LEAVE_POLL_S)

    @property
    def _may_be_dropped(self) -> bool:
        known = self.latest_chosen
        if known is None or self._own_voter not in known.all_voters():
            return False
        return len(known.all_voters()) > known.founding_size

    def reaches_quorum(self, reachable: set[str]) -> bool:
        """Tell whether this instance reaches a quorum of the voters.

        :param reachable: voters with heartbeats in both directions.
        """
        if self.latest_chosen is None:
            return False
        return self.latest_chosen.has_quorum({*reachable, self.name})

    async def submit(self, order: Message) -> DeclaredState | None:
        """Return a chosen state after an order, or none if it is not certain.

        The order goes to the active proposer. If none is known, this instance
        proposes it. A drain that does not say what was known when it arrived
        has arrived just now.

        :param order: the order.
        """
        known = self.latest_chosen
        if known is not None and _is_outdated(order, known):
            return known
        if self._is_forming:
            _log.info('order refused: voters are still being added')
            return None
        if isinstance(order, DrainDomain) and order.seen is None:
            order = msgspec.structs.replace(order, seen=self.known_index)
        proposer = self._find_active_proposer()
        if proposer is None or proposer == self._own_voter:
            return await self._submit_locally(order)
        encoded = self._codec.try_encode(order)
        if not isinstance(encoded, Success):
            _log.bind(reason=encoded.failure()).error('order cannot be sent')
            return None
        reply = await self._peers.call(
            proposer.address,
            Submit(orders=(encoded.unwrap(),)),
            SUBMIT_TIMEOUT_S,
        )
        if isinstance(reply, Submitted) and reply.state is not None:
            self.learn(reply.state)
            return reply.state
        return None

    async def read(self) -> DeclaredState | None:
        """Return the newest chosen state, or none if it is not certain."""
        if self.latest_chosen is None:
            return None
        state = await self._proposer.read()
        # A joint configuration stays unlearned until it is finished, so that
        # the instances that accepted it notice if nobody finishes it.
        if state is not None and state.voters_settled:
            self.learn(state)
        return state

    def learn(self, state: DeclaredState) -> None:
        """Apply a chosen state if it is newer than the known one.

        :param state: the chosen state.
        """
        if (
            self.latest_chosen is not None
            and state.index <= self.latest_chosen.index
        ):
            return
        self.latest_chosen = state
        _log.bind(
            index=state.index,
            version=state.shown_version,
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
        """Return the reply of a voter, or none if there is none in time.

        :param voter: the voter.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        if voter == self._own_voter:
            return await self._acceptor.handle_request(msg)
        reply = await self._peers.call(voter.address, msg, timeout_s)
        return reply if isinstance(reply, VoterReply) else None

    async def handle_call(self, msg: Message) -> Message | None:
        """Return the reply to a call of another control instance.

        :param msg: the request.
        """
        if isinstance(msg, Submit):
            return await self._on_submit(msg)
        return await self._acceptor.handle_request(msg)

    def on_join(self, msg: Join) -> None:
        """Record that an instance asks to join the voters.

        :param msg: the request.
        """
        voter = Voter(msg.voter, Address(msg.host, msg.port))
        loop = asyncio.get_running_loop()
        self._voter_watch.record_join(voter, loop.time())

    async def run_proposals(self) -> None:
        """Propose submitted orders; one ballot takes all that wait."""
        while True:
            await self._orders_submitted.wait()
            self._orders_submitted.clear()
            batch = self._pending_orders
            self._pending_orders = []
            if batch:
                await self._propose(batch)

    async def run_membership(self) -> None:
        """Learn unannounced states, ask to join the voters, and add others."""
        loop = asyncio.get_running_loop()
        self._started_at = loop.time()
        self._voter_watch.restart(
            loop.time() + START_GRACE_S - REPLACE_SILENT_AFTER_S
        )
        saved_index = -1
        checked_at = loop.time()
        while True:
            await asyncio.sleep(MEMBERSHIP_INTERVAL_S)
            if (
                loop.time() - checked_at > STANDSTILL_S
                or not self.reaches_quorum(
                    self._peers.reachable_voters(self.name)
                )
            ):
                # Silences may be those of this instance itself.
                self._voter_watch.restart(loop.time())
            checked_at = loop.time()
            await self._learn_unannounced_state(loop.time())
            known = self.latest_chosen
            if known is None:
                self._ask_to_join()
                continue
            if known.index > saved_index:
                saved = await self._acceptor.save_learned(known)
                saved_index = known.index if saved else saved_index
            if self._leaving:
                continue
            if not self.is_voter:
                self._ask_to_join()
            elif self._find_active_proposer() == self._own_voter:
                await self._update_voters(known, loop.time())

    async def _propose(self, batch: list[_PendingOrder]) -> None:
        """Propose orders in one ballot, and tell their submitters.

        If that raises an error, each is proposed by itself, so that an order
        that cannot be stored or sent fails alone.
        """
        state = None
        try:
            state = await self._choose([entry.order for entry in batch])
        except Exception:
            _log.bind(orders=len(batch)).exception('proposal failed')
            if len(batch) > 1:
                for entry in batch:
                    await self._propose([entry])
                return
        for entry in batch:
            if not entry.fut.done():
                entry.fut.set_result(state)

    async def _choose(self, orders: list[Message]) -> DeclaredState | None:
        if self.latest_chosen is None:
            return None
        state = await self._proposer.change(orders)
        if state is not None:
            self.learn(state)
            self._peers.broadcast(Learned(state=state))
        return state

    async def _learn_unannounced_state(self, now: float) -> None:
        accepted = self._acceptor.accepted.state
        behind = accepted is not None and accepted.index > self.known_index
        if not behind:
            self._unlearned_since = None
        elif self._unlearned_since is None:
            self._unlearned_since = now
        overdue = (
            behind and now - (self._unlearned_since or now) > UNLEARNED_LIMIT_S
        )
        if self._has_read and not overdue:
            return
        # The proposer may have failed after it acknowledged the state and
        # before it announced it.
        state = await self.read()
        if state is None:
            return
        self._has_read = True
        if state.voters_settled:
            self._peers.broadcast(Learned(state=state))
        elif self._should_finish_voter_change(now):
            await self._choose([])

    def _should_finish_voter_change(self, now: float) -> bool:
        """Tell whether this instance finishes a joint configuration.

        The active proposer does, and any other instance if it does not.

        :param now: loop time in seconds.
        """
        if self._find_active_proposer() in {None, self._own_voter}:
            return True
        unlearned_since = self._unlearned_since
        return (
            unlearned_since is not None
            and now - unlearned_since > UNFINISHED_LIMIT_S
        )

    def _ask_to_join(self) -> None:
        address = self._own_voter.address
        msg = Join(voter=self.name, host=address.host, port=address.port)
        proposer = self._find_active_proposer()
        if proposer is None:
            self._peers.broadcast(msg)
        else:
            self._peers.send_to(proposer.address, msg)

    async def _update_voters(self, known: DeclaredState, now: float) -> None:
        voters = self._voter_watch.next_voters(known, now)
        if not known.voters_settled or voters == known.voters:
            return
        log = _log.bind(voters=[voter.name for voter in voters])
        log.bind(index=known.index).info('voters change')
        order = ReplaceVoters(
            seen=known.index, voters=voters, former=known.voters
        )
        state = await self._submit_locally(order)
        outcome = 'no quorum'
        if state is not None:
            outcome = 'in force' if state.voters == voters else 'void'
        log.bind(index=state.index if state else None, outcome=outcome).info(
            'voters change ended'
        )

    def _find_active_proposer(self) -> Voter | None:
        if self.latest_chosen is None:
            return None
        for voter in self.latest_chosen.voters:
            if voter == self._own_voter and self.reaches_quorum(
                self._peers.reachable_voters(self.name),
            ):
                return voter
            if self._peers.is_active_proposer(voter.name):
                return voter
        return None

    def _require_latest_chosen(self) -> DeclaredState:
        if self.latest_chosen is None:
            raise RuntimeError(
                'the replica has not learned any chosen state yet'
            )
        return self.latest_chosen

    async def _submit_locally(self, order: Message) -> DeclaredState | None:
        fut: asyncio.Future[DeclaredState | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_orders.append(_PendingOrder(order, fut))
        self._orders_submitted.set()
        return await fut

    @property
    def _is_forming(self) -> bool:
        """Whether the first start still adds voters that losses ask for.

        An order that is acknowledged before might be lost with fewer disks
        than the deployment may lose. Where too few instances start for that,
        orders are taken once none of them is left to be added.
        """
        known = self.latest_chosen
        if known is None:
            return False
        least = self._voter_watch.least_voters
        if max(known.founding_size, len(known.voters)) >= least:
            return False
        if len(known.voters) < FOUNDER_COUNT:
            return False
        names = {voter.name for voter in known.voters}
        if not self._peers.reachable_voters(self.name) <= names:
            return True
        # Others may not be linked yet.
        running_s = asyncio.get_running_loop().time() - self._started_at
        return not known.has_configuration and running_s < START_GRACE_S

    async def _on_submit(self, msg: Submit) -> Submitted:
        if self._is_forming:
            return Submitted()
        orders = [self._codec.decode(frame) for frame in msg.orders]
        states = await asyncio.gather(
            *(
                self._submit_locally(order.unwrap().message)
                for order in orders
                if isinstance(order, Success)
            ),
        )
        return Submitted(state=_newest(states))


def _is_outdated(order: Message, known: DeclaredState) -> bool:
    if isinstance(order, ReplaceConfiguration):
        return known.includes_version(order.version)
    return False


def _newest(states: Sequence[DeclaredState | None]) -> DeclaredState | None:
    chosen = [state for state in states if state is not None]
    return max(chosen, key=lambda state: state.index, default=None)

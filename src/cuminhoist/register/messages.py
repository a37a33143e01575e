"""Messages of the register: ballots, orders, chosen states, joins."""

from typing import ClassVar

import msgspec

from ..codec import Message, register_message
from .declared_state import DeclaredState


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Number of a ballot; a voter that promised it refuses lower ones.

    :param round: compared first; a proposer takes a higher round than all
        that it has seen.
    :param proposer: name of the proposer; orders ballots of equal rounds.
    """

    round: int = 0
    proposer: str = ''


class AcceptedState(msgspec.Struct, frozen=True):
    """The state that an acceptor accepted last.

    :param ballot: the ballot under which it was accepted; it is used for one
        state only.
    :param state: the accepted state; none before the first.
    """

    ballot: Ballot = Ballot()
    state: DeclaredState | None = None


@register_message
class Prepare(Message, frozen=True):
    """Asks a voter for a promise and for its accepted state.

    The voter promises to refuse lower ballots.

    :param voter: name of the voter that shall reply.
    :param ballot: the ballot to be promised.
    :param known: ballot of the state that the sender has accepted; a reply
        leaves out the same state.
    """

    voter: str
    ballot: Ballot
    known: Ballot = Ballot()


@register_message
class Accept(Message, frozen=True):
    """Asks a voter to accept a state and to store it durably.

    :param voter: name of the voter that shall reply.
    :param ballot: the ballot under which the state is proposed.
    :param state: the proposed state.
    """

    voter: str
    ballot: Ballot
    state: DeclaredState


@register_message
class Inquire(Message, frozen=True):
    """Asks a voter for its accepted state, without a promise.

    :param voter: name of the voter that shall reply.
    :param known: ballot of the state that the sender has accepted; a reply
        leaves out the same state.
    """

    voter: str
    known: Ballot = Ballot()


@register_message
class VoterReply(Message, frozen=True):
    """Reply of a voter.

    :param voter: name of the voter.
    :param granted: whether the voter did as the request asked.
    :param promised: highest ballot that the voter has promised.
    :param accepted: ballot of its accepted state.
    :param state: its accepted state, in replies to Prepare and Inquire,
        unless the sender has accepted it under the same ballot.
    """

    frame_name: ClassVar[str] = 'Verdict'

    voter: str
    granted: bool
    promised: Ballot
    accepted: Ballot = Ballot()
    state: DeclaredState | None = None


@register_message
class Submit(Message, frozen=True):
    """Sends orders to the active proposer.

    :param orders: the encoded orders.
    """

    orders: tuple[bytes, ...]


@register_message
class Submitted(Message, frozen=True):
    """Reply to submitted orders.

    :param state: the chosen state after the orders; none if no quorum chose
        one.
    """

    state: DeclaredState | None = None


@register_message
class Learned(Message, frozen=True):
    """Announces a chosen state."""

    state: DeclaredState


@register_message
class Join(Message, frozen=True):
    """Asks the active proposer to add an instance to the voters.

    :param voter: name of the instance as a voter.
    :param host: host at which it listens for other instances.
    :param port: port at which it listens for other instances.
    """

    voter: str
    host: str
    port: int

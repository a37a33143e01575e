"""Messages between proposers and acceptors of the register."""

from typing import ClassVar

import msgspec

from ..codec import Message, register_message
from .declared_state import DeclaredState


class Ballot(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Orders attempts to change the register.

    :param round: higher than all that the proposer has seen.
    :param proposer: name of the proposer; tells equal rounds apart.
    """

    round: int = 0
    proposer: str = ''


@register_message
class Prepare(Message, frozen=True):
    """Asks a voter to refuse lower ballots and to tell what it holds.

    :param voter: whom the request is for.
    """

    voter: str
    ballot: Ballot


@register_message
class Accept(Message, frozen=True):
    """Asks a voter to hold a state durably.

    :param voter: whom the request is for.
    """

    voter: str
    ballot: Ballot
    state: DeclaredState


@register_message
class Inquire(Message, frozen=True):
    """Asks a voter what it holds, without a promise."""

    voter: str


@register_message
class VoterReply(Message, frozen=True):
    """Answer of a voter.

    :param granted: whether the request was followed.
    :param promised: highest ballot that the voter has seen.
    :param accepted: ballot of the state that it holds.
    :param state: that state, if the request asked for it.
    """

    frame_name: ClassVar[str] = 'Verdict'

    voter: str
    granted: bool
    promised: Ballot
    accepted: Ballot = Ballot()
    state: DeclaredState | None = None


@register_message
class Submit(Message, frozen=True):
    """Hands orders to the control instance that usually proposes.

    :param orders: the encoded orders.
    """

    orders: tuple[bytes, ...]


@register_message
class Submitted(Message, frozen=True):
    """Answer to submitted orders.

    :param state: the state with the orders in it; none if it failed.
    """

    state: DeclaredState | None = None


@register_message
class Learned(Message, frozen=True):
    """A state that a quorum holds."""

    state: DeclaredState


@register_message
class Join(Message, frozen=True):
    """Asks for a vote."""

    voter: str
    host: str
    port: int

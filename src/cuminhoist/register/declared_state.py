"""The declared state and the orders that change it."""

from typing import Self

import msgspec

from ..codec import Message, register_message
from ..fleet.instance_config import Address


class Voter(msgspec.Struct, frozen=True, order=True):
    """A control instance that holds copies of the declared state.

    :param name: its host, with a random part once its disk was empty at a
        start; an instance that has lost its disk is another voter.
    :param address: where it listens for other instances.
    """

    name: str
    address: Address


class DeclaredState(msgspec.Struct, frozen=True):
    """Everything that operators have declared, with those who hold it.

    :param index: counts the changes; a higher one is newer.
    :param version: version of the configuration; 0 before the first one.
    :param body: the configuration as it was sent.
    :param drained: failure domains whose targets get nothing.
    :param voters: who holds the state.
    :param former: the voters before an unfinished change of voters;
        otherwise the same as the voters.
    """

    index: int = 0
    version: int = 0
    body: bytes = b''
    drained: frozenset[str] = frozenset()
    voters: tuple[Voter, ...] = ()
    former: tuple[Voter, ...] = ()

    @classmethod
    def from_founders(cls, founders: tuple[Address, ...]) -> Self:
        """Return the state of a new deployment.

        :param founders: where its first control instances listen.
        """
        voters = tuple(
            sorted(Voter(founder.host, founder) for founder in founders),
        )
        return cls(voters=voters, former=voters)

    @property
    def settled(self) -> bool:
        """Whether no change of voters is unfinished."""
        return self.voters == self.former

    def all_voters(self) -> tuple[Voter, ...]:
        """Return all present and former voters."""
        return tuple(sorted({*self.voters, *self.former}))

    def has_quorum(self, names: set[str]) -> bool:
        """Tell whether voters are a majority of both groups.

        :param names: names of the voters that agreed.
        """
        return _majority(self.voters, names) and _majority(self.former, names)


def _majority(voters: tuple[Voter, ...], names: set[str]) -> bool:
    agreed = sum(voter.name in names for voter in voters)
    return 2 * agreed > len(voters)


@register_message
class ReplaceConfiguration(Message, frozen=True):
    """Puts a configuration in force if its version is higher."""

    version: int
    body: bytes


@register_message
class DrainDomain(Message, frozen=True):
    """Starts or ends the drain of a failure domain."""

    domain: str
    drained: bool


@register_message
class ReplaceVoters(Message, frozen=True):
    """Starts a change of voters; refused while another is unfinished.

    :param seen: index of the state that the author knew.
    """

    seen: int
    voters: tuple[Voter, ...]


Order = ReplaceConfiguration | DrainDomain | ReplaceVoters


def apply_order(state: DeclaredState, order: Message) -> DeclaredState:
    """Return the state after an order; the same one if nothing changes.

    :param state: the state before it.
    :param order: the order.
    """
    if isinstance(order, ReplaceConfiguration):
        if order.version <= state.version:
            return state
        return _next(state, version=order.version, body=order.body)
    if isinstance(order, DrainDomain):
        drained = state.drained - {order.domain}
        if order.drained:
            drained |= {order.domain}
        if drained == state.drained:
            return state
        return _next(state, drained=drained)
    if isinstance(order, ReplaceVoters):
        if not state.settled or order.seen != state.index:
            return state
        return _next(state, voters=tuple(sorted(order.voters)))
    return state


def finish_voters(state: DeclaredState) -> DeclaredState:
    """Return the state once the former voters are no longer needed.

    :param state: a state with an unfinished change of voters.
    """
    return _next(state, former=state.voters)


def _next(state: DeclaredState, **changes: object) -> DeclaredState:
    return msgspec.structs.replace(state, index=state.index + 1, **changes)

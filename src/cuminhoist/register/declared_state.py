"""The declared state and the orders that change it.

The voters are part of the state. They change by a joint configuration: the
new and the former voters both have to form a majority until the change is
finished, so that no two disjoint groups can choose states.
"""

from typing import Self

import msgspec

from ..codec import Message, register_message
from ..fleet.instance_config import Address


class Voter(msgspec.Struct, frozen=True, order=True):
    """A control instance that votes on the declared state and stores it.

    :param name: its host; an instance that started with an empty disk adds
        a random suffix, as without its promises it is another voter.
    :param address: where it listens for other instances.
    """

    name: str
    address: Address

    @property
    def is_founding(self) -> bool:
        """Whether it has kept its disk since the deployment's first start."""
        return self.name == self.address.host


class DeclaredState(msgspec.Struct, frozen=True):
    """Everything that operators have declared, and the voters.

    :param index: number of changes so far; the higher index is newer.
    :param version: version of the configuration. Operators may number from
        0, which is also the value before the first configuration;
        ``has_configuration`` tells them apart.
    :param body: the configuration as the operator sent it; empty before the
        first one.
    :param drained: failure domains whose targets get no requests.
    :param voters: the present voters.
    :param former: in a joint configuration the voters before the change;
        otherwise equal to ``voters``.
    :param founding_size: largest number of voters so far that have kept their
        disks since the first start of the deployment; 0 if a build wrote the
        state that does not know this field.
    :param drain_indexes: for each failure domain, index of the state that its
        newest order led to; without those that a build decided that does not
        know this field.
    """

    index: int = 0
    version: int = 0
    body: bytes = b''
    drained: frozenset[str] = frozenset()
    voters: tuple[Voter, ...] = ()
    former: tuple[Voter, ...] = ()
    founding_size: int = 0
    drain_indexes: dict[str, int] = {}

    @classmethod
    def from_founders(cls, founders: tuple[Address, ...]) -> Self:
        """Return the initial state of a new deployment.

        :param founders: where its first control instances listen.
        """
        voters = tuple(
            sorted(Voter(founder.host, founder) for founder in founders),
        )
        return cls(voters=voters, former=voters, founding_size=len(voters))

    def without_body(self) -> Self:
        """Return the state without the encoded configuration."""
        return msgspec.structs.replace(self, body=b'')

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        return bool(self.body)

    @property
    def shown_version(self) -> int:
        """Version of the configuration for logs and metrics; -1 for none."""
        return self.version if self.has_configuration else -1

    def includes_version(self, version: int) -> bool:
        """Tell whether a configuration or a newer one is in force.

        :param version: version of the configuration.
        """
        return self.has_configuration and self.version >= version

    @property
    def voters_settled(self) -> bool:
        """Whether no joint configuration is in force."""
        return self.voters == self.former

    def all_voters(self) -> tuple[Voter, ...]:
        """Return the present and former voters, sorted."""
        return tuple(sorted({*self.voters, *self.former}))

    def has_quorum(self, names: set[str]) -> bool:
        """Tell whether voters are a majority of present and former voters.

        :param names: names of the voters that agreed.
        """
        return _is_majority(self.voters, names) and _is_majority(
            self.former, names
        )


def _is_majority(voters: tuple[Voter, ...], names: set[str]) -> bool:
    agreed = sum(voter.name in names for voter in voters)
    return 2 * agreed > len(voters)


@register_message
class ReplaceConfiguration(Message, frozen=True):
    """Applies a configuration if its version is higher."""

    version: int
    body: bytes


@register_message
class DrainDomain(Message, frozen=True):
    """Starts or ends the drain of a failure domain.

    :param domain: the failure domain.
    :param drained: whether its targets get no requests.
    :param seen: index of the newest state that the instance knew when the
        order arrived there. The order changes nothing if a newer order for
        the domain has been decided since. None if a build sent it that does
        not know this field.
    """

    domain: str
    drained: bool
    seen: int | None = None


@register_message
class ReplaceVoters(Message, frozen=True):
    """Starts a change of voters; no effect in a joint configuration.

    :param seen: index of the state that the new voters were derived from.
    :param voters: the new voters.
    :param former: the voters of that state; the order has no effect if the
        voters are others, and orders of operators do not affect it. None if a
        build made it that does not know this field; it then has no effect on
        any other state than that of ``seen``.
    """

    seen: int
    voters: tuple[Voter, ...]
    former: tuple[Voter, ...] | None = None


Order = ReplaceConfiguration | DrainDomain | ReplaceVoters


def apply_order(state: DeclaredState, order: Message) -> DeclaredState:
    """Return the state after an order, or ``state`` if nothing changes.

    :param state: the state before the order.
    :param order: the order.
    """
    if isinstance(order, ReplaceConfiguration):
        if state.includes_version(order.version):
            return state
        return _next_state(state, version=order.version, body=order.body)
    if isinstance(order, DrainDomain):
        return _apply_drain(state, order)
    if isinstance(order, ReplaceVoters):
        if not state.voters_settled or _is_overtaken(order, state):
            return state
        founding_size = max(
            state.founding_size,
            _founding_voters(state.voters),
            _founding_voters(order.voters),
        )
        return _next_state(
            state,
            voters=tuple(sorted(order.voters)),
            founding_size=founding_size,
        )
    return state


def _is_overtaken(order: ReplaceVoters, state: DeclaredState) -> bool:
    """Tell whether the voters may be others than those it was derived from."""
    if order.former is None:
        return order.seen != state.index
    return order.former != state.voters


def _apply_drain(state: DeclaredState, order: DrainDomain) -> DeclaredState:
    drained = state.drained - {order.domain}
    if order.drained:
        drained |= {order.domain}
    is_in_force = drained == state.drained
    if order.seen is None:
        return state if is_in_force else _next_state(state, drained=drained)
    newest = state.drain_indexes.get(order.domain, order.seen)
    if newest > order.seen and not is_in_force:
        return state
    # An order that changes nothing is newer than one that is still on its way.
    indexes = {**state.drain_indexes, order.domain: state.index + 1}
    return _next_state(state, drained=drained, drain_indexes=indexes)


def finish_voter_change(state: DeclaredState) -> DeclaredState:
    """Return the state that ends a joint configuration.

    :param state: a chosen state with a joint configuration.
    """
    return _next_state(state, former=state.voters)


def is_same_state(state: DeclaredState, other: DeclaredState) -> bool:
    """Tell whether two states are the same, whichever build wrote them.

    :param state: a state.
    :param other: another one.
    """
    return state == msgspec.structs.replace(
        other,
        founding_size=state.founding_size,
        drain_indexes=state.drain_indexes,
    )


def _founding_voters(voters: tuple[Voter, ...]) -> int:
    return sum(voter.is_founding for voter in voters)


def _next_state(state: DeclaredState, **changes: object) -> DeclaredState:
    return msgspec.structs.replace(state, index=state.index + 1, **changes)

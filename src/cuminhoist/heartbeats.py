"""Heartbeat messages between entry instances."""

import msgspec

from .codec import Message, register_message


class ServiceSlots(msgspec.Struct, frozen=True, array_like=True):
    """Slots of a service at the sender's own targets."""

    free: int
    usable: int


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """What a former owner still has running at a target.

    :param running: slots that may still be in use.
    :param remaining_s: time until all of them are certainly free.
    """

    running: int
    remaining_s: float


class PeerSummary(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has heard directly about another instance.

    :param age_s: time since it was heard.
    """

    name: str
    incarnation: str
    epoch: int
    leaving: bool
    age_s: float


@register_message
class Heartbeat(Message, frozen=True):
    """The state of the sender.

    :param epoch: current epoch of its key tickets.
    :param ready: whether it holds a lease and may own targets.
    :param version: version of the configuration in force there.
    :param held: targets that it owns.
    :param claims: targets that it wants to own.
    :param leaving_targets: targets that it saw leaving itself.
    """

    incarnation: str
    epoch: int = 0
    leaving: bool = False
    ready: bool = False
    version: int = -1
    services: dict[str, ServiceSlots] = {}
    held: tuple[str, ...] = ()
    claims: tuple[str, ...] = ()
    leaving_targets: tuple[str, ...] = ()


@register_message
class HeartbeatReply(Message, frozen=True):
    """The state of the receiver and its decision on the claims.

    :param denied: targets that the receiver owns or claims itself.
    :param handovers: claimed targets that the receiver released.
    :param peer_summaries: other instances; only sent to other domains.
    """

    state: Heartbeat
    denied: tuple[str, ...] = ()
    handovers: dict[str, Handover] = {}
    peer_summaries: tuple[PeerSummary, ...] = msgspec.field(
        name='briefs',
        default=(),
    )

"""Heartbeat messages between entry instances.

Domain peers exchange them to claim targets; partners in different domains
exchange them to see each other's state.
"""

import msgspec

from .codec import Message, register_message


class ServiceSlots(msgspec.Struct, frozen=True, array_like=True):
    """Slots of a service at the targets that the sender owns.

    :param usable: slots that may be in use.
    :param free: usable slots that are not in use.
    """

    free: int
    usable: int


class Handover(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a former owner that may still run at a target.

    :param running: slots that may still be in use.
    :param remaining_s: seconds until all of them are certainly free.
    """

    running: int
    remaining_s: float


class PeerSummary(msgspec.Struct, frozen=True, array_like=True):
    """Summary of the last heartbeat that the sender got from an instance.

    :param epoch: epoch of the key tickets of that instance.
    :param leaving: whether that instance announced a planned stop.
    :param age_s: seconds since that heartbeat.
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
    :param leaving: whether it is in a planned stop.
    :param ready: whether it has a valid lease and may own targets.
    :param version: version of the configuration in force there; -1 for none.
    :param services: slots of each service.
    :param held: targets that it owns.
    :param claims: targets that it claims.
    :param leaving_targets: targets that sent it the leaving signal.
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
    :param handovers: what may still run at claimed targets that the receiver
        released.
    :param peer_summaries: summaries of the receiver's domain peers; only
        sent to other domains.
    """

    state: Heartbeat
    denied: tuple[str, ...] = ()
    handovers: dict[str, Handover] = {}
    peer_summaries: tuple[PeerSummary, ...] = msgspec.field(
        name='briefs',
        default=(),
    )

"""What an entry instance asks for a request, and what it is told."""

import enum

import msgspec


class PlacementRequest(msgspec.Struct, frozen=True):
    """A request that needs a target.

    :param number: identity among the requests of one entry instance.
    :param key: identity of the object that the request is about, or empty.
    :param objective_left_s: time in which an answer is of full use, in
        seconds; not positive if that time is over.
    :param left_s: time until the final answer is due, in seconds.
    :param allowed_regions: regions that may serve it; empty for all.
    :param excluded: targets that it was sent to before.
    """

    number: int
    service: str
    key: str
    objective_left_s: float = msgspec.field(name='useful_s')
    left_s: float
    allowed_regions: frozenset[str] = msgspec.field(
        name='homes',
        default=frozenset(),
    )
    excluded: tuple[str, ...] = ()


class Granted(msgspec.Struct, frozen=True, tag=True):
    """The request may be sent to a target now.

    :param target: name of the target.
    :param waited_s: how long it waited for a slot, in seconds.
    :param held: whether the target is taken to hold its object.
    :param region: region of the target.
    """

    number: int
    target: str
    waited_s: float = 0
    held: bool = False
    region: str = ''


class RefusalReason(enum.StrEnum):
    """Why a request gets no target."""

    no_target = 'no-target'
    overload = 'overload'


class Refused(msgspec.Struct, frozen=True, tag=True):
    """The request is not sent to any target.

    :param retry_after_s: when the caller may come back, in seconds.
    :param wait_s: shortest wait for any target, in seconds.
    """

    number: int
    reason: RefusalReason
    retry_after_s: float
    wait_s: float = 0


Decision = Granted | Refused


class Ending(enum.StrEnum):
    """How an attempt ended, as far as the choice of targets goes."""

    answered = 'answered'
    #: A failure of the target's own, such as status 500.
    failed = 'failed'
    #: The target stated that it did not run the request.
    shed = 'shed'
    #: The same, although it had free slots.
    declined = 'declined'
    #: Another target has the address.
    misdirected = 'misdirected'
    #: The connection was lost or carried no valid answer.
    lost = 'lost'
    unreachable = 'unreachable'
    timeout = 'timeout'
    #: The caller left, or the attempt was never made; says nothing.
    withdrawn = 'withdrawn'


class AttemptReport(msgspec.Struct, frozen=True):
    """The end of an attempt that was granted.

    :param run_s: time from the sending to the whole answer, in seconds.
    """

    number: int
    target: str
    service: str
    key: str
    ending: Ending
    run_s: float

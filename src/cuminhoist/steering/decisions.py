"""Messages between an entry instance and its dispatcher about requests."""

import enum

import msgspec

from .target_load import TargetLoad


class PlacementRequest(msgspec.Struct, frozen=True, array_like=True):
    """A placement request: one client request that needs a target.

    :param number: identifier, unique within one entry instance.
    :param key: identity of the object that the request uses, or empty.
    :param objective_left_s: time until the objective, in seconds; zero or
        negative once the objective has passed.
    :param left_s: time until the final deadline, in seconds.
    :param allowed_regions: regions that may serve it; empty for all.
    :param excluded: names of targets that were already tried.
    :param priority: rank of the request, 0 for the most urgent.
    :param workspace: name of its workspace; empty for none.
    :param domain: failure domain whose targets are preferred; empty for none.
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
    priority: int = 0
    workspace: str = ''
    domain: str = ''


class Granted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The request may be sent to a target now.

    :param target: name of the target.
    :param waited_s: how long the request waited for a slot, in seconds.
    :param held: whether a cache hit is expected at the target.
    :param region: region of the target.
    """

    number: int
    target: str
    waited_s: float = 0
    held: bool = False
    region: str = ''


class RefusalReason(enum.StrEnum):
    """Why a placement request is refused."""

    no_target = 'no-target'
    overload = 'overload'
    over_allowance = 'over-allowance'


class Refused(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The request is not sent to any target.

    :param retry_after_s: delay after which the caller may retry, in seconds.
    :param wait_s: shortest estimated wait for a slot, in seconds.
    """

    number: int
    reason: RefusalReason
    retry_after_s: float
    wait_s: float = 0


Decision = Granted | Refused


class Ending(enum.StrEnum):
    """How an attempt ended, as far as it matters for choosing targets."""

    answered = 'answered'
    #: The target failed by itself, for example with status 500.
    failed = 'failed'
    #: The target rejected the request without running it.
    shed = 'shed'
    #: The target rejected the request although it had free slots.
    declined = 'declined'
    #: The address now belongs to another target.
    misdirected = 'misdirected'
    #: The connection closed early or carried no valid answer.
    lost = 'lost'
    unreachable = 'unreachable'
    timeout = 'timeout'
    #: The caller disconnected or the attempt was never sent, so the ending
    #: is no evidence about the target.
    withdrawn = 'withdrawn'


class AttemptReport(msgspec.Struct, frozen=True, array_like=True):
    """Tells the dispatcher that a granted attempt has ended.

    :param run_s: time from sending the request to receiving the complete
        answer, in seconds.
    :param pause_s: how long the target asked this entry instance to send it
        no requests, in seconds; 0 for no pause.
    :param target_started_at_ms: Unix time of the start of the target in
        milliseconds; 0 if unknown.
    :param limit_per_s: requests per second that the target takes from all
        instances together; infinite if its answer names no limit, None if no
        answer of it arrived.
    :param load: load of the target; None if its answer does not tell.
    """

    number: int
    target: str
    service: str
    key: str
    ending: Ending
    run_s: float
    pause_s: float = 0
    target_started_at_ms: int = 0
    limit_per_s: float | None = None
    load: TargetLoad | None = None

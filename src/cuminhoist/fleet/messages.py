"""Messages by which instances know of each other."""

from typing import ClassVar

import msgspec

from ..codec import Message, register_message
from ..steering.decisions import (
    AttemptReport,
    Granted,
    PlacementRequest,
    Refused,
)
from ..steering.demand import Demand
from ..steering.targets import TargetEntry
from .instance_config import Address


class ControlEndpoint(msgspec.Struct, frozen=True, order=True):
    """A control instance as others name it."""

    name: str
    address: Address
    domain: str
    region: str


class EntryEndpoint(msgspec.Struct, frozen=True, order=True):
    """An entry instance that takes requests.

    :param request_address: where it listens for requests.
    """

    name: str
    request_address: Address = msgspec.field(name='callers')
    domain: str
    region: str


@register_message
class Hello(Message, frozen=True):
    """First message on a link, from both sides.

    :param incarnation: identity of this start of the process.
    :param request_address: where it listens for requests; entry instances only.
    """

    name: str
    incarnation: str = msgspec.field(name='life')
    address: Address
    domain: str
    region: str
    control: bool
    request_address: Address | None = msgspec.field(
        name='callers',
        default=None,
    )


@register_message
class ReadinessNotice(Message, frozen=True):
    """What an entry instance says of itself, regularly.

    :param ready: whether it takes requests and does not leave.
    """

    frame_name: ClassVar[str] = 'Standing'

    ready: bool


@register_message
class ControlHeartbeat(Message, frozen=True):
    """What a control instance says to the others, regularly.

    :param index: of the newest declared state that it knows.
    :param hears: voters that it has heard lately.
    :param voter: its name as a voter.
    :param entries: entry instances that are linked to it and take requests.
    :param controls: control instances that it is linked to.
    :param demand: what its region's requests need.
    :param leaving: whether it is about to stop.
    :param confirmed: whether it reaches a quorum of the voters.
    """

    frame_name: ClassVar[str] = 'Beat'

    index: int
    confirmed: bool
    hears: frozenset[str]
    voter: str
    entries: tuple[EntryEndpoint, ...]
    controls: tuple[ControlEndpoint, ...]
    demand: tuple[Demand, ...]
    leaving: bool


@register_message
class View(Message, frozen=True):
    """What a control instance tells an entry instance, regularly.

    :param index: of the newest declared state that it knows.
    :param confirmed: whether it reaches a majority of the voters.
    :param dispatcher: name of the one that decides for this region.
    :param entries: entry instances that take requests, in all regions.
    :param region_entries: those of the receiver's region.
    """

    index: int
    confirmed: bool
    dispatcher: str
    entries: int
    region_entries: int


@register_message
class Roster(Message, frozen=True):
    """All entry instances that take requests, sent when they change."""

    entries: tuple[EntryEndpoint, ...]


@register_message
class TargetList(Message, frozen=True):
    """The list of targets, whole.

    :param age_s: time since it was read, in seconds.
    """

    age_s: float
    targets: tuple[TargetEntry, ...]


@register_message
class TargetChanges(Message, frozen=True):
    """What differs from the list that was sent before on the same link.

    :param age_s: time since the list was read, in seconds.
    :param changed: new and changed targets.
    :param gone: names of targets that are no longer listed.
    """

    age_s: float
    changed: tuple[TargetEntry, ...]
    gone: tuple[str, ...]


@register_message
class Neighbours(Message, frozen=True):
    """What a control instance tells an entry instance now and then.

    :param controls: all control instances that run.
    :param demand: what the requests of all regions need.
    """

    controls: tuple[ControlEndpoint, ...]
    demand: tuple[Demand, ...]


@register_message
class PlacementRequestNotice(Message, frozen=True):
    """A request of an entry instance that needs a target."""

    frame_name: ClassVar[str] = 'AskNotice'

    ask: PlacementRequest


@register_message
class AttemptReportNotice(Message, frozen=True):
    """The end of an attempt."""

    frame_name: ClassVar[str] = 'DoneNotice'

    done: AttemptReport


@register_message
class RunningNotice(Message, frozen=True):
    """All attempts of an entry instance; replaces what was known of them.

    Empty when the receiver is no longer the dispatcher of the sender.
    """

    running: tuple[AttemptReport, ...]


@register_message
class WithdrawNotice(Message, frozen=True):
    """The caller of a waiting request has left."""

    number: int
    service: str


@register_message
class DecisionNotice(Message, frozen=True):
    """The decision on a request."""

    decision: Granted | Refused

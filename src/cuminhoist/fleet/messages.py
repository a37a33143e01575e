"""Messages by which instances know of each other."""

import msgspec

from ..codec import Message, message
from ..steering.asks import Ask, Done, Granted, Refused
from ..steering.demand import Demand
from ..steering.targets import TargetEntry
from .site import Address


class ControlSeen(msgspec.Struct, frozen=True, order=True):
    """A control instance as others name it."""

    name: str
    address: Address
    domain: str
    region: str


class EntrySeen(msgspec.Struct, frozen=True, order=True):
    """An entry instance that takes requests.

    :param callers: where it listens for requests.
    """

    name: str
    callers: Address
    domain: str
    region: str


@message
class Hello(Message, frozen=True):
    """First message on a link, from both sides.

    :param life: identity of this start of the process.
    :param callers: where it listens for requests; entry instances only.
    """

    name: str
    life: str
    address: Address
    domain: str
    region: str
    control: bool
    callers: Address | None = None


@message
class Standing(Message, frozen=True):
    """What an entry instance says of itself, regularly.

    :param ready: whether it takes requests and does not leave.
    """

    ready: bool


@message
class Beat(Message, frozen=True):
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

    index: int
    confirmed: bool
    hears: frozenset[str]
    voter: str
    entries: tuple[EntrySeen, ...]
    controls: tuple[ControlSeen, ...]
    demand: tuple[Demand, ...]
    leaving: bool


@message
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


@message
class Roster(Message, frozen=True):
    """All entry instances that take requests, sent when they change."""

    entries: tuple[EntrySeen, ...]


@message
class TargetList(Message, frozen=True):
    """The list of targets, whole.

    :param age_s: time since it was read, in seconds.
    """

    age_s: float
    targets: tuple[TargetEntry, ...]


@message
class TargetChanges(Message, frozen=True):
    """What differs from the list that was sent before on the same link.

    :param age_s: time since the list was read, in seconds.
    :param changed: new and changed targets.
    :param gone: names of targets that are no longer listed.
    """

    age_s: float
    changed: tuple[TargetEntry, ...]
    gone: tuple[str, ...]


@message
class Neighbours(Message, frozen=True):
    """What a control instance tells an entry instance now and then.

    :param controls: all control instances that run.
    :param demand: what the requests of all regions need.
    """

    controls: tuple[ControlSeen, ...]
    demand: tuple[Demand, ...]


@message
class AskNotice(Message, frozen=True):
    """A request of an entry instance that needs a target."""

    ask: Ask


@message
class DoneNotice(Message, frozen=True):
    """The end of an attempt."""

    done: Done


@message
class RunningNotice(Message, frozen=True):
    """All attempts of an entry instance; replaces what was known of them.

    Empty when the receiver is no longer the dispatcher of the sender.
    """

    running: tuple[Done, ...]


@message
class WithdrawNotice(Message, frozen=True):
    """The caller of a waiting request has left."""

    number: int
    service: str


@message
class DecisionNotice(Message, frozen=True):
    """The decision on a request."""

    decision: Granted | Refused

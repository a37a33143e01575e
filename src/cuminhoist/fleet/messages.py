"""Messages between instances.

Control instances exchange heartbeats. They send views, rosters and target
lists to entry instances, which send them readiness notices and placement
requests.
"""

from typing import ClassVar

import msgspec

from ..codec import Message, register_message
from ..steering.allowance_shares import ShareRequest, ShareTransfer
from ..steering.decisions import (
    AttemptReport,
    Granted,
    PlacementRequest,
    Refused,
)
from ..steering.demand import Demand
from ..steering.leaving_targets import LeavingTarget
from ..steering.local_allowances import RegionShares
from ..steering.poison_requests import TargetEnd
from ..steering.target_limits import TargetLimit
from ..steering.target_pauses import TargetPause
from ..steering.targets import TargetEntry
from .instance_config import Address


class ControlEndpoint(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name and location of a control instance.

    :param address: its peer address.
    """

    name: str
    address: Address
    domain: str
    region: str


class EntryEndpoint(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Name and location of an entry instance.

    :param request_address: where it accepts requests.
    """

    name: str
    request_address: Address = msgspec.field(name='callers')
    domain: str
    region: str


@register_message
class Hello(Message, frozen=True):
    """First message on a link, from both sides.

    :param incarnation: random identity of one start of the process.
    :param address: its peer address.
    :param control: whether it is a control instance.
    :param request_address: where it accepts requests; entry instances only.
    :param round_trip_s: round-trip time of the link that the sender dialled,
        in seconds; 0 if the receiver dialled it.
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
    round_trip_s: float = 0


@register_message
class ReadinessNotice(Message, frozen=True):
    """Periodic message of an entry instance to control instances.

    :param ready: whether it accepts requests and is not leaving.
    :param subscribed: whether the receiver shall send it the declared state,
        the target list, the roster and fleet summaries.
    :param state_index: index of its newest declared state; -1 for none.
    :param list_digest: digest of its target list; 0 for none.
    """

    frame_name: ClassVar[str] = 'Standing'

    ready: bool
    subscribed: bool = False
    state_index: int = -1
    list_digest: int = 0


@register_message
class ControlHeartbeat(Message, frozen=True):
    """Periodic message between control instances.

    :param index: index of its newest declared state; -1 for none.
    :param receives_from: voters of which it has a valid heartbeat.
    :param voter: voter name of the sender.
    :param demand: demand of its region.
    :param leaving: whether it is about to stop.
    :param confirmed: whether it reaches a quorum of the voters.
    :param knows_shares: whether it knows all transfers of its region's shares
        of allowances; those that it knows were sent before.
    """

    frame_name: ClassVar[str] = 'Beat'

    index: int
    confirmed: bool
    receives_from: frozenset[str] = msgspec.field(name='hears')
    voter: str
    demand: tuple[Demand, ...]
    leaving: bool
    knows_shares: bool = False


@register_message
class LinkedInstances(Message, frozen=True):
    """Instances linked to a control instance, sent on each change.

    The first message on a link has all of them.

    :param entries: ready entry instances, all or the added ones.
    :param gone: names of entry instances that are no longer ready or linked.
    :param controls: all linked control instances and the sender, except
        leaving ones.
    :param complete: whether all entry instances are listed.
    """

    entries: tuple[EntryEndpoint, ...]
    gone: tuple[str, ...]
    controls: tuple[ControlEndpoint, ...]
    complete: bool


@register_message
class View(Message, frozen=True):
    """Periodic message of a control instance to an entry instance.

    :param index: index of its newest declared state; -1 for none.
    :param confirmed: whether it reaches a quorum of the voters.
    :param dispatcher: name of the dispatcher of the receiver's region; empty
        for none.
    :param entries: number of entry instances that accept requests.
    :param region_entries: number of them in the receiver's region.
    :param list_age_s: time since its target list was read, in seconds.
    """

    index: int
    confirmed: bool
    dispatcher: str
    entries: int
    region_entries: int
    list_age_s: float = float('inf')


@register_message
class Roster(Message, frozen=True):
    """Entry instances that accept requests.

    The first message to a subscriber has all of them, later ones the changes.

    :param entries: all entry instances, or the added ones.
    :param gone: names of entry instances that were removed.
    :param complete: whether the receiver shall forget all others.
    """

    entries: tuple[EntryEndpoint, ...]
    gone: tuple[str, ...] = ()
    complete: bool = True


@register_message
class TargetList(Message, frozen=True):
    """A complete list of targets.

    :param age_s: time since the list was read, in seconds.
    """

    age_s: float
    targets: tuple[TargetEntry, ...]


@register_message
class TargetChanges(Message, frozen=True):
    """Delta to the list that was sent before on this link.

    :param age_s: time since the list was read, in seconds.
    :param changed: new and changed targets.
    :param gone: names of targets that are no longer listed.
    """

    age_s: float
    changed: tuple[TargetEntry, ...]
    gone: tuple[str, ...]


@register_message
class LeavingNotice(Message, frozen=True):
    """Targets that announced in an answer that they are about to stop.

    An entry instance sends new ones to its dispatcher, and all of them to a
    new dispatcher. Control instances pass them on to each other and to their
    subscribers, and send all of them on a new link or subscription.
    """

    targets: tuple[LeavingTarget, ...]


@register_message
class LimitsNotice(Message, frozen=True):
    """Changes of the limits that targets name.

    An entry instance sends all that it knows to a new dispatcher. Control
    instances pass changes on to each other and to their subscribers, and send
    all limits on a new link or subscription.
    """

    limits: tuple[TargetLimit, ...]


@register_message
class AllowanceNotice(Message, frozen=True):
    """Shares of allowances that regions have given, or ask for.

    Control instances send it to all others, and all transfers that they know
    on a new link.
    """

    transfers: tuple[ShareTransfer, ...] = ()
    requests: tuple[ShareRequest, ...] = ()


@register_message
class AllowanceShares(Message, frozen=True):
    """Shares of the receiver's region in the allowances of workspaces.

    Control instances send their subscribers changes, and all shares on a new
    subscription.
    """

    shares: RegionShares


@register_message
class PoisonNotice(Message, frozen=True):
    """Targets that ended under requests that they ran.

    An entry instance sends its own to all linked control instances, and all
    that it knows on a new link. Control instances pass new ones on to each
    other and to their subscribers, and send all on a new link or subscription.
    """

    ends: tuple[TargetEnd, ...]


@register_message
class FleetSummary(Message, frozen=True):
    """Message of a control instance to its subscribers, every 3 s.

    It is sent as well when the control instances change.

    :param controls: running control instances that are not leaving.
    :param demand: demand of all regions.
    :param round_trips_s: round-trip time to each region, in seconds.
    """

    frame_name: ClassVar[str] = 'Neighbours'

    controls: tuple[ControlEndpoint, ...]
    demand: tuple[Demand, ...]
    round_trips_s: dict[str, float] = msgspec.field(default_factory=dict)


@register_message
class PlacementRequestNotice(Message, frozen=True):
    """A placement request of an entry instance."""

    frame_name: ClassVar[str] = 'AskNotice'

    request: PlacementRequest = msgspec.field(name='ask')


@register_message
class AttemptReportNotice(Message, frozen=True):
    """An attempt report of an entry instance."""

    frame_name: ClassVar[str] = 'DoneNotice'

    report: AttemptReport = msgspec.field(name='done')


@register_message
class RunningNotice(Message, frozen=True):
    """All running attempts of an entry instance.

    Replaces the attempts that the receiver had recorded for the sender. Empty
    when the receiver is no longer the sender's dispatcher.
    """

    running: tuple[AttemptReport, ...]


@register_message
class PausesNotice(Message, frozen=True):
    """Pauses that targets asked the sender for, repeated to a new dispatcher.

    The dispatcher learns of later ones from attempt reports.
    """

    pauses: tuple[TargetPause, ...]


@register_message
class WithdrawNotice(Message, frozen=True):
    """Withdraws a waiting placement request whose caller has disconnected.

    :param number: number of the placement request.
    """

    number: int
    service: str


@register_message
class DecisionNotice(Message, frozen=True):
    """The decision on a placement request."""

    decision: Granted | Refused

"""State of one linked instance, as kept by a control instance."""

import msgspec

from .link import Link
from .list_changes import ListCopy
from .messages import ControlHeartbeat, EntryEndpoint, Hello


class Peer(msgspec.Struct):
    """The instance at the other end of a link.

    :param ready: whether it accepts requests; entry instances only.
    :param heartbeat: its last heartbeat; control instances only.
    :param heartbeat_at: monotonic time of the last heartbeat, in seconds.
    :param entries: ready entry instances that it has linked, by name; control
        instances only.
    :param targets: copy of the target list that it sent.
    :param subscribed: whether it gets state and lists from this instance;
        entry instances only.
    """

    hello: Hello
    link: Link
    ready: bool = False
    heartbeat: ControlHeartbeat | None = None
    heartbeat_at: float = float('-inf')
    entries: dict[str, EntryEndpoint] = msgspec.field(default_factory=dict)
    targets: ListCopy = msgspec.field(default_factory=ListCopy)
    subscribed: bool = False

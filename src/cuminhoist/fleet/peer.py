"""State of one linked instance, as kept by a control instance."""

import msgspec

from .link import Link
from .messages import ControlHeartbeat, Hello


class Peer(msgspec.Struct):
    """The instance at the other end of a link.

    :param ready: whether it accepts requests; entry instances only.
    :param heartbeat: its last heartbeat; control instances only.
    :param heartbeat_at: monotonic time of the last heartbeat, in seconds.
    """

    hello: Hello
    link: Link
    ready: bool = False
    heartbeat: ControlHeartbeat | None = None
    heartbeat_at: float = float('-inf')

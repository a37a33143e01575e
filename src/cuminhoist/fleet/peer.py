"""What a control instance knows of an instance that it is linked to."""

import msgspec

from .link import Link
from .messages import ControlHeartbeat, Hello


class Peer(msgspec.Struct):
    """The instance at the other end of a link.

    :param ready: whether an entry instance takes requests.
    """

    hello: Hello
    link: Link
    ready: bool = False
    heartbeat: ControlHeartbeat | None = None
    heartbeat_at: float = float('-inf')

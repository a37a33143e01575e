"""What an entry instance knows, and the state of one request."""

import msgspec

from ..steering.targets import TargetEntry
from .answers import TargetAnswer
from .routes import Route, RouteTable
from .wire import CallerRequest


class Knowledge(msgspec.Struct):
    """What an entry instance knows; replaced as a whole when it changes.

    :param routes: routes in force; none before the first configuration.
    :param targets: usable and other listed targets by name.
    :param list_at: when the list of targets was read.
    :param entries: entry instances that share the budget of attempts.
    :param refuses: whether new requests are refused, in a stop.
    """

    routes: RouteTable | None = None
    targets: dict[str, TargetEntry] = msgspec.field(default_factory=dict)
    list_at: float = float('-inf')
    entries: int = 1
    refuses: bool = False


class Run:
    """State of one request on its way."""

    def __init__(self, req: CallerRequest, route: Route, service: str) -> None:
        self.req = req
        self.route = route
        self.service = service
        self.arrived = float(0)
        self.ends_at = float(0)
        self.useful_until = float(0)
        self.tried: list[str] = []
        self.may_have_run = False
        self.sent = False
        self.waited_s = float(0)
        self.trail: list[str] = []
        self.kept_failure: TargetAnswer | None = None

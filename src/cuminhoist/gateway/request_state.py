"""What an entry instance knows, and the state of one request."""

import msgspec

from ..steering.targets import TargetEntry
from .answers import TargetAnswer
from .routes import Route, RouteTable
from .wire import IncomingRequest


class RoutingState(msgspec.Struct):
    """What an entry instance knows; replaced as a whole when it changes.

    :param routes: routes in force; none before the first configuration.
    :param targets: usable and other listed targets by name.
    :param target_list_read_at: when the list of targets was read.
    :param entry_count: entry instances that share the budget of attempts.
    :param refuses_requests: whether new requests are refused, in a stop.
    """

    routes: RouteTable | None = None
    targets: dict[str, TargetEntry] = msgspec.field(default_factory=dict)
    target_list_read_at: float = float('-inf')
    entry_count: int = 1
    refuses_requests: bool = False


class RequestState:
    """State of one request on its way."""

    def __init__(
        self, req: IncomingRequest, route: Route, service: str
    ) -> None:
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

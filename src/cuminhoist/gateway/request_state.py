"""Routing state of an entry instance, and the state of one request."""

import msgspec

from ..steering.targets import TargetEntry
from .answers import TargetAnswer
from .routes import Route, RouteTable
from .wire import IncomingRequest


class RoutingState(msgspec.Struct):
    """Configuration and targets by which an entry instance routes requests.

    :param routes: routes in force; None before the first configuration.
    :param targets: listed targets by name, usable or not.
    :param target_list_read_at: monotonic time at which the list of targets
        was read, in seconds.
    :param entry_count: entry instances that share the retry budget.
    :param refuses_requests: whether new requests are refused because the
        instance stops.
    :param routes_confirmed: whether the routes are known to be the newest
        ones.
    """

    routes: RouteTable | None = None
    targets: dict[str, TargetEntry] = msgspec.field(default_factory=dict)
    target_list_read_at: float = float('-inf')
    entry_count: int = 1
    refuses_requests: bool = False
    routes_confirmed: bool = True


class RequestState:
    """State of one request from its arrival to its answer.

    :param req: the decoded request.
    :param route: its route.
    :param service: the service that was chosen for it.
    """

    def __init__(
        self, req: IncomingRequest, route: Route, service: str
    ) -> None:
        self.req = req
        self.route = route
        self.service = service
        # Monotonic times in seconds.
        self.arrived_at = float(0)
        self.ends_at = float(0)
        self.objective_ends_at = float(0)
        #: Round-trip time to the caller, in seconds; 0 if unknown.
        self.round_trip_s = float(0)
        self.tried_targets: list[str] = []
        #: Targets that were granted but could not be sent the request.
        self.skipped_targets: list[str] = []
        self.may_have_run = False
        self.sent = False
        self.waited_s = float(0)
        self.trail: list[str] = []
        #: Last failed answer that a retry may still replace.
        self.failed_answer: TargetAnswer | None = None

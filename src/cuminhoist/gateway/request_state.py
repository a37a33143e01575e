"""Routing state of an entry instance, and the state of one request."""

from collections.abc import Callable, Mapping

import msgspec

from .connection_shares import ConnectionShares
from ..listener_limits import ListenerLimits
from ..steering.poison_requests import Fingerprint
from ..steering.targets import TargetEntry
from .answer_limits import AnswerLimits
from .answers import TargetAnswer
from .routes import Route, RouteTable
from .service_homes import homes_by_service
from .wire import IncomingRequest
from .workspaces import Identity, Workspace


#: Least time to pass an answer on, in seconds.
MIN_PASSING_S = 0.03


def _always() -> bool:
    return True


def _ignore_limits(_limits: ListenerLimits) -> None:
    """Ignore limits: there is no listener for callers."""


class RoutingState(msgspec.Struct):
    """Configuration and targets by which an entry instance routes requests.

    :param routes: routes in force; None before the first configuration.
    :param homes_by_service: sets of regions that they allow for requests to
        each service.
    :param targets: listed targets by name, usable or not.
    :param target_list_read_at: monotonic time at which the list of targets
        was read, in seconds.
    :param entry_count: entry instances that share the retry budget.
    :param refuses_requests: whether new requests are refused because the
        instance stops.
    :param routes_confirmed: whether the routes are known to be the newest
        ones.
    :param trusts_keys: tells whether the keys in force may be relied on.
    :param apply_limits: applies the limits of new routes to the listener.
    """

    routes: RouteTable | None = None
    homes_by_service: Mapping[str, frozenset[frozenset[str]]] = {}
    targets: dict[str, TargetEntry] = msgspec.field(default_factory=dict)
    target_list_read_at: float = float('-inf')
    entry_count: int = 1
    refuses_requests: bool = False
    routes_confirmed: bool = True
    trusts_keys: Callable[[], bool] = _always
    apply_limits: Callable[[ListenerLimits], None] = _ignore_limits

    @property
    def config_version(self) -> int:
        """Version of the routes for logs and metrics; -1 for none."""
        return -1 if self.routes is None else self.routes.version

    def replace_routes(self, routes: RouteTable) -> None:
        """Put routes and their limits in force.

        :param routes: the routes.
        """
        self.routes = routes
        self.homes_by_service = homes_by_service(routes)
        self.apply_limits(routes.limits.listener)


class RequestState:
    """State of one request from its arrival to its answer.

    :param req: the decoded request.
    :param route: its route.
    :param service: the service that was chosen for it.
    :param workspace: the workspace of the caller; None for none.
    """

    def __init__(
        self,
        req: IncomingRequest,
        route: Route,
        service: str,
        workspace: Workspace | None = None,
    ) -> None:
        self.req = req
        self.route = route
        self.service = service
        self._identity = Identity(workspace=workspace)
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
        self._holds_connection = False
        self._was_sent = False
        self._body_ends_at = float(0)
        self.waited_s = float(0)
        self.trail: list[str] = []
        #: Identity of its content; None unless a connection to a target was
        #: lost or requests are known to end targets.
        self.fingerprint: Fingerprint | None = None
        self._is_trial = False
        #: Last failed answer that a retry may still replace.
        self.failed_answer: TargetAnswer | None = None

    @property
    def workspace(self) -> Workspace | None:
        """Workspace of the caller; None for none."""
        return self._identity.workspace

    @property
    def identity(self) -> Identity:
        """How the workspace was found."""
        return self._identity

    def identify(self, req: IncomingRequest, identity: Identity) -> None:
        """Set the workspace of the request.

        :param req: the request, without its key.
        :param identity: how the workspace was found.
        """
        self.req = req
        self._identity = identity

    def bound_body(self, ends_at: float) -> None:
        """Bound the time of an answer that has begun to arrive.

        :param ends_at: monotonic time of its end, in seconds; not before the
            latest start of the answer.
        """
        self._body_ends_at = ends_at

    @property
    def answer_ends_at(self) -> float:
        """Monotonic time at which its answer ends at the latest, in seconds.

        Later than ``ends_at``, by which only the head has to be there.
        """
        return max(self._body_ends_at, self.ends_at)

    def answer_limits(self, now: float) -> AnswerLimits:
        """Return until when its answer may arrive.

        :param now: monotonic time in seconds.
        """
        whole_by = max(self.answer_ends_at, now + MIN_PASSING_S)
        return AnswerLimits.from_left(self.ends_at - now, whole_by - now)

    @property
    def was_sent(self) -> bool:
        """Whether it was sent to a target or to another entry instance."""
        return self._was_sent

    def claim_connection(self, shares: ConnectionShares) -> bool:
        """Tell whether it may use a connection to a target, also for retries.

        :param shares: counts the connections of its service.
        """
        if not self._holds_connection:
            self._holds_connection = shares.claim(self.service)
        return self._holds_connection

    @property
    def is_unsent_trial(self) -> bool:
        """Whether it is a trial that no target has got yet."""
        return self._is_trial and not self.tried_targets

    def set_trial(self, *, is_trial: bool) -> None:
        """Set whether it is the single try of a request that is refused else.

        :param is_trial: whether it is a trial.
        """
        self._is_trial = is_trial

    def release_connection(self, shares: ConnectionShares) -> None:
        """Stop using a connection to a target.

        :param shares: counts the connections of its service.
        """
        if self._holds_connection:
            self._holds_connection = False
            shares.release(self.service)

    def mark_sent(self) -> None:
        """Note that it is sent to a target or to another entry instance."""
        self._was_sent = True

    @property
    def priority(self) -> int:
        """Rank of the request, 0 for the most urgent.

        That of the workspace goes before that of the route.
        """
        workspace = self.workspace
        if workspace is None or workspace.priority is None:
            return self.route.priority
        return workspace.priority

    @property
    def allowed_regions(self) -> frozenset[str]:
        """Regions that may serve the request; empty for all.

        Those of the route and those of the workspace both bind. A request
        whose route and workspace share no region is refused on arrival.
        """
        by_route = self.route.allowed_regions
        homes = self.workspace.allowed_regions if self.workspace else None
        if not homes or not by_route:
            return homes or by_route
        return by_route & homes

    @property
    def object_key(self) -> str:
        """Identity of the object in the caches of targets; empty without one.

        Targets cache what each route returns for an object by itself. With
        the object alone as identity, the first request of a second route
        would be expected to be a cache hit, and its long run time would count
        as evidence of a slow target.
        """
        return f'{self.route.name}/{self.req.key}' if self.req.key else ''

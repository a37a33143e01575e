"""Accepts requests: finds their route, workspace, service and deadlines."""

import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from ..pipelined_request import RequestPlace
from ..problems import Refusal
from ..steering.caller_elapsed import CallerElapsedEstimator
from ..types import Reason
from . import refusals
from .answers import not_run_refusal
from .authentication import Authenticator
from .request_state import RequestState, RoutingState
from .routes import Route
from .splits import Splitter
from .stop_limits import StopLimits
from .wire import IncomingRequest

#: Time reserved for the final answer to reach the caller, in seconds.
ANSWER_MARGIN_S = 0.02
#: Time for a body that has begun to arrive, as a multiple of the time limit of
#: the route, if the caller names no deadline.
BODY_TIME_FACTOR = 2
#: Most distant deadline of a caller that waits for an answer, as a multiple of
#: the time limit of the route.
DEADLINE_FACTOR = 2


class RequestAcceptance:
    """Decides which requests of callers an entry instance takes on.

    :param routing_state: has the routes in force.
    :param authenticator: finds the workspaces of requests.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        authenticator: Authenticator,
        now: Callable[[], float],
    ) -> None:
        self._routing_state = routing_state
        self._authenticator = authenticator
        #: Tells which requests can be served before the instance ends.
        self.stop_limits = StopLimits(now)
        self._now = now
        self._splitter = Splitter(random.Random())  # noqa: S311
        self._elapsed_estimators: dict[str, CallerElapsedEstimator] = {}

    def accept(
        self, req: IncomingRequest, scope: Any
    ) -> Result[RequestState, Refusal]:
        """Return the state of a request, or why it is refused.

        :param req: a request that has just arrived.
        :param scope: its ASGI scope.
        """
        memory = scope['state']['pipelined_request'].memory
        if memory.process.is_full:
            return Failure(refusals.refusal_without_memory())
        found = self._find_route(req)
        if not isinstance(found, Success):
            return Failure(found.failure())
        route = found.unwrap()
        state = RequestState(req, route, self._splitter.choose(route))
        refusal = self._authenticator.authenticate(
            state, relayed=scope['state'].get('relayed', False)
        )
        if refusal is not None:
            return Failure(refusal)
        self._set_deadlines(state, scope['state'])
        if not self.stop_limits.admits(state):
            return Failure(refusals.refusal_of_stopping_instance())
        return Success(state)

    def _find_route(self, req: IncomingRequest) -> Result[Route, Refusal]:
        if self._routing_state.refuses_requests:
            return Failure(refusals.refusal_of_stopping_instance())
        routes = self._routing_state.routes
        if routes is None:
            return Failure(
                not_run_refusal(
                    Reason.no_state,
                    'Retry at another entry instance.',
                    refusals.NOT_READY_RETRY_S,
                )
            )
        if not req.host:
            return Failure(
                not_run_refusal(
                    Reason.bad_request,
                    'The host header is missing or malformed.',
                )
            )
        route = routes.find(req.host, req.path)
        return Success(route) if route else Failure(self._unknown_route())

    def _unknown_route(self) -> Refusal:
        if self._routing_state.routes_confirmed:
            return not_run_refusal(
                Reason.unknown_service, 'No route for this host and path.'
            )
        # A caller does not try again after a 404, and a newer configuration
        # may have the route.
        return not_run_refusal(
            Reason.no_state,
            'The routes of this entry instance may be outdated.',
            refusals.NOT_READY_RETRY_S,
        )

    def _set_deadlines(self, state: RequestState, conn_state: Any) -> None:
        route = state.route
        round_trip_s = conn_state.get('round_trip_s', 0)
        left_s = (
            route.timeout_s if state.req.left_s is None else state.req.left_s
        )
        elapsed_s = self._elapsed_s(
            route, left_s, conn_state['pipelined_request'].place
        )
        state.arrived_at = self._now()
        state.round_trip_s = round_trip_s
        state.ends_at = (
            state.arrived_at + min(left_s, route.timeout_s) - ANSWER_MARGIN_S
        )
        body_s = (
            route.timeout_s * BODY_TIME_FACTOR
            if state.req.left_s is None
            else left_s
        )
        state.bound_body(state.arrived_at + body_s - ANSWER_MARGIN_S)
        state.objective_ends_at = (
            state.arrived_at + route.objective_s - elapsed_s - round_trip_s
        )

    def _elapsed_s(
        self, route: Route, left_s: float, place: RequestPlace
    ) -> float:
        """Return the time since the first request of a caller, in seconds.

        The objective counts from that one, and this one may be a retry. One
        that was sent behind another is none, and one with a distant deadline
        tells nothing of those of others: a few callers may send most requests
        of a route.
        """
        if place.sent_ahead or left_s > route.timeout_s * DEADLINE_FACTOR:
            return 0
        estimator = self._elapsed_estimators.setdefault(
            route.name, CallerElapsedEstimator()
        )
        return estimator.elapsed_s(left_s)

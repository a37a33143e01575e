"""Counts and logs the requests of an entry instance as they end."""

import math
from collections.abc import Callable

import msgspec

from ..pipelined_request import PipelinedRequest
from ..problems import Refusal
from .request_metrics import RequestMetrics, log_request
from .request_state import RequestState, RoutingState
from .wire import IncomingRequest

_MS_PER_S = 1000


class RequestRecorder:
    """Writes the metrics and the log line of each request.

    :param metrics: counts requests.
    :param routing_state: configuration and targets that decided.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        metrics: RequestMetrics,
        routing_state: RoutingState,
        now: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._routing_state = routing_state
        self._now = now

    def record_request(
        self,
        state: RequestState,
        outcome: str,
        pipelined: PipelinedRequest,
    ) -> None:
        """Count and log a request that had a route.

        :param state: the request.
        :param outcome: how it ended.
        :param pipelined: its place on the connection, how long it waited for
            others there, and why it was withdrawn.
        """
        took_s = self._now() - state.arrived_at
        self._metrics.requests.labels(state.service, outcome).inc()
        self._metrics.latency.labels(state.service).observe(took_s)
        self._metrics.waited.labels(state.service).observe(state.waited_s)
        if state.workspace is not None:
            self._metrics.count_workspace(state.workspace.name, outcome)
        withdrawal = pipelined.withdrawal
        if withdrawal is not None:
            self._metrics.withdrawn.labels(
                state.service, withdrawal.cause, str(state.was_sent).lower()
            ).inc()
        place = pipelined.place
        log_request(
            id=state.req.request_id,
            connection=place.connection,
            connection_request=place.number,
            ahead=place.ahead,
            withdrawn=withdrawal.cause if withdrawal else '',
            withdrawn_by=withdrawal.by_request if withdrawal else 0,
            route=state.route.name,
            service=state.service,
            workspace=state.req.workspace,
            object=state.req.key,
            fingerprint=(
                msgspec.structs.astuple(state.fingerprint)
                if state.fingerprint
                else ()
            ),
            left_ms=round((state.req.left_s or 0) * _MS_PER_S),
            round_trip_ms=round(state.round_trip_s * _MS_PER_S),
            config_version=self._routing_state.config_version,
            list_age_ms=self._list_age_ms(),
            waited_ms=round(state.waited_s * _MS_PER_S),
            start_wait_ms=round(pipelined.start_wait_s * _MS_PER_S),
            turn_wait_ms=round(pipelined.turn_wait_s * _MS_PER_S),
            trail=state.trail,
            outcome=outcome,
            took_ms=round(took_s * _MS_PER_S),
        )

    def record_refusal(self, req: IncomingRequest, refusal: Refusal) -> None:
        """Count and log a request that was refused before it was routed.

        :param req: the request.
        :param refusal: the refusal.
        """
        self._metrics.count_refusal(refusal.reason)
        log_request(
            id=req.request_id,
            host=req.host,
            host_header=dict(req.headers).get(b'host', b'').decode('latin-1'),
            path=req.path,
            config_version=self._routing_state.config_version,
            outcome=f'refused-{refusal.reason}',
            detail=refusal.detail,
        )

    def _list_age_ms(self) -> int | None:
        age_s = self._now() - self._routing_state.target_list_read_at
        return None if math.isinf(age_s) else round(age_s * _MS_PER_S)

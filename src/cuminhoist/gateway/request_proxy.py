"""Serves callers' requests: routes them, attempts targets, passes answers on.

A failed attempt is retried at another target within the limits of the
route, the deadline and the retry budget of the service.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from ..exceptions import LocalProtocolError
from ..logging_setup import logger
from ..problems import Refusal
from ..steering.decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
    Refused,
)
from ..steering.leaving_targets import LeavingTarget
from ..steering.targets import TargetEntry
from ..types import Reason
from . import refusals
from .answer_sender import AnswerSender
from .answers import (
    Send,
    TargetAnswer,
    send_own_refusal,
    send_refusal,
)
from .attempt import AttemptOutcome, AttemptSender, abort
from .authentication import Authenticator
from .bodies import BodyTooLarge, CallerDisconnected, Receive, RequestBody
from .crash_detector import CrashDetector
from .failure_reports import FailureReports
from .placement_client import PlacementClient
from .relay import Relay
from .request_acceptance import RequestAcceptance
from .request_metrics import RequestMetrics
from .request_recorder import RequestRecorder
from .request_state import RequestState, RoutingState
from .retry_policy import RetryPolicy
from .routes import RepeatPolicy
from .target_connections import TargetConnections
from .target_pause_log import TargetPauseLog
from .wire import WireFormat

MS_PER_S = 1000
_MIN_SERVER_ERROR = 500
#: Statuses by which a caller learns that its request has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

_log = logger('request')


class RequestProxy:
    """Serves the requests of one entry instance.

    :param wire: decodes requests and encodes attempts.
    :param connections: connections to targets.
    :param placement_client: gets the decisions on requests.
    :param metrics: counts requests and attempts.
    :param now: returns monotonic time in seconds.
    :param retry_ratio: retries for each request, over all instances.
    :param min_retry_budget: retries in a window without requests, over all
        instances.
    """

    def __init__(
        self,
        wire: WireFormat,
        connections: TargetConnections,
        placement_client: PlacementClient,
        metrics: RequestMetrics,
        now: Callable[[], float],
        retry_ratio: float,
        min_retry_budget: float,
    ) -> None:
        self.routing_state = RoutingState()
        self.running_requests = 0
        #: Called with a target that announces its stop in an answer, and the
        #: identity of the request.
        self.on_target_leaving: Callable[[LeavingTarget, str], None] = (
            _ignore_leaving
        )
        self.crash_detector = CrashDetector(
            connections, self.routing_state, now
        )
        #: Whether this instance reaches any target.
        self.reachability = self.crash_detector.reachability
        self._authenticator = Authenticator(wire, self.routing_state)
        self.relay = Relay(
            wire,
            TargetConnections(now, connections.pacer),
            self._authenticator,
            now,
        )
        self._wire = wire
        self._connection_shares = connections.shares
        self._attempt_sender = AttemptSender(wire, connections)
        self._placement_client = placement_client
        self._metrics = metrics
        self._now = now
        self._failure_reports = FailureReports(
            self.reachability, placement_client
        )
        self._pause_log = TargetPauseLog(metrics, now)
        self._retries = RetryPolicy(
            self.routing_state, now, retry_ratio, min_retry_budget
        )
        self._recorder = RequestRecorder(metrics, self.routing_state, now)
        self._acceptance = RequestAcceptance(
            self.routing_state, self._authenticator, now
        )
        self.stop_limits = self._acceptance.stop_limits
        self._answer_sender = AnswerSender(
            wire, connections.pacer, now, self.stop_limits
        )

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request of a caller.

        :param scope: the ASGI scope.
        :param receive: reads from the caller.
        :param send: sends to the caller.
        """
        self.running_requests += 1
        try:
            await self._serve_while_connected(scope, receive, send)
        finally:
            self.running_requests -= 1

    async def _serve_while_connected(
        self, scope: Any, receive: Receive, send: Send
    ) -> None:
        serving = asyncio.create_task(self._serve(scope, receive, send))
        disconnected = scope['state']['caller_disconnected']
        await asyncio.wait(
            (serving, disconnected),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not serving.done():
            serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        if serving.cancelled() or serving.exception() is None:
            return
        _log.opt(exception=serving.exception()).error(
            'request ended by an unexpected error',
        )
        pipelined = scope['state']['pipelined_request']
        if pipelined.answer_begun:
            scope['state']['abort']()
        else:
            await send_own_refusal(
                refusals.refusal_after_error(), pipelined, send
            )

    async def _serve(self, scope: Any, receive: Receive, send: Send) -> None:
        pipelined = scope['state']['pipelined_request']
        req = self._wire.decode_request(scope)
        accepted = self._acceptance.accept(req, scope)
        if not isinstance(accepted, Success):
            refusal = accepted.failure()
            closes = refusal.reason in {Reason.draining, Reason.bad_request}
            # Nothing may run behind a refusal that closes the connection.
            pipelined.declare(overlaps=not closes)
            self._recorder.record_refusal(req, refusal)
            await send_refusal(refusal, send, close_connection=closes)
            return
        state = accepted.unwrap()
        self._retries.count_request(state.service)
        body = RequestBody(receive, self._body_limit())
        outcome = 'gone'
        try:
            outcome = await self._serve_until_stop(state, body, scope, send)
        except CallerDisconnected:
            outcome = 'gone'
        except LocalProtocolError as exc:
            state.trail.append(str(exc))
            refusal = refusals.refusal_of_unsendable(state, str(exc))
            outcome = await send_own_refusal(refusal, pipelined, send)
        except BodyTooLarge:
            # A target may have run what it got of a streamed body.
            refusal = refusals.refusal_of_large_body(
                may_run=not body.can_resend
            )
            outcome = await send_own_refusal(refusal, pipelined, send)
        finally:
            self._recorder.record_request(state, outcome, pipelined)

    def _body_limit(self) -> int:
        routes = self.routing_state.routes
        return routes.limits.max_body_bytes if routes else 0

    async def _serve_until_stop(
        self, state: RequestState, body: RequestBody, scope: Any, send: Send
    ) -> str:
        """Serve a request, or refuse it if the instance stops before that."""
        pipelined = scope['state']['pipelined_request']
        with self.stop_limits.limit(state):
            overlaps = state.route.repeat is RepeatPolicy.idempotent
            if not await pipelined.wait_to_start(overlaps=overlaps):
                raise CallerDisconnected
            if state.req.has_body:
                await body.fill_buffer(state.req.body_bytes or 0)
            try:
                return await self._place_and_send(state, body, scope, send)
            finally:
                state.release_connection(self._connection_shares)
        if pipelined.cycle.response_started:
            scope['state']['abort']()
            return 'cut'
        refusal = refusals.refusal_of_stopping_instance(
            may_have_run=state.may_have_run
        )
        return await self._answer_without_target(state, refusal, send)

    async def _place_and_send(
        self,
        state: RequestState,
        body: RequestBody,
        scope: Any,
        send: Send,
    ) -> str:
        while True:
            ended_as = await self._serve_without_target(
                state, body, scope, send
            )
            if ended_as:
                return ended_as
            req = self._placement_request(state)
            answer, decider = await self._placement_client.request_placement(
                req
            )
            granted = self._granted(state, answer, decider)
            if not isinstance(granted, Success):
                if granted.failure().reason is Reason.no_slot:
                    scope['state']['pipelined_request'].close_stalled()
                return await self._answer_without_target(
                    state, granted.failure(), send
                )
            decision = granted.unwrap()
            target = self.routing_state.targets.get(decision.target)
            state.waited_s += decision.waited_s
            if (
                target is None
                or not self._may_be_sent(state, decision)
                or self._is_paused(state, target, decider)
            ):
                self._report_attempt(
                    state, decision, AttemptOutcome(Ending.withdrawn), 0
                )
                state.skipped_targets.append(decision.target)
                continue
            outcome = await self._attempt(
                state, body, target, decision, decider
            )
            if self._retries.may_retry(state, body, outcome):
                continue
            if await self._needs_relay(state, outcome):
                return await self._pass_on(state, body, scope, send)
            if outcome.answer is None or _promises_not_run(state, outcome):
                return await self._answer_failed_attempt(state, outcome, send)
            return await self._pass_answer_on(
                state, outcome.answer, body, scope, send
            )

    async def _serve_without_target(
        self, state: RequestState, body: RequestBody, scope: Any, send: Send
    ) -> str:
        """Refuse or relay a request that this instance must send to no target.

        :returns: how it ended; empty if it may be sent to a target.
        """
        unauthenticated = self._authenticator.confirm(state)
        if unauthenticated is not None:
            return await self._answer_without_target(
                state,
                refusals.refusal_of_caller(state, unauthenticated),
                send,
            )
        if self.crash_detector.is_poison(state, body):
            refusal = refusals.refusal_of_poison(state)
            return await self._refuse(state, refusal, send)
        if self.reachability.is_cut:
            return await self._pass_on(state, body, scope, send)
        return ''

    async def _needs_relay(
        self, state: RequestState, outcome: AttemptOutcome
    ) -> bool:
        """Tell whether a request failed as this instance reaches no target."""
        repeats = state.route.repeat is RepeatPolicy.idempotent
        return (
            outcome.answer is None
            and (repeats or not state.may_have_run)
            and outcome.ending in {Ending.unreachable, Ending.lost}
            and not await self.reachability.reaches_targets()
        )

    async def _pass_on(
        self, state: RequestState, body: RequestBody, scope: Any, send: Send
    ) -> str:
        """Have another entry instance serve a request.

        A request that another one has passed on here is refused instead.
        """
        outcome = None
        refusal = self._authenticator.confirm(state)
        if refusal is None and not scope['state'].get('relayed', False):
            self.stop_limits.start_attempt(state)
            outcome = await self.relay.send(state, body)
            self.stop_limits.end_attempt(state)
        if outcome is not None and outcome.answer is not None:
            return await self._pass_answer_on(
                state, outcome.answer, body, scope, send
            )
        if refusal is None:
            refusal = refusals.refusal_of_cut_instance(state, outcome)
        else:
            refusal = refusals.refusal_of_caller(state, refusal)
        return await self._refuse(state, refusal, send)

    def _may_be_sent(self, state: RequestState, decision: Granted) -> bool:
        """Tell whether a granted target may still get a request.

        A newer configuration may have removed the key of the caller, or moved
        its workspace to other regions, while the request waited.
        """
        if self._authenticator.confirm(state) is not None:
            return False
        regions = state.allowed_regions
        return not regions or decision.region in regions

    def _granted(
        self, state: RequestState, decision: Decision, decider: str
    ) -> Result[Granted, Refusal]:
        """Return the target for a request, or why it is sent to none."""
        if isinstance(decision, Refused):
            state.trail.append(f'{decider}: {_describe_refusal(decision)}')
            return Failure(refusals.refusal_without_target(state, decision))
        if state.claim_connection(self._connection_shares):
            return Success(decision)
        self._report_attempt(
            state, decision, AttemptOutcome(Ending.withdrawn), 0
        )
        return Failure(refusals.refusal_without_connection())

    def _is_paused(
        self, state: RequestState, target: TargetEntry, decider: str
    ) -> bool:
        """Tell whether a granted target asked this instance for a pause.

        The dispatcher may not have known the pause when it sent the grant.
        """
        left_s = self._placement_client.pause_left_s(target)
        if not left_s:
            return False
        self._pause_log.record_returned_grant(state.service)
        pause = f'pauses for {left_s * MS_PER_S:.0f}ms'
        state.trail.append(f'{decider}: {target.name} {pause}')
        return True

    async def _attempt(
        self,
        state: RequestState,
        body: RequestBody,
        target: TargetEntry,
        decision: Granted,
        decider: str,
    ) -> AttemptOutcome:
        started_at = self._now()
        report = AttemptReport(
            decision.number,
            target.name,
            state.service,
            state.object_key,
            Ending.withdrawn,
            0,
        )
        self._placement_client.running_attempts[decision.number] = report
        outcome = AttemptOutcome(Ending.withdrawn)
        state.mark_sent()
        self.stop_limits.start_attempt(state)
        try:
            with self.reachability.watching():
                outcome = await self._attempt_sender.send(
                    state.req,
                    body,
                    target,
                    state.answer_limits(started_at),
                )
            if outcome.target_leaving:
                # The report below frees the slot, so the target is taken out
                # before it.
                self.on_target_leaving(
                    LeavingTarget(target.name, target.started_at_ms),
                    state.req.request_id,
                )
        finally:
            self._pause_log.record(
                state.req.request_id,
                state.service,
                target.name,
                outcome,
                pausing=self._placement_client.pause_left_s(target) > 0,
            )
            self._record_attempt(
                state, decision, decider, outcome, started_at, target
            )
        if outcome.detail:
            state.trail.append(outcome.detail)
        if outcome.connection_lost:
            self.crash_detector.connection_lost(state, body, target)
        state.may_have_run = state.may_have_run or outcome.may_have_run
        self.stop_limits.end_attempt(state)
        return outcome

    def _record_attempt(
        self,
        state: RequestState,
        decision: Granted,
        decider: str,
        outcome: AttemptOutcome,
        started_at: float,
        target: TargetEntry,
    ) -> None:
        run_s = self._now() - started_at
        self._report_attempt(
            state, decision, outcome, run_s, target.started_at_ms
        )
        state.tried_targets.append(decision.target)
        took = f'{run_s * MS_PER_S:.0f}ms'
        cache = 'held' if decision.held else 'first'
        placement = f'{decision.target} in {decision.region}, {cache}'
        state.trail.append(f'{decider}: {placement}: {outcome.ending} {took}')

    def _report_attempt(
        self,
        state: RequestState,
        decision: Granted,
        outcome: AttemptOutcome,
        run_s: float,
        target_started_at_ms: int = 0,
    ) -> None:
        self._metrics.attempts.labels(state.service, outcome.ending).inc()
        report = AttemptReport(
            decision.number,
            decision.target,
            state.service,
            state.object_key,
            outcome.ending,
            run_s,
            pause_s=outcome.pause_s,
            target_started_at_ms=target_started_at_ms,
            limit_per_s=outcome.limit_per_s,
            load=outcome.load,
        )
        self._failure_reports.send(report, outcome)

    async def _answer_without_target(
        self, state: RequestState, refusal: Refusal, send: Send
    ) -> str:
        self.crash_detector.cancel_trial(state)
        failed = state.failed_answer
        if failed is not None and failed.body_complete:
            self.stop_limits.start_answer(state)
            await self._answer_sender.send_buffered(failed, send)
            return f'answered-{failed.status}'
        return await self._refuse(state, refusal, send)

    async def _refuse(
        self, state: RequestState, refusal: Refusal, send: Send
    ) -> str:
        self.stop_limits.start_answer(state)
        await send_refusal(refusal, send)
        return f'refused-{refusal.reason}'

    async def _answer_failed_attempt(
        self,
        state: RequestState,
        outcome: AttemptOutcome,
        send: Send,
    ) -> str:
        paused_s = self._placement_client.time_to_unpaused_s(
            state.service, state.allowed_regions
        )
        refusal = refusals.refusal_after_attempt(state, outcome, paused_s)
        self.stop_limits.start_answer(state)
        await send_refusal(refusal, send)
        return f'failed-{refusal.reason}'

    async def _pass_answer_on(
        self,
        state: RequestState,
        answer: TargetAnswer,
        body: RequestBody,
        scope: Any,
        send: Send,
    ) -> str:
        succeeded = answer.status < _MIN_SERVER_ERROR
        self.stop_limits.start_reading(state, served=succeeded)
        ended = await self._answer_sender.pass_on(state, answer, scope, send)
        if not isinstance(ended, Success):
            return ended.failure()
        if succeeded:
            # A target that is busy answers 504 to a request that never ran.
            self.crash_detector.answered(state, body)
        return f'answered-{answer.status}'

    def _placement_request(self, state: RequestState) -> PlacementRequest:
        now = self._now()
        return PlacementRequest(
            number=self._placement_client.next_number(),
            service=state.service,
            key=state.object_key,
            objective_left_s=state.objective_ends_at - now,
            left_s=state.ends_at - now,
            allowed_regions=state.allowed_regions,
            excluded=(*state.tried_targets, *state.skipped_targets),
            priority=state.priority,
            workspace=state.req.workspace,
        )


def _promises_not_run(state: RequestState, outcome: AttemptOutcome) -> bool:
    """Tell whether an answer would say falsely that the request has not run.

    Callers repeat a request after these statuses whatever its kind, but the
    target has not said that it did not run it.
    """
    answer = outcome.answer
    if answer is None or state.route.repeat is not RepeatPolicy.once:
        return False
    if answer.status not in _NOT_RUN_STATUSES:
        return False
    abort(answer.exchange)
    return True


def _ignore_leaving(_announced: LeavingTarget, _request_id: str) -> None:
    """Ignore that a target is about to stop."""


def _describe_refusal(refused: Refused) -> str:
    """Return the reason, the estimated wait and the promised time."""
    wait_ms = refused.wait_s * MS_PER_S
    retry_ms = refused.retry_after_s * MS_PER_S
    return f'{refused.reason}, wait {wait_ms:.0f}ms, retry {retry_ms:.0f}ms'

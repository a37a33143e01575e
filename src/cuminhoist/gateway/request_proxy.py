"""The way of one request: route, targets, answer."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import Any

from ..exchange import Headers
from ..logging_setup import logger
from ..problems import Refusal
from ..retries import RetryBudget
from ..steering.caller_elapsed import CallerElapsedEstimator
from ..steering.decisions import (
    AttemptReport,
    Ending,
    Granted,
    PlacementRequest,
    Refused,
)
from ..steering.targets import TargetEntry
from ..types import Reason
from .answers import (
    Send,
    TargetAnswer,
    not_run,
    send_answer,
    send_refusal,
)
from .attempt import Attempter, AttemptOutcome, abort, passed_headers
from .bodies import BodyTooLarge, CallerGone, Receive, RequestBody
from .placement_client import PlacementClient
from .refusals import (
    UNREADY_RETRY_S,
    refusal_after_attempt,
    refusal_without_target,
)
from .request_metrics import RequestMetrics, log_request
from .request_state import RequestState, RoutingState
from .routes import RepeatPolicy, Route
from .splits import Splitter
from .target_connections import TargetConnections
from .wire import IncomingRequest, WireFormat

#: Round trip between a caller and its entry instance, in seconds.
CALLER_PATH_S = 0.006
#: Time kept for the final answer to reach the caller, in seconds.
ANSWER_MARGIN_S = 0.02
#: A further attempt that has less time than this, in seconds, is not made.
MIN_ATTEMPT_S = 0.03
#: Part of the deployment's limit of further attempts that is used: the
#: instances do not agree on the number of requests at one moment.
BUDGET_PART = 0.6
MS = 1000

_log = logger('request')


class RequestProxy:
    """Serves the requests of one entry instance.

    :param wire: how requests and answers look.
    :param upstreams: connections to targets.
    :param placer: decides where requests go.
    :param recorder: counts what happens.
    :param now: returns monotonic time in seconds.
    :param retry_ratio: further attempts for each request, over all
        instances.
    :param retry_slack: further attempts in a window without requests, over
        all instances.
    """

    def __init__(
        self,
        wire: WireFormat,
        upstreams: TargetConnections,
        placer: PlacementClient,
        recorder: RequestMetrics,
        now: Callable[[], float],
        retry_ratio: float,
        retry_slack: float,
    ) -> None:
        self.routing_state = RoutingState()
        self.running_requests = 0
        self._wire = wire
        self._attempter = Attempter(wire, upstreams)
        self._link = upstreams.link
        self._placer = placer
        self._recorder = recorder
        self._now = now
        self._splitter = Splitter(random.Random())  # noqa: S311
        self._budgets: dict[str, RetryBudget] = {}
        self._retry_ratio = retry_ratio
        self._retry_slack = retry_slack
        self._patience: dict[str, CallerElapsedEstimator] = {}

    async def __call__(self, scope: Any, receive: Receive, send: Send) -> None:
        """Serve one request of a caller.

        :param scope: the ASGI scope.
        :param receive: reads from the caller.
        :param send: sends to the caller.
        """
        self.running_requests += 1
        serving = asyncio.create_task(self._serve(scope, receive, send))
        gone = scope['state']['caller_disconnected']
        try:
            await asyncio.wait(
                (serving, gone),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not serving.done():
                serving.cancel()
            await asyncio.gather(serving, return_exceptions=True)
        finally:
            self.running_requests -= 1
        if not serving.cancelled() and serving.exception() is not None:
            error = serving.exception()
            _log.opt(exception=error).error('request failed')
            scope['state']['abort']()

    async def _serve(self, scope: Any, receive: Receive, send: Send) -> None:
        arrived = self._now()
        req = self._wire.decode_request(scope)
        refusal, route = self._find(req)
        if refusal is not None or route is None:
            refusal = refusal or not_run(Reason.unknown_service, 'No route.')
            self._log_refusal(req, refusal)
            await send_refusal(
                refusal, send, closes=self.routing_state.refuses_requests
            )
            return
        run = RequestState(req, route, self._splitter.choose(route))
        self._set_times(run, arrived)
        body = RequestBody(receive, self._body_limit())
        outcome = 'gone'
        try:
            if req.has_body:
                await body.read_start()
            outcome = await self._pass(run, body, scope, send)
        except CallerGone:
            outcome = 'gone'
        except BodyTooLarge:
            outcome = await self._refuse_body(send)
        finally:
            self._record(run, outcome)

    def _body_limit(self) -> int:
        routes = self.routing_state.routes
        return routes.limits.body_bytes if routes else 0

    async def _refuse_body(self, send: Send) -> str:
        refusal = not_run(Reason.body_too_large, 'The body is too large.')
        await send_refusal(refusal, send, closes=True)
        return f'refused-{refusal.reason}'

    def _find(
        self, req: IncomingRequest
    ) -> tuple[Refusal | None, Route | None]:
        routes = self.routing_state.routes
        if routes is None or self.routing_state.refuses_requests:
            reason = (
                Reason.draining
                if self.routing_state.refuses_requests
                else Reason.no_state
            )
            return not_run(reason, 'Ask another one.', UNREADY_RETRY_S), None
        return None, routes.find(req.host, req.path)

    def _set_times(self, run: RequestState, arrived: float) -> None:
        route = run.route
        left_s = route.timeout_s if run.req.left_s is None else run.req.left_s
        # The objective runs from the first time that the caller asked.
        patience = self._patience.setdefault(
            route.name, CallerElapsedEstimator()
        )
        elapsed_s = patience.elapsed_s(left_s)
        run.arrived = arrived
        run.ends_at = arrived + min(left_s, route.timeout_s) - ANSWER_MARGIN_S
        run.useful_until = (
            arrived + route.objective_s - elapsed_s - CALLER_PATH_S
        )
        self._budget(run.service).on_request()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                random.getrandbits(32),
                self._retry_ratio * BUDGET_PART,
            )
            self._budgets[service] = budget
        share = self._retry_slack / max(self.routing_state.entry_count, 1)
        budget.limit_saved(max(share * BUDGET_PART, 1))
        return budget

    async def _pass(
        self,
        run: RequestState,
        body: RequestBody,
        scope: Any,
        send: Send,
    ) -> str:
        while True:
            ask = self._ask(run)
            decision, decider = await self._placer.request_placement(ask)
            if isinstance(decision, Refused):
                wait = f'wait {decision.wait_s * MS:.0f}ms'
                run.trail.append(f'{decider}: {decision.reason}, {wait}')
                return await self._give_up(run, decision, send)
            target = self.routing_state.targets.get(decision.target)
            run.waited_s += decision.waited_s
            if target is None:
                self._done(run, decision, Ending.withdrawn, 0)
                run.tried.append(decision.target)
                continue
            ended = await self._attempt(run, body, target, decision, decider)
            if self._may_retry(run, body, ended):
                continue
            if ended.answer is None:
                return await self._fail(run, ended, send)
            return await self._deliver(run, ended.answer, scope, send)

    async def _attempt(
        self,
        run: RequestState,
        body: RequestBody,
        target: TargetEntry,
        decision: Granted,
        decider: str,
    ) -> AttemptOutcome:
        started = self._now()
        done = AttemptReport(
            decision.number,
            target.name,
            run.service,
            run.req.key,
            Ending.withdrawn,
            0,
        )
        self._placer.running_attempts[decision.number] = done
        ending = Ending.withdrawn
        try:
            outcome = await self._attempter.send(
                run.req,
                body,
                target,
                run.ends_at - started,
            )
            ending = outcome.ending
        finally:
            self._note_attempt(run, decision, decider, ending, started)
        if outcome.detail:
            run.trail.append(outcome.detail)
        run.may_have_run = run.may_have_run or outcome.may_have_run
        return outcome

    def _note_attempt(
        self,
        run: RequestState,
        decision: Granted,
        decider: str,
        ending: Ending,
        started: float,
    ) -> None:
        run_s = self._now() - started
        self._done(run, decision, ending, run_s)
        run.tried.append(decision.target)
        took = f'{run_s * MS:.0f}ms'
        held = 'held' if decision.held else 'first'
        place = f'{decision.target} in {decision.region}, {held}'
        run.trail.append(f'{decider}: {place}: {ending} {took}')

    def _done(
        self,
        run: RequestState,
        decision: Granted,
        ending: Ending,
        run_s: float,
    ) -> None:
        self._recorder.attempts.labels(run.service, ending).inc()
        self._placer.report_attempt_end(
            AttemptReport(
                decision.number,
                decision.target,
                run.service,
                run.req.key,
                ending,
                run_s,
            ),
        )

    def _may_retry(
        self,
        run: RequestState,
        body: RequestBody,
        ended: AttemptOutcome,
    ) -> bool:
        if ended.ending is Ending.answered:
            return False
        barred = self._why_final(run, body, ended)
        if barred:
            run.trail.append(f'no further attempt: {barred}')
            return False
        if ended.answer is not None:
            run.kept_failure = ended.answer
        return True

    def _why_final(
        self,
        run: RequestState,
        body: RequestBody,
        ended: AttemptOutcome,
    ) -> str:
        """Return why an attempt is the last one; empty if it is not."""
        late = self._now() + MIN_ATTEMPT_S >= run.ends_at
        if late or ended.ending is Ending.timeout:
            return 'no time left'
        if ended.may_have_run and run.route.repeat is RepeatPolicy.once:
            return 'it may have run'
        if not body.repeatable:
            return 'the body has been passed on'
        if len(run.tried) >= run.route.max_targets:
            return 'no more targets for this route'
        if ended.ending is Ending.unreachable:
            # Nothing was sent, so nothing is repeated.
            return ''
        if not self._budget(run.service).try_retry():
            return 'the budget is spent'
        return ''

    async def _give_up(
        self, run: RequestState, refused: Refused, send: Send
    ) -> str:
        kept = run.kept_failure
        if kept is not None and kept.whole:
            headers = passed_headers(self._wire, kept)
            await send_answer(kept, headers, send, self._link)
            return f'answered-{kept.status}'
        refusal = refusal_without_target(run, refused)
        await send_refusal(refusal, send)
        return f'refused-{refusal.reason}'

    async def _fail(
        self,
        run: RequestState,
        ended: AttemptOutcome,
        send: Send,
    ) -> str:
        refusal = refusal_after_attempt(run, ended)
        await send_refusal(refusal, send)
        return f'failed-{refusal.reason}'

    async def _deliver(
        self,
        run: RequestState,
        answer: TargetAnswer,
        scope: Any,
        send: Send,
    ) -> str:
        headers: Headers = passed_headers(self._wire, answer)
        try:
            async with asyncio.timeout(
                max(run.ends_at - self._now(), MIN_ATTEMPT_S),
            ):
                await send_answer(answer, headers, send, self._link)
        except (Exception, asyncio.CancelledError) as exc:
            # What has been sent must not look like a whole answer.
            abort(answer.exchange)
            scope['state']['abort']()
            run.trail.append(f'answer cut: {exc!r}')
            return 'cut'
        return f'answered-{answer.status}'

    def _ask(self, run: RequestState) -> PlacementRequest:
        now = self._now()
        return PlacementRequest(
            number=self._placer.next_number(),
            service=run.service,
            key=run.req.key,
            objective_left_s=run.useful_until - now,
            left_s=run.ends_at - now,
            allowed_regions=run.route.allowed_regions,
            excluded=tuple(run.tried),
        )

    def _record(self, run: RequestState, outcome: str) -> None:
        took_s = self._now() - run.arrived
        self._recorder.requests.labels(run.service, outcome).inc()
        self._recorder.latency.labels(run.service).observe(took_s)
        self._recorder.waited.labels(run.service).observe(run.waited_s)
        routes = self.routing_state.routes
        log_request(
            id=run.req.request_id,
            route=run.route.name,
            service=run.service,
            object=run.req.key,
            left_ms=round((run.req.left_s or 0) * MS),
            config_version=routes.version if routes else 0,
            list_age_ms=self._list_age_ms(),
            waited_ms=round(run.waited_s * MS),
            trail=run.trail,
            outcome=outcome,
            took_ms=round(took_s * MS),
        )

    def _list_age_ms(self) -> int | None:
        age_s = self._now() - self.routing_state.target_list_read_at
        return None if math.isinf(age_s) else round(age_s * MS)

    def _log_refusal(self, req: IncomingRequest, refusal: Refusal) -> None:
        self._recorder.requests.labels('', refusal.reason).inc()
        routes = self.routing_state.routes
        log_request(
            id=req.request_id,
            host=req.host,
            path=req.path,
            config_version=routes.version if routes else 0,
            outcome=f'refused-{refusal.reason}',
        )

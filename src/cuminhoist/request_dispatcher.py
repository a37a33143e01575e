"""Attempts of a request until it is answered or given up."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from .admission import Admission, AdmissionRequest
from .attempts import Attempt
from .caller_request import CheckedRequest
from .clock import Clock
from .hop_signing import Hop
from .hop_signing import HopRequest as HopRoute
from .local_attempts import AttemptCompletion, LocalAttempts, PendingAnswer
from .peer_client import PeerClient, origin_hop
from .problems import Refusal
from .refusals import refuse
from .retries import RetryBudget
from .routing import GrantRoute, LocalRoute, PeerRoute, Router
from .settings import Instance
from .tracing import Tracer
from .types import Ran, Reason

#: Hops of one request that may be refused before it is given up.
MAX_REFUSED_HOPS = 2
RETRY_NO_ROUTE_MS = 1000

#: Refusals by the target of an attempt, not by admission.
_AT_TARGET = frozenset(
    (
        Reason.target_refused,
        Reason.target_lost,
        Reason.target_timeout,
        Reason.no_target,
    ),
)


class _Progress(msgspec.Struct):
    """What was tried for a request so far.

    :param may_have_run: whether an attempt may have run at its target.
    """

    targets: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    retries: int = 0
    refused_hops: int = 0
    last_hop: bool = False
    may_have_run: bool = False


class DispatchDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """What requests are sent through.

    :param own: this instance.
    :param router: chooses where an attempt goes.
    :param admission: gives slots of own targets.
    :param local: sends attempts to own targets.
    :param peers: sends attempts to other instances.
    :param budget: limits further attempts.
    :param tracer: makes a span for each hop.
    """

    own: Instance
    router: Router
    admission: Admission
    local: LocalAttempts
    peers: PeerClient
    budget: RetryBudget
    clock: Clock
    tracer: Tracer


class RequestDispatcher:
    """Sends requests to own targets, peers and other failure domains.

    :param parts: what it sends requests through.
    """

    def __init__(self, parts: DispatchDependencies) -> None:
        self._own = parts.own
        self._router = parts.router
        self._admission = parts.admission
        self._local = parts.local
        self._peers = parts.peers
        self._budget = parts.budget
        self._clock = parts.clock
        self._tracer = parts.tracer

    async def send(
        self,
        checked: CheckedRequest,
    ) -> Result[PendingAnswer, Refusal]:
        """Attempt a request until an answer begins or it is given up.

        :param checked: the request; its rate has been charged.
        """
        self._budget.on_request()
        progress = _Progress()
        while True:
            outcome = await self._attempt(checked, progress)
            if isinstance(outcome, Success):
                return outcome
            refusal = outcome.failure()
            if refusal.ran == Ran.unknown:
                progress.may_have_run = True
            if not await self._may_repeat(checked, refusal, progress):
                return Failure(_about_all(refusal, progress))

    async def send_to_key_home(
        self,
        checked: CheckedRequest,
        home: Instance,
    ) -> Result[PendingAnswer, Refusal]:
        """Pass a request on to the home of its idempotency key.

        :param checked: the request.
        :param home: the home.
        """
        return await self._send_to_peer(checked, home, may_queue=True)

    async def _attempt(
        self,
        checked: CheckedRequest,
        progress: _Progress,
    ) -> Result[PendingAnswer, Refusal]:
        route = self._router.choose(checked, progress.instances)
        progress.last_hop = isinstance(route, (PeerRoute, GrantRoute))
        if isinstance(route, LocalRoute):
            return await self._attempt_here(checked, progress)
        if isinstance(route, PeerRoute):
            progress.instances |= {route.peer.name}
            return await self._send_to_peer(
                checked,
                route.peer,
                may_queue=route.may_queue,
            )
        if isinstance(route, GrantRoute):
            progress.instances |= {route.peer.name}
            return await self._send_granted(checked, route)
        return refuse(
            Reason.no_slot,
            f'No instance has a slot of {checked.service.name}.',
            checked.entitlement.plan,
            RETRY_NO_ROUTE_MS,
        )

    async def _attempt_here(
        self,
        checked: CheckedRequest,
        progress: _Progress,
    ) -> Result[PendingAnswer, Refusal]:
        with self._tracer.span('admission'):
            admitted = await self._admission.admit(
                admission_request(checked, progress.targets),
            )
        if isinstance(admitted, Failure):
            return admitted
        slot = admitted.unwrap()
        progress.targets |= {slot.target.name}
        return await self._local.send(checked, slot)

    async def _send_granted(
        self,
        checked: CheckedRequest,
        route: GrantRoute,
    ) -> Result[PendingAnswer, Refusal]:
        try:
            outcome = await self._send_to_peer(
                checked,
                route.peer,
                may_queue=False,
            )
        except asyncio.CancelledError:
            route.permit.release()
            raise
        if isinstance(outcome, Failure):
            route.permit.release()
        else:
            outcome.unwrap().completion.add_listener(
                lambda _outcome: route.permit.release()
            )
        return outcome

    async def _send_to_peer(
        self,
        checked: CheckedRequest,
        peer: Instance,
        *,
        may_queue: bool,
    ) -> Result[PendingAnswer, Refusal]:
        end = AttemptCompletion(lambda _outcome, _latency_s: None)
        with self._tracer.span('peer hop', peer=peer.name):
            outcome = await self._peers.send(
                peer,
                _hop_route(checked),
                self._hop(checked, may_queue=may_queue),
                self._hop_attempt(checked, end),
            )
        if isinstance(outcome, Failure):
            return outcome
        return Success(PendingAnswer(outcome.unwrap(), end))

    def _hop_attempt(
        self,
        checked: CheckedRequest,
        end: AttemptCompletion,
    ) -> Attempt:
        return checked.new_attempt(
            self._clock.now(),
            end,
            self._tracer.outgoing_traceparent(checked.req.traceparent),
        )

    def _hop(self, checked: CheckedRequest, *, may_queue: bool) -> Hop:
        return msgspec.structs.replace(
            origin_hop(self._own.name, self._own.domain, checked.home_region),
            may_queue=may_queue,
        )

    async def _may_repeat(
        self,
        checked: CheckedRequest,
        refusal: Refusal,
        progress: _Progress,
    ) -> bool:
        if not checked.body.is_replayable:
            return False
        if refusal.ran == Ran.unknown and not checked.kind.repeatable:
            return False
        if refusal.reason in _AT_TARGET:
            return await self._may_retry(checked, progress)
        if progress.last_hop:
            progress.refused_hops += 1
            return progress.refused_hops <= MAX_REFUSED_HOPS
        return False

    async def _may_retry(
        self,
        checked: CheckedRequest,
        progress: _Progress,
    ) -> bool:
        if not self._budget.try_retry():
            return False
        progress.retries += 1
        pause_s = self._budget.backoff_s(progress.retries)
        if self._clock.now() + pause_s >= checked.deadline_at:
            return False
        await asyncio.sleep(pause_s)
        return True


def _about_all(refusal: Refusal, progress: _Progress) -> Refusal:
    """Return a refusal that is true of all attempts of a request.

    :param refusal: the refusal of the last attempt.
    :param progress: what was tried before.
    """
    if progress.may_have_run:
        return msgspec.structs.replace(refusal, ran=Ran.unknown)
    return refusal


def admission_request(
    checked: CheckedRequest,
    exclude: frozenset[str] = frozenset(),
) -> AdmissionRequest:
    """Return what admission needs to know; the rate was charged before.

    :param checked: the request.
    :param exclude: names of targets not to use.
    """
    return AdmissionRequest(
        service=checked.service.name,
        caller=checked.req.caller,
        plan=checked.entitlement.plan,
        plan_weight=checked.entitlement.weight,
        cost=checked.kind.weight,
        deadline_at=checked.deadline_at,
        origin_region=checked.home_region,
        exclude=exclude,
        charged=True,
    )


def _hop_route(checked: CheckedRequest) -> HopRoute:
    req = checked.req
    return HopRoute(req.method, f'/{req.service}{req.path}', req.caller)

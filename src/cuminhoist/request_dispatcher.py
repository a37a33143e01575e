"""Sends attempts of a request until one is answered or it is refused.

Each attempt goes to an own target, a domain peer or another failure domain.
A request is sent again only if its body can be replayed and no second run
can do harm; a budget limits retries, so that they don't multiply the load of
failing targets.
"""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from .admission import Admission, AdmissionRequest
from .attempts import Attempt
from .caller_request import CheckedRequest
from .clock import Clock
from .hop_signing import Hop, HopRequest
from .local_attempts import AttemptCompletion, LocalAttempts, PendingAnswer
from .peer_client import PeerClient, origin_hop
from .problems import Refusal
from .refusals import refuse
from .retries import RetryBudget
from .routing import GrantRoute, LocalRoute, PeerRoute, Router
from .settings import Instance
from .tracing import Tracer
from .types import Ran, Reason

#: A request is refused after more refused hops than this.
MAX_REFUSED_HOPS = 2
NO_ROUTE_RETRY_AFTER_MS = 1000

#: Reasons of refusals that arise at a target rather than in admission.
_REASONS_AT_TARGET = frozenset(
    (
        Reason.target_refused,
        Reason.target_lost,
        Reason.target_timeout,
        Reason.no_target,
    ),
)


class _Progress(msgspec.Struct):
    """Attempts of a request so far.

    :param targets: names of the own targets that were tried.
    :param instances: names of the other instances that were tried.
    :param retries: number of retries.
    :param refused_hops: number of hops that were refused.
    :param last_was_hop: whether the last attempt went to another instance.
    :param may_have_run: whether an attempt may have run at its target.
    """

    targets: frozenset[str] = frozenset()
    instances: frozenset[str] = frozenset()
    retries: int = 0
    refused_hops: int = 0
    last_was_hop: bool = False
    may_have_run: bool = False


class DispatchDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of the request dispatcher.

    :param own: this instance.
    :param router: chooses where an attempt is sent.
    :param admission: gives slots of own targets.
    :param local: sends attempts to own targets.
    :param peers: sends attempts to other instances.
    :param budget: limits retries.
    :param clock: time source.
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

    :param dependencies: its dependencies.
    """

    def __init__(self, dependencies: DispatchDependencies) -> None:
        self._own = dependencies.own
        self._router = dependencies.router
        self._admission = dependencies.admission
        self._local = dependencies.local
        self._peers = dependencies.peers
        self._budget = dependencies.budget
        self._clock = dependencies.clock
        self._tracer = dependencies.tracer

    async def send(
        self,
        checked: CheckedRequest,
    ) -> Result[PendingAnswer, Refusal]:
        """Send attempts until an answer begins or the request is refused.

        :param checked: the request; it is charged to the rate already.
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
            if not await self._may_continue(checked, refusal, progress):
                return Failure(_refusal_of_all_attempts(refusal, progress))

    async def send_to_key_home(
        self,
        checked: CheckedRequest,
        home: Instance,
    ) -> Result[PendingAnswer, Refusal]:
        """Send a request to the home of its idempotency key.

        :param checked: the request.
        :param home: the key home.
        """
        return await self._send_to_peer(checked, home, may_queue=True)

    async def _attempt(
        self,
        checked: CheckedRequest,
        progress: _Progress,
    ) -> Result[PendingAnswer, Refusal]:
        route = self._router.choose(checked, progress.instances)
        progress.last_was_hop = isinstance(route, (PeerRoute, GrantRoute))
        if isinstance(route, LocalRoute):
            return await self._attempt_locally(checked, progress)
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
            NO_ROUTE_RETRY_AFTER_MS,
        )

    async def _attempt_locally(
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
        completion = AttemptCompletion(lambda _outcome, _latency_s: None)
        with self._tracer.span('peer hop', peer=peer.name):
            outcome = await self._peers.send(
                peer,
                _hop_request(checked),
                self._hop(checked, may_queue=may_queue),
                self._hop_attempt(checked, completion),
            )
        if isinstance(outcome, Failure):
            return outcome
        return Success(PendingAnswer(outcome.unwrap(), completion))

    def _hop_attempt(
        self,
        checked: CheckedRequest,
        completion: AttemptCompletion,
    ) -> Attempt:
        return checked.new_attempt(
            self._clock.now(),
            completion,
            self._tracer.outgoing_traceparent(checked.req.traceparent),
        )

    def _hop(self, checked: CheckedRequest, *, may_queue: bool) -> Hop:
        return msgspec.structs.replace(
            origin_hop(self._own.name, self._own.domain, checked.home_region),
            may_queue=may_queue,
        )

    async def _may_continue(
        self,
        checked: CheckedRequest,
        refusal: Refusal,
        progress: _Progress,
    ) -> bool:
        if not checked.body.is_replayable:
            return False
        if refusal.ran == Ran.unknown and not checked.kind.repeatable:
            return False
        if refusal.reason in _REASONS_AT_TARGET:
            return await self._may_retry(checked, progress)
        if progress.last_was_hop:
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
        backoff_s = self._budget.backoff_s(progress.retries)
        if self._clock.now() + backoff_s >= checked.deadline_at:
            return False
        await asyncio.sleep(backoff_s)
        return True


def _refusal_of_all_attempts(refusal: Refusal, progress: _Progress) -> Refusal:
    """Return the refusal of a request after its last attempt.

    The last attempt may not have run while an earlier one may have, and then
    the refusal must not say that the request did not run.

    :param refusal: the refusal of the last attempt.
    :param progress: the attempts so far.
    """
    if progress.may_have_run:
        return msgspec.structs.replace(refusal, ran=Ran.unknown)
    return refusal


def admission_request(
    checked: CheckedRequest,
    exclude: frozenset[str] = frozenset(),
) -> AdmissionRequest:
    """Return the admission request of a request that is charged already.

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


def _hop_request(checked: CheckedRequest) -> HopRequest:
    req = checked.req
    return HopRequest(req.method, f'/{req.service}{req.path}', req.caller)

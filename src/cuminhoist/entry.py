"""Serves requests at an entry instance, from arrival to the answer.

Requests come from callers, or from another entry instance that forwards
them (a hop). A caller's request is checked, charged to its plan's rate,
dispatched to a target and counted in the accounts with its outcome. A hop
has passed checks, rate and accounts at the instance that received it, so
it is checked again but neither charged nor counted here.
"""

import msgspec
from returns.result import Failure, Result, Success

from .account_records import Outcome
from .admission import Admission
from .attempts import Answer
from .caller_request import CallerRequest, CheckedRequest, ReplayBody
from .clock import Clock
from .grants import GrantTable
from .headers import body_framing
from .hop_signing import Hop
from .idempotent_runner import IdempotentRunner, require_key
from .key_records import IdempotencyKey, parse_key
from .key_store import KeyStore
from .local_attempts import LocalAttempts, PendingAnswer
from .lookup import Lookup
from .membership import Membership
from .metrics import Metrics
from .problems import Refusal
from .rates import RateLimiter
from .refusals import refuse
from .region_links import LinkBudget, LinkDirection
from .request_accounts import OpenRequest, RequestAccounts
from .request_checks import RequestChecks
from .request_dispatcher import RequestDispatcher, admission_request
from .routing import Router
from .settings import Instance, Topology
from .slots import SlotOutcome, SlotSource
from .tracing import Tracer
from .types import Ran, Reason

_MS_PER_S = 1000
_OUTCOME_BY_SLOT_OUTCOME = {
    SlotOutcome.answered: Outcome.answered,
    SlotOutcome.failed: Outcome.failed,
    SlotOutcome.not_run: Outcome.refused,
    SlotOutcome.unknown: Outcome.unknown,
}


class EntryDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """The dependencies of :class:`EntryService`."""

    topology: Topology
    own: Instance
    clock: Clock
    membership: Membership
    checks: RequestChecks
    lookup: Lookup
    rates: RateLimiter
    admission: Admission
    local: LocalAttempts
    dispatcher: RequestDispatcher
    keys: KeyStore
    grants: GrantTable
    links: LinkBudget
    accounts: RequestAccounts
    slots: SlotSource
    router: Router
    tracer: Tracer
    metrics: Metrics


class EntryService:
    """Serves requests of callers and of other instances.

    :param deps: the dependencies.
    """

    def __init__(self, deps: EntryDependencies) -> None:
        self._deps = deps
        self._keyed = IdempotentRunner(deps.keys, deps.dispatcher.send)
        self._instances: dict[str, Instance] = {
            entry.name: entry for entry in deps.topology.entry_instances()
        }
        #: Whether new requests are refused; set during a stop, once cached
        #: look-ups that name this instance have expired.
        self.refuses_new = False
        #: Monotonic time at which the last request arrived.
        self.last_arrival_at = deps.clock.now()

    async def serve(self, req: CallerRequest) -> Result[Answer, Refusal]:
        """Return the answer of a target, or a refusal.

        :param req: the request.
        """
        self.last_arrival_at = self._deps.clock.now()
        with self._deps.tracer.span(
            'request' if req.hop is None else 'hop',
            incoming=req.traceparent,
            service=req.service,
            kind=req.kind,
        ):
            if req.hop is not None:
                return await self._serve_hop(req, req.hop)
            return await self._serve_and_account(req)

    async def _serve_and_account(
        self,
        req: CallerRequest,
    ) -> Result[Answer, Refusal]:
        open_req = self._deps.accounts.open_request(
            req.caller,
            req.service,
            req.kind,
            self._kind_weight(req),
        )
        try:
            outcome = await self._serve_caller(req)
        except BaseException:
            open_req.record_outcome(Outcome.cancelled, Reason.cancelled)
            raise
        return self._account_result(open_req, outcome)

    async def _serve_caller(
        self,
        req: CallerRequest,
    ) -> Result[PendingAnswer, Refusal]:
        if self.refuses_new:
            return refuse(
                Reason.draining,
                'This instance is stopping; look up another one.',
                retry_after_ms=1,
            )
        home_domain = self._deps.lookup.home_of(req.client_ip)
        check_result = self._deps.checks.check(req, home_domain)
        if isinstance(check_result, Failure):
            return check_result
        checked = check_result.unwrap()
        cost = checked.kind.weight
        rates = self._deps.rates
        if not rates.try_charge(req.caller, req.service, cost):
            wait_s = rates.wait_s(req.caller, req.service, cost)
            return refuse(
                Reason.rate_exceeded,
                f'Rate limit of plan {checked.entitlement.plan!r} exceeded.',
                checked.entitlement.plan,
                max(int(min(wait_s, 30) * _MS_PER_S), 1),
            )
        outcome = await self._dispatch(checked)
        if isinstance(outcome, Failure):
            if outcome.failure().ran == Ran.not_run:
                rates.refund(req.caller, req.service, cost)
        return outcome

    async def _dispatch(
        self,
        checked: CheckedRequest,
    ) -> Result[PendingAnswer, Refusal]:
        if checked.kind.repeatable:
            return await self._deps.dispatcher.send(checked)
        key = parse_key(checked.req.idempotency_key)
        if key is None:
            return require_key(checked)
        if key.instance == self._deps.own.name:
            return await self._keyed.serve(checked, key)
        return await self._forward_to_key_home(checked, key)

    async def _forward_to_key_home(
        self,
        checked: CheckedRequest,
        key: IdempotencyKey,
    ) -> Result[PendingAnswer, Refusal]:
        key_home = self._instances.get(key.instance)
        if key_home is None:
            return require_key(checked)
        outcome = await self._deps.dispatcher.send_to_key_home(
            checked, key_home
        )
        if isinstance(outcome, Success):
            return outcome
        refusal = outcome.failure()
        if refusal.reason in {Reason.no_target, Reason.target_lost}:
            # The key home did not run this request, but an earlier request
            # with this key may have run; only the key home has its record.
            return Failure(
                Refusal(
                    ran=Ran.unknown,
                    reason=Reason.key_home_unreachable,
                    detail=f'Key home {key_home.name} is not reachable. Use a '
                    'new ticket only if this was the first attempt.',
                    plan=checked.entitlement.plan,
                    retry_after_ms=_MS_PER_S,
                ),
            )
        return outcome

    async def _serve_hop(
        self,
        req: CallerRequest,
        hop: Hop,
    ) -> Result[Answer, Refusal]:
        home_domain = self._home_domain(hop)
        check_result = self._deps.checks.check(req, home_domain)
        if isinstance(check_result, Failure):
            return check_result
        checked = msgspec.structs.replace(
            check_result.unwrap(),
            home_region=hop.region,
        )
        key = (
            parse_key(req.idempotency_key)
            if not checked.kind.repeatable
            else None
        )
        if key is not None and key.instance == self._deps.own.name:
            outcome = await self._keyed.serve(checked, key)
        else:
            outcome = await self._serve_forwarded(checked, hop)
        if isinstance(outcome, Failure):
            return outcome
        return Success(outcome.unwrap().answer)

    async def _serve_forwarded(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        # Only requests of other domains need a grant.
        if hop.domain == self._deps.own.domain:
            return await self._admit_and_send(checked, hop)
        granted_req = self._deps.grants.try_admit(
            hop.origin, checked.service.name
        )
        if granted_req is None:
            return refuse(
                Reason.no_slot,
                'The grant has expired or is used up, or no slot is free.',
                checked.entitlement.plan,
                _MS_PER_S,
            )
        try:
            outcome = await self._serve_cross_domain(checked, hop)
        except BaseException:
            granted_req.release()
            raise
        if isinstance(outcome, Failure):
            granted_req.release()
        else:
            outcome.unwrap().completion.add_listener(
                lambda _slot_outcome: granted_req.release()
            )
        return outcome

    async def _serve_cross_domain(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        region = self._deps.topology.region_of(hop.domain)
        reserve_result = self._deps.links.try_reserve(
            region,
            LinkDirection.requests,
            body_framing(checked.req.headers).length or 0,
            checked.deadline_at,
            checked.entitlement.plan,
        )
        if isinstance(reserve_result, Failure):
            return reserve_result
        paced_body = self._deps.links.pace(
            region,
            LinkDirection.requests,
            checked.req.body,
            reserve_result.unwrap(),
        )
        outcome = await self._admit_and_send(
            msgspec.structs.replace(checked, body=ReplayBody(paced_body)),
            hop,
        )
        if isinstance(outcome, Failure):
            reservation = reserve_result.unwrap()
            if reservation is not None:
                reservation.close()
            return outcome
        return Success(self._pace_answer(outcome.unwrap(), region))

    def _pace_answer(
        self, pending: PendingAnswer, region: str
    ) -> PendingAnswer:
        answer = pending.answer
        body = self._deps.links.pace(
            region, LinkDirection.responses, answer.body
        )
        return PendingAnswer(
            msgspec.structs.replace(answer, body=body),
            pending.completion,
        )

    async def _admit_and_send(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        req = admission_request(checked)
        if hop.may_queue:
            admit_result = await self._deps.admission.admit(req)
        else:
            admit_result = self._deps.admission.try_admit(req)
        if isinstance(admit_result, Failure):
            return admit_result
        return await self._deps.local.send(checked, admit_result.unwrap())

    def _home_domain(self, hop: Hop) -> str:
        domain_names = {entry.name for entry in self._deps.topology.domains}
        return (
            hop.domain if hop.domain in domain_names else self._deps.own.domain
        )

    def _account_result(
        self,
        open_req: OpenRequest,
        outcome: Result[PendingAnswer, Refusal],
    ) -> Result[Answer, Refusal]:
        if isinstance(outcome, Failure):
            refusal = outcome.failure()
            self._record_outcome(
                open_req, _outcome_of_refusal(refusal), refusal.reason
            )
            return outcome
        pending = outcome.unwrap()
        pending.completion.add_listener(
            lambda slot_outcome: self._record_outcome(
                open_req, _OUTCOME_BY_SLOT_OUTCOME[slot_outcome]
            ),
        )
        return Success(pending.answer)

    def _record_outcome(
        self,
        open_req: OpenRequest,
        outcome: Outcome,
        reason: str = '',
    ) -> None:
        open_req.record_outcome(outcome, reason)
        service = open_req.names[1]
        self._deps.metrics.count(f'requests.{service}.{outcome}')
        if outcome == Outcome.answered:
            latency_s = self._deps.clock.now() - open_req.opened_at
            self._deps.metrics.timing(f'latency.{service}', latency_s)

    def _kind_weight(self, req: CallerRequest) -> float:
        service = self._deps.topology.service(req.service)
        kind = service.kind(req.kind) if service else None
        return kind.weight if kind else 1


def _outcome_of_refusal(refusal: Refusal) -> Outcome:
    if refusal.reason == Reason.cancelled:
        return Outcome.cancelled
    if refusal.ran == Ran.not_run:
        return Outcome.refused
    return Outcome.unknown

"""The path of a request through an entry instance."""

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

_MS = 1000
_OUTCOMES = {
    SlotOutcome.answered: Outcome.answered,
    SlotOutcome.failed: Outcome.failed,
    SlotOutcome.not_run: Outcome.refused,
    SlotOutcome.unknown: Outcome.unknown,
}


class EntryDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of an instance that requests pass through."""

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

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: EntryDependencies) -> None:
        self._parts = parts
        self._keyed = IdempotentRunner(parts.keys, parts.dispatcher.send)
        self._instances: dict[str, Instance] = {
            entry.name: entry for entry in parts.topology.entry_instances()
        }
        #: Set when clients' cached look-ups name this instance no more.
        self.refuses_new = False
        #: Monotonic time at which the last request arrived.
        self.last_arrival = parts.clock.now()

    async def serve(self, req: CallerRequest) -> Result[Answer, Refusal]:
        """Return the answer of a target, or a refusal.

        :param req: the request.
        """
        self.last_arrival = self._parts.clock.now()
        with self._parts.tracer.span(
            'request' if req.hop is None else 'hop',
            incoming=req.traceparent,
            service=req.service,
            kind=req.kind,
        ):
            if req.hop is not None:
                return await self._serve_hop(req, req.hop)
            return await self._serve_counted(req)

    async def _serve_counted(
        self,
        req: CallerRequest,
    ) -> Result[Answer, Refusal]:
        ticket = self._parts.accounts.open_request(
            req.caller,
            req.service,
            req.kind,
            self._weight(req),
        )
        try:
            outcome = await self._serve_caller(req)
        except BaseException:
            ticket.record_outcome(Outcome.cancelled, Reason.cancelled)
            raise
        return self._accounted(ticket, outcome)

    async def _serve_caller(
        self,
        req: CallerRequest,
    ) -> Result[PendingAnswer, Refusal]:
        if self.refuses_new:
            return refuse(
                Reason.draining,
                'This instance stops; look up another one.',
                retry_after_ms=1,
            )
        home = self._parts.lookup.home_of(req.client_ip)
        found = self._parts.checks.check(req, home)
        if isinstance(found, Failure):
            return found
        checked = found.unwrap()
        cost = checked.kind.weight
        rates = self._parts.rates
        if not rates.try_charge(req.caller, req.service, cost):
            wait_s = rates.wait_s(req.caller, req.service, cost)
            return refuse(
                Reason.rate_exceeded,
                f'The rate of plan {checked.entitlement.plan!r} is used up.',
                checked.entitlement.plan,
                max(int(min(wait_s, 30) * _MS), 1),
            )
        outcome = await self._run(checked)
        if isinstance(outcome, Failure):
            if outcome.failure().ran == Ran.not_run:
                rates.refund(req.caller, req.service, cost)
        return outcome

    async def _run(
        self,
        checked: CheckedRequest,
    ) -> Result[PendingAnswer, Refusal]:
        if checked.kind.repeatable:
            return await self._parts.dispatcher.send(checked)
        key = parse_key(checked.req.idempotency_key)
        if key is None:
            return require_key(checked)
        if key.instance == self._parts.own.name:
            return await self._keyed.serve(checked, key)
        return await self._pass_to_home(checked, key)

    async def _pass_to_home(
        self,
        checked: CheckedRequest,
        key: IdempotencyKey,
    ) -> Result[PendingAnswer, Refusal]:
        home = self._instances.get(key.instance)
        if home is None:
            return require_key(checked)
        outcome = await self._parts.dispatcher.send_to_key_home(checked, home)
        if isinstance(outcome, Success):
            return outcome
        refusal = outcome.failure()
        if refusal.reason in {Reason.no_target, Reason.target_lost}:
            # This attempt may not have run, but an earlier one with the
            # same key may have; only the home could tell.
            return Failure(
                Refusal(
                    ran=Ran.unknown,
                    reason=Reason.key_home_unreachable,
                    detail=f'{home.name} is not reachable. A new ticket is '
                    'safe if this was the first attempt.',
                    plan=checked.entitlement.plan,
                    retry_after_ms=_MS,
                ),
            )
        return outcome

    async def _serve_hop(
        self,
        req: CallerRequest,
        hop: Hop,
    ) -> Result[Answer, Refusal]:
        home = self._hop_home(hop)
        found = self._parts.checks.check(req, home)
        if isinstance(found, Failure):
            return found
        checked = msgspec.structs.replace(
            found.unwrap(),
            home_region=hop.region,
        )
        key = (
            parse_key(req.idempotency_key)
            if not checked.kind.repeatable
            else None
        )
        if key is not None and key.instance == self._parts.own.name:
            outcome = await self._keyed.serve(checked, key)
        else:
            outcome = await self._serve_slot(checked, hop)
        if isinstance(outcome, Failure):
            return outcome
        return Success(outcome.unwrap().answer)

    async def _serve_slot(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        if hop.domain == self._parts.own.domain:
            return await self._serve_with_slot(checked, hop)
        arrival = self._parts.grants.try_admit(hop.origin, checked.service.name)
        if arrival is None:
            return refuse(
                Reason.no_slot,
                'The grant has ended or no slot is free.',
                checked.entitlement.plan,
                _MS,
            )
        try:
            outcome = await self._serve_across(checked, hop)
        except BaseException:
            arrival.release()
            raise
        if isinstance(outcome, Failure):
            arrival.release()
        else:
            outcome.unwrap().completion.add_listener(
                lambda _outcome: arrival.release()
            )
        return outcome

    async def _serve_across(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        region = self._parts.topology.region_of(hop.domain)
        reserved = self._parts.links.try_reserve(
            region,
            LinkDirection.requests,
            body_framing(checked.req.headers).length or 0,
            checked.deadline_at,
            checked.entitlement.plan,
        )
        if isinstance(reserved, Failure):
            return reserved
        paced = self._parts.links.pace(
            region,
            LinkDirection.requests,
            checked.req.body,
            reserved.unwrap(),
        )
        outcome = await self._serve_with_slot(
            msgspec.structs.replace(checked, body=ReplayBody(paced)),
            hop,
        )
        if isinstance(outcome, Failure):
            reservation = reserved.unwrap()
            if reservation is not None:
                reservation.close()
            return outcome
        return Success(self._paced_answer(outcome.unwrap(), region))

    def _paced_answer(
        self, dispatched: PendingAnswer, region: str
    ) -> PendingAnswer:
        answer = dispatched.answer
        body = self._parts.links.pace(
            region, LinkDirection.responses, answer.body
        )
        return PendingAnswer(
            msgspec.structs.replace(answer, body=body),
            dispatched.completion,
        )

    async def _serve_with_slot(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[PendingAnswer, Refusal]:
        req = admission_request(checked)
        if hop.may_queue:
            admitted = await self._parts.admission.admit(req)
        else:
            admitted = self._parts.admission.try_admit(req)
        if isinstance(admitted, Failure):
            return admitted
        return await self._parts.local.send(checked, admitted.unwrap())

    def _hop_home(self, hop: Hop) -> str:
        known = {entry.name for entry in self._parts.topology.domains}
        return hop.domain if hop.domain in known else self._parts.own.domain

    def _accounted(
        self,
        ticket: OpenRequest,
        outcome: Result[PendingAnswer, Refusal],
    ) -> Result[Answer, Refusal]:
        if isinstance(outcome, Failure):
            refusal = outcome.failure()
            self._close(ticket, _refused_as(refusal), refusal.reason)
            return outcome
        dispatched = outcome.unwrap()
        dispatched.completion.add_listener(
            lambda ended: self._close(ticket, _OUTCOMES[ended]),
        )
        return Success(dispatched.answer)

    def _close(
        self,
        ticket: OpenRequest,
        outcome: Outcome,
        reason: str = '',
    ) -> None:
        ticket.record_outcome(outcome, reason)
        service = ticket.names[1]
        self._parts.metrics.count(f'requests.{service}.{outcome}')
        if outcome == Outcome.answered:
            spent_s = self._parts.clock.now() - ticket.opened_at
            self._parts.metrics.timing(f'latency.{service}', spent_s)

    def _weight(self, req: CallerRequest) -> float:
        service = self._parts.topology.service(req.service)
        kind = service.kind(req.kind) if service else None
        return kind.weight if kind else 1


def _refused_as(refusal: Refusal) -> Outcome:
    if refusal.reason == Reason.cancelled:
        return Outcome.cancelled
    if refusal.ran == Ran.not_run:
        return Outcome.refused
    return Outcome.unknown

"""The path of a request through an entry instance."""

import msgspec
from returns.result import Failure, Result, Success

from .accounting import Accounts, Ticket
from .accounts import Outcome
from .admission import Admission
from .attempts import Answer
from .caller_request import CallerRequest, CheckedRequest, ReplayBody
from .clock import Clock
from .dispatch import Dispatcher, admission_request
from .grants import GrantTable
from .headers import framing
from .hops import Hop
from .key_records import Key, parse_key
from .keyed import KeyedRuns, require_key
from .keys import KeyStore
from .links import Direction, LinkBudget
from .localattempts import Dispatched, LocalAttempts
from .lookup import Lookup
from .membership import Membership
from .metrics import Metrics
from .problems import Refusal
from .rates import RateShares
from .refusals import refuse
from .request_checks import RequestChecks
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


class EntryParts(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of an instance that requests pass through."""

    topology: Topology
    own: Instance
    clock: Clock
    membership: Membership
    checks: RequestChecks
    lookup: Lookup
    rates: RateShares
    admission: Admission
    local: LocalAttempts
    dispatcher: Dispatcher
    keys: KeyStore
    grants: GrantTable
    links: LinkBudget
    accounts: Accounts
    slots: SlotSource
    router: Router
    tracer: Tracer
    metrics: Metrics


class EntryService:
    """Serves requests of callers and of other instances.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._keyed = KeyedRuns(parts.keys, parts.dispatcher.run)
        self._instances: dict[str, Instance] = {
            entry.name: entry for entry in parts.topology.entries()
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
        ticket = self._parts.accounts.open(
            req.caller,
            req.service,
            req.kind,
            self._weight(req),
        )
        try:
            outcome = await self._serve_caller(req)
        except BaseException:
            ticket.close(Outcome.cancelled, Reason.cancelled)
            raise
        return self._accounted(ticket, outcome)

    async def _serve_caller(
        self,
        req: CallerRequest,
    ) -> Result[Dispatched, Refusal]:
        if self.refuses_new:
            return refuse(
                Reason.draining,
                'This instance stops; look up another one.',
                retry_after_ms=1,
            )
        home = self._parts.lookup.home_of(req.client)
        found = self._parts.checks.check(req, home)
        if isinstance(found, Failure):
            return found
        checked = found.unwrap()
        cost = checked.kind.weight
        rates = self._parts.rates
        if not rates.try_take(req.caller, req.service, cost):
            wait_s = rates.wait_s(req.caller, req.service, cost)
            return refuse(
                Reason.rate_exceeded,
                f'The rate of plan {checked.entitled.plan!r} is used up.',
                checked.entitled.plan,
                max(int(min(wait_s, 30) * _MS), 1),
            )
        outcome = await self._run(checked)
        if isinstance(outcome, Failure):
            if outcome.failure().ran == Ran.not_run:
                rates.give_back(req.caller, req.service, cost)
        return outcome

    async def _run(
        self,
        checked: CheckedRequest,
    ) -> Result[Dispatched, Refusal]:
        if checked.kind.repeatable:
            return await self._parts.dispatcher.run(checked)
        key = parse_key(checked.req.key)
        if key is None:
            return require_key(checked)
        if key.instance == self._parts.own.name:
            return await self._keyed.serve(checked, key)
        return await self._pass_to_home(checked, key)

    async def _pass_to_home(
        self,
        checked: CheckedRequest,
        key: Key,
    ) -> Result[Dispatched, Refusal]:
        home = self._instances.get(key.instance)
        if home is None:
            return require_key(checked)
        outcome = await self._parts.dispatcher.send_to_home(checked, home)
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
                    plan=checked.entitled.plan,
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
        key = parse_key(req.key) if not checked.kind.repeatable else None
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
    ) -> Result[Dispatched, Refusal]:
        if hop.domain == self._parts.own.domain:
            return await self._serve_with_slot(checked, hop)
        arrival = self._parts.grants.arrive(hop.origin, checked.service.name)
        if arrival is None:
            return refuse(
                Reason.no_slot,
                'The grant has ended or no slot is free.',
                checked.entitled.plan,
                _MS,
            )
        try:
            outcome = await self._serve_across(checked, hop)
        except BaseException:
            arrival.end()
            raise
        if isinstance(outcome, Failure):
            arrival.end()
        else:
            outcome.unwrap().end.then(lambda _outcome: arrival.end())
        return outcome

    async def _serve_across(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[Dispatched, Refusal]:
        region = self._parts.topology.region_of(hop.domain)
        reserved = self._parts.links.try_reserve(
            region,
            Direction.requests,
            framing(checked.req.headers).length or 0,
            checked.deadline_at,
            checked.entitled.plan,
        )
        if isinstance(reserved, Failure):
            return reserved
        paced = self._parts.links.pace(
            region,
            Direction.requests,
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

    def _paced_answer(self, dispatched: Dispatched, region: str) -> Dispatched:
        answer = dispatched.answer
        body = self._parts.links.pace(region, Direction.responses, answer.body)
        return Dispatched(
            msgspec.structs.replace(answer, body=body),
            dispatched.end,
        )

    async def _serve_with_slot(
        self,
        checked: CheckedRequest,
        hop: Hop,
    ) -> Result[Dispatched, Refusal]:
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
        ticket: Ticket,
        outcome: Result[Dispatched, Refusal],
    ) -> Result[Answer, Refusal]:
        if isinstance(outcome, Failure):
            refusal = outcome.failure()
            self._close(ticket, _refused_as(refusal), refusal.reason)
            return outcome
        dispatched = outcome.unwrap()
        dispatched.end.then(
            lambda ended: self._close(ticket, _OUTCOMES[ended]),
        )
        return Success(dispatched.answer)

    def _close(
        self,
        ticket: Ticket,
        outcome: Outcome,
        reason: str = '',
    ) -> None:
        ticket.close(outcome, reason)
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

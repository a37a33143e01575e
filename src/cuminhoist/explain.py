"""Why a request of a caller goes where it goes, or is refused."""

from collections.abc import AsyncIterator

import msgspec
from returns.result import Failure

from .caller_request import CallerRequest, CheckedRequest
from .entry import EntryDependencies
from .routing import (
    GrantRoute,
    LocalRoute,
    PeerRoute,
    Router,
)


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """What would happen to a request at this instance now.

    :param decision: ``refused`` with the reason, or where it would go.
    :param instance: the instance that answers.
    :param home: home failure domain of the client.
    :param entries: entry instances that a look-up names, in order.
    :param rate_per_s: weighted requests a second over all instances.
    :param cost: weight of one request of the kind.
    :param rate_wait_s: time until the rate here allows the next request.
    :param queued: requests of the service that wait here.
    :param free_slots: free slots of the targets that this instance owns.
    :param usable_slots: their slots that may be used.
    """

    decision: str
    instance: str
    home: str
    entries: tuple[str, ...]
    plan: str = ''
    weight: float = 0
    rate_per_s: float = 0
    cost: float = 0
    rate_wait_s: float = 0
    repeatable: bool = True
    queued: int = 0
    free_slots: int = 0
    usable_slots: int = 0


class _NoBody(AsyncIterator[bytes]):
    """The body of a request that has none."""

    async def __anext__(self) -> bytes:
        """End the body."""
        raise StopAsyncIteration


class Explainer:
    """Explains decisions without making them.

    :param parts: the parts of the instance.
    :param router: chooses where a request goes.
    """

    def __init__(self, parts: EntryDependencies, router: Router) -> None:
        self._parts = parts
        self._router = router

    def explain(
        self,
        caller: str,
        service: str,
        kind: str,
        client: str,
    ) -> Explanation:
        """Return what would happen to a request.

        :param caller: name of the caller.
        :param service: name of the service.
        :param kind: kind of the request.
        :param client: IP number of the client; may be empty.
        """
        parts = self._parts
        found = parts.lookup.find(service, caller, client)
        verdict = parts.checks.check(
            _imagined(caller, service, kind),
            found.home,
        )
        entries = tuple(entry.name for entry in found.entries)
        if isinstance(verdict, Failure):
            refusal = verdict.failure()
            return Explanation(
                decision=f'refused: {refusal.reason} ({refusal.detail})',
                instance=parts.own.name,
                home=found.home,
                entries=entries,
                plan=refusal.plan,
            )
        return self._explain_checked(verdict.unwrap(), found.home, entries)

    def _explain_checked(
        self,
        checked: CheckedRequest,
        home: str,
        entries: tuple[str, ...],
    ) -> Explanation:
        parts = self._parts
        service = checked.service.name
        cost = checked.kind.weight
        wait_s = parts.rates.wait_s(checked.req.caller, service, cost)
        decision = self._route_of(checked)
        if wait_s > 0:
            decision = 'refused: rate-exceeded'
        return Explanation(
            decision=decision,
            instance=parts.own.name,
            home=home,
            entries=entries,
            plan=checked.entitlement.plan,
            weight=checked.entitlement.weight,
            rate_per_s=checked.entitlement.rate_per_s,
            cost=cost,
            rate_wait_s=wait_s,
            repeatable=checked.kind.repeatable,
            queued=parts.admission.waiting_count(service),
            free_slots=parts.slots.free_slots(service),
            usable_slots=parts.slots.usable_slots(service),
        )

    def _route_of(self, checked: CheckedRequest) -> str:
        route = self._router.choose(checked, frozenset())
        if isinstance(route, LocalRoute):
            return f'a target of {self._parts.own.name}'
        if isinstance(route, PeerRoute):
            return f'a target of {route.peer.name} in the failure domain'
        if isinstance(route, GrantRoute):
            route.permit.release()
            return f'a target of {route.peer.name} in {route.peer.domain}'
        return 'refused: no-slot'


def _imagined(caller: str, service: str, kind: str) -> CallerRequest:
    return CallerRequest(
        service=service,
        caller=caller,
        kind=kind,
        method='GET',
        path='/',
        headers=[],
        body=_NoBody(),
    )

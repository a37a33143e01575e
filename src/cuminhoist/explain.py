"""Explains where a request would go now, or why it would be refused.

It uses the checks and the routing of real requests, but takes no rate tokens
and releases what the router has reserved.
"""

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
    """What would happen to a request that arrived at this instance now.

    :param decision: ``refused`` with the reason, or where it would go.
    :param instance: name of the instance that answers.
    :param home: home domain of the client.
    :param entries: entry instances that a look-up returns, in its order.
    :param plan: plan of the caller.
    :param weight: weight of the plan.
    :param rate_per_s: weighted requests per second, over all instances.
    :param cost: weight of one request of the kind.
    :param rate_wait_s: seconds until this instance's share of the rate allows
        the next request.
    :param repeatable: whether running a request twice does no harm.
    :param queued: requests of the service that wait at this instance.
    :param free_slots: free slots of the targets that this instance owns.
    :param usable_slots: slots of these targets that may be used.
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


class _EmptyBody(AsyncIterator[bytes]):
    """An empty request body."""

    async def __anext__(self) -> bytes:
        """End the body at once."""
        raise StopAsyncIteration


class Explainer:
    """Explains routing decisions without sending a request.

    :param dependencies: parts of the entry instance that it reads.
    :param router: chooses where a request goes.
    """

    def __init__(self, dependencies: EntryDependencies, router: Router) -> None:
        self._dependencies = dependencies
        self._router = router

    def explain(
        self,
        caller: str,
        service: str,
        kind: str,
        client: str,
    ) -> Explanation:
        """Return what would happen to a request that arrived now.

        :param caller: name of the caller.
        :param service: name of the service.
        :param kind: kind of the request.
        :param client: IP address of the client; may be empty.
        """
        dependencies = self._dependencies
        answer = dependencies.lookup.find(service, caller, client)
        checked = dependencies.checks.check(
            _example_request(caller, service, kind),
            answer.home,
        )
        entries = tuple(entry.name for entry in answer.entries)
        if isinstance(checked, Failure):
            refusal = checked.failure()
            return Explanation(
                decision=f'refused: {refusal.reason} ({refusal.detail})',
                instance=dependencies.own.name,
                home=answer.home,
                entries=entries,
                plan=refusal.plan,
            )
        return self._explain_checked(checked.unwrap(), answer.home, entries)

    def _explain_checked(
        self,
        checked: CheckedRequest,
        home: str,
        entries: tuple[str, ...],
    ) -> Explanation:
        dependencies = self._dependencies
        service = checked.service.name
        cost = checked.kind.weight
        wait_s = dependencies.rates.wait_s(checked.req.caller, service, cost)
        decision = self._describe_route(checked)
        if wait_s > 0:
            decision = 'refused: rate-exceeded'
        return Explanation(
            decision=decision,
            instance=dependencies.own.name,
            home=home,
            entries=entries,
            plan=checked.entitlement.plan,
            weight=checked.entitlement.weight,
            rate_per_s=checked.entitlement.rate_per_s,
            cost=cost,
            rate_wait_s=wait_s,
            repeatable=checked.kind.repeatable,
            queued=dependencies.admission.waiting_count(service),
            free_slots=dependencies.slots.free_slots(service),
            usable_slots=dependencies.slots.usable_slots(service),
        )

    def _describe_route(self, checked: CheckedRequest) -> str:
        route = self._router.choose(checked, frozenset())
        if isinstance(route, LocalRoute):
            return f'a target of {self._dependencies.own.name}'
        if isinstance(route, PeerRoute):
            return f'a target of {route.peer.name} in the failure domain'
        if isinstance(route, GrantRoute):
            route.permit.release()
            return f'a target of {route.peer.name} in {route.peer.domain}'
        return 'refused: no-slot'


def _example_request(caller: str, service: str, kind: str) -> CallerRequest:
    return CallerRequest(
        service=service,
        caller=caller,
        kind=kind,
        method='GET',
        path='/',
        headers=[],
        body=_EmptyBody(),
    )

"""Finds out whether a target has ended under the requests that it ran.

A connection that breaks says little: the answer or the connection may have
been lost, or this instance may be cut off. A target has ended if it accepts no
new connection while another target does. If no other target of its failure
domain does either, the domain was lost, and no request is the cause.
"""

import asyncio
from collections.abc import Callable

from ..logging_setup import logger
from ..steering.poison_requests import (
    Fingerprint,
    PoisonRequests,
    TargetEnd,
)
from ..steering.poison_trials import PoisonTrials
from ..steering.targets import TargetEntry
from .bodies import RequestBody
from .fingerprint import fingerprint
from .reachability import TargetReachability
from .request_state import RequestState, RoutingState
from .target_connections import TargetConnections, pool_key

_log = logger('targets')


class CrashDetector:
    """Records the requests that ran at targets that have ended.

    :param connections: opens connections to targets.
    :param routing_state: has the targets that may be tried.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        connections: TargetConnections,
        routing_state: RoutingState,
        now: Callable[[], float],
    ) -> None:
        #: Called with the ends that are new or refuted.
        self.on_ends: Callable[[tuple[TargetEnd, ...]], None] = _ignore_ends
        #: Returns the turn of this instance among those that may send a
        #: trial of a request with some content; 0 for the first.
        self.trial_rank: Callable[[str], int] = _first_turn
        self._connections = connections
        #: Tells whether other targets accept connections.
        self.reachability = TargetReachability(connections, routing_state, now)
        self.poison_requests = PoisonRequests()
        self._now = now
        # Requests that were lost at a target since its check began.
        self._lost_requests: dict[str, set[Fingerprint]] = {}
        # Requests that were answered while checks run.
        self._answered_requests: set[Fingerprint] = set()
        self._trials = PoisonTrials()
        self._checks: set[asyncio.Task[None]] = set()

    def is_poison(self, state: RequestState, body: RequestBody) -> bool:
        """Tell whether too many targets have ended under a request.

        A trial of such a request may be sent all the same.

        :param state: the request.
        :param body: its body.
        """
        if not self.poison_requests:
            return False
        request = _identify(state, body)
        if not self.poison_requests.is_poison(request):
            return False
        if state.is_unsent_trial:
            return False
        is_trial = self._trials.claim(
            request.content,
            self.poison_requests.ended_targets(request),
            self.poison_requests.changed_at(request),
            self.trial_rank(request.content),
            self._now(),
        )
        state.set_trial(is_trial=is_trial)
        if is_trial:
            state.trail.append('trial: targets ended under this request')
        return not is_trial

    def cancel_trial(self, state: RequestState) -> None:
        """Leave the trial to another request if this one was not sent.

        :param state: a request that gets no target.
        """
        if state.is_unsent_trial and state.fingerprint:
            self._trials.cancel(state.fingerprint.content)
            state.set_trial(is_trial=False)

    def connection_lost(
        self, state: RequestState, body: RequestBody, target: TargetEntry
    ) -> None:
        """Check whether a target has ended, as a connection to it broke.

        :param state: the request that was sent on the connection.
        :param body: its body.
        :param target: the target.
        """
        request = _identify(state, body)
        lost = self._lost_requests.get(pool_key(target))
        if lost is not None:
            lost.add(request)
            return
        self._lost_requests[pool_key(target)] = {request}
        check = asyncio.create_task(self._check(target))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def answered(self, state: RequestState, body: RequestBody) -> None:
        """Record that a request was answered, so that it ends no targets.

        It may have been sent before any end was known.

        :param state: the request.
        :param body: its body.
        """
        if not (self.poison_requests or self._lost_requests):
            return
        request = _identify(state, body)
        for lost in self._lost_requests.values():
            lost.discard(request)
        if self._lost_requests:
            self._answered_requests.add(request)
        self._refute(request)

    def _refute(self, request: Fingerprint) -> None:
        refuted = self.poison_requests.refute(request, self._now())
        if refuted:
            self.on_ends(refuted)

    async def _check(self, target: TargetEntry) -> None:
        try:
            has_ended = (
                not await self._connections.can_connect(target)
                and await self.reachability.reaches_targets()
            )
            domain_is_lost = has_ended and await self._has_lost_domain(target)
        finally:
            lost = self._lost_requests.pop(pool_key(target))
        answered = self._answered_requests
        if not self._lost_requests:
            self._answered_requests = set()
        if not has_ended:
            return
        ends = self.poison_requests.record(
            [
                TargetEnd(
                    request,
                    target.name,
                    target.started_at_ms,
                    refuted=domain_is_lost,
                )
                for request in lost
            ],
            self._now(),
        )
        counts = {
            request.caller: self.poison_requests.ended_targets(request)
            for request in lost
        }
        _log.bind(
            target=target.name, requests=counts, domain_lost=domain_is_lost
        ).warning('target ended under requests')
        if ends:
            self.on_ends(ends)
        for request in answered:
            self._refute(request)

    async def _has_lost_domain(self, target: TargetEntry) -> bool:
        """Tell whether no target of the same domain accepts connections.

        Those that may have ended by the same requests are no evidence.
        """
        without = {target.name}
        for request in self._lost_requests[pool_key(target)]:
            without |= self.poison_requests.targets_ended_under(request)
        return not await self.reachability.reaches_domain(
            target.domain, without
        )


def _identify(state: RequestState, body: RequestBody) -> Fingerprint:
    """Return the fingerprint of a request, which the request keeps."""
    if state.fingerprint is None:
        state.fingerprint = fingerprint(state.req, body)
    return state.fingerprint


def _first_turn(_content: str) -> int:
    """Return the turn of an instance without others."""
    return 0


def _ignore_ends(_ends: tuple[TargetEnd, ...]) -> None:
    """Ignore ends of targets."""

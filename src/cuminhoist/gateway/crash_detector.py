"""Finds out whether a target has ended under the requests that it ran.

A connection that breaks says little: the answer or the connection may have
been lost, or this instance may be cut off. A target has ended if it accepts no
new connection while another target does.
"""

import asyncio
from collections.abc import Callable

from ..logging_setup import logger
from ..steering.poison_requests import (
    Fingerprint,
    PoisonRequests,
    TargetEnd,
)
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
        self._connections = connections
        #: Tells whether other targets accept connections.
        self.reachability = TargetReachability(connections, routing_state, now)
        self.poison_requests = PoisonRequests()
        self._now = now
        # Requests that were lost at a target since its check began.
        self._lost_requests: dict[str, set[Fingerprint]] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def is_poison(self, state: RequestState, body: RequestBody) -> bool:
        """Tell whether too many targets have ended under a request.

        :param state: the request.
        :param body: its body.
        """
        if not self.poison_requests:
            return False
        state.fingerprint = state.fingerprint or fingerprint(state.req, body)
        return self.poison_requests.is_poison(state.fingerprint)

    def connection_lost(
        self, state: RequestState, body: RequestBody, target: TargetEntry
    ) -> None:
        """Check whether a target has ended, as a connection to it broke.

        :param state: the request that was sent on the connection.
        :param body: its body.
        :param target: the target.
        """
        state.fingerprint = state.fingerprint or fingerprint(state.req, body)
        lost = self._lost_requests.get(pool_key(target))
        if lost is not None:
            lost.add(state.fingerprint)
            return
        self._lost_requests[pool_key(target)] = {state.fingerprint}
        check = asyncio.create_task(self._check(target))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def answered(self, state: RequestState) -> None:
        """Record that a request was answered, so that it ends no targets.

        :param state: the request.
        """
        if state.fingerprint is None:
            return
        for lost in self._lost_requests.values():
            lost.discard(state.fingerprint)
        refuted = self.poison_requests.refute(state.fingerprint, self._now())
        if refuted:
            self.on_ends(refuted)

    async def _check(self, target: TargetEntry) -> None:
        try:
            has_ended = (
                not await self._connections.can_connect(target)
                and await self.reachability.reaches_targets()
            )
        finally:
            lost = self._lost_requests.pop(pool_key(target))
        if not has_ended:
            return
        ends = self.poison_requests.record(
            [
                TargetEnd(request, target.name, target.started_at_ms)
                for request in lost
            ],
            self._now(),
        )
        counts = {
            request.caller: self.poison_requests.ended_targets(request)
            for request in lost
        }
        _log.bind(target=target.name, requests=counts).warning(
            'target ended under requests'
        )
        if ends:
            self.on_ends(ends)


def _ignore_ends(_ends: tuple[TargetEnd, ...]) -> None:
    """Ignore ends of targets."""

"""Gets a target for each request from the region's dispatcher.

While no dispatcher is available or answers, a local dispatcher in this
process decides instead.
"""

import abc
import asyncio
import itertools
from collections.abc import Callable
from typing import Self

import msgspec

from ..logging_setup import logger
from ..steering.decisions import (
    AttemptReport,
    Decision,
    Granted,
    PlacementRequest,
    RefusalReason,
    Refused,
)
from ..steering.dispatcher import Dispatcher
from ..steering.target_pauses import NO_PAUSES, TargetPause, TargetPauses
from ..steering.targets import TargetEntry

#: Time after the objective of a request, in seconds, after which its decision
#: counts as lost; the dispatcher decides within the objective.
DECISION_SLACK_S = 0.3
#: Pause after a missing decision, in seconds, in which the dispatcher gets
#: no placement requests.
DISPATCHER_PAUSE_S = 0.5
#: Factor by which the shortest round trip to the dispatcher grows with each
#: request: a path that has become longer is noticed after some hundred
#: requests.
MIN_ROUND_TRIP_GROWTH = 1.002
#: Interval at which the local dispatcher decides on waiting requests, in
#: seconds.
LOCAL_QUEUE_POLL_S = 0.01

_log = logger('placing')


class DispatcherClient(abc.ABC):
    """Sends placement requests to the dispatcher of the region."""

    @abc.abstractmethod
    def is_available(self) -> bool:
        """Tell whether there is a dispatcher to send requests to."""

    @abc.abstractmethod
    def send_request(self, req: PlacementRequest) -> None:
        """Send a placement request; its decision arrives later.

        :param req: the placement request.
        """

    @abc.abstractmethod
    def report_attempt_end(self, report: AttemptReport) -> None:
        """Report the end of an attempt.

        :param report: the attempt report.
        """

    @abc.abstractmethod
    def withdraw(self, number: int, service: str) -> None:
        """Withdraw a placement request.

        :param number: number of the placement request.
        :param service: its service.
        """


class PlacementClient:
    """Gets decisions on the requests of one entry instance.

    :param remote: sends placement requests to the region's dispatcher.
    :param local: decides while that dispatcher does not answer.
    :param now: returns monotonic time in seconds.
    :param domain: failure domain whose targets are preferred; empty for none.
    """

    def __init__(
        self,
        remote: DispatcherClient,
        local: Dispatcher,
        now: Callable[[], float],
        domain: str = '',
    ) -> None:
        self._domain = domain
        self.local_dispatcher = local
        self._remote = remote
        self._now = now
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Decision | None]] = {}
        self._local_numbers: set[int] = set()
        self._paused_until = float('-inf')
        #: Whether the region's dispatcher has decided since the local one did.
        self._decided_remotely = False
        self._last_decision_at = float('-inf')
        self._poll_timer: asyncio.TimerHandle | None = None
        self.running_attempts: dict[int, AttemptReport] = {}
        #: Queueing time on the link of each granted placement request and
        #: its decision, by number.
        self._queueing_s: dict[int, float] = {}
        self._min_round_trip_s = float('inf')

    @classmethod
    def from_shift_limit(
        cls,
        remote: DispatcherClient,
        shift_limit: float,
        now: Callable[[], float],
        domain: str = '',
        *,
        learns_limits: bool = False,
    ) -> Self:
        """Return a client with a local dispatcher that knows no targets yet.

        :param remote: sends placement requests to the region's dispatcher.
        :param shift_limit: largest fraction of the requests that may shift to
            another region within two seconds.
        :param now: returns monotonic time in seconds.
        :param domain: failure domain whose targets are preferred; empty for
            none.
        :param learns_limits: whether concurrency limits of targets are
            learned.
        """
        local = Dispatcher(shift_limit, learns_limits=learns_limits)
        return cls(remote, local, now, domain)

    def next_number(self) -> int:
        """Return a number that identifies a new placement request."""
        return next(self._numbers)

    async def request_placement(
        self, req: PlacementRequest
    ) -> tuple[Decision, str]:
        """Return the decision on a request, and which dispatcher decided.

        :param req: the placement request.
        """
        if self._domain:
            req = msgspec.structs.replace(req, domain=self._domain)
        if self._remote.is_available() and self._now() >= self._paused_until:
            sent_at = self._now()
            decision = await self._place_remote(req)
            if decision is not None:
                return decision, 'dispatcher'
            waited_s = self._now() - sent_at
            req = msgspec.structs.replace(
                req,
                left_s=req.left_s - waited_s,
                objective_left_s=req.objective_left_s - waited_s,
            )
        return await self._place_local(req), 'local'

    def handle_decision(self, decision: Decision) -> None:
        """Handle a decision of the region's dispatcher.

        :param decision: the decision.
        """
        self._last_decision_at = self._now()
        self._resolve(decision)

    def _resolve(self, decision: Decision) -> None:
        fut = self._pending.pop(decision.number, None)
        if fut is not None and not fut.done():
            fut.set_result(decision)

    def handle_dispatcher_loss(self) -> None:
        """Decide locally on all requests that wait for a lost dispatcher."""
        for number, fut in list(self._pending.items()):
            if number not in self._local_numbers and not fut.done():
                fut.set_result(None)

    def report_attempt_end(self, report: AttemptReport) -> None:
        """Report the end of an attempt.

        :param report: the attempt report.
        """
        self.running_attempts.pop(report.number, None)
        # The attempt crossed the link of this instance as often as its
        # placement request did, so it is assumed to have queued there for as
        # long. That time is not part of the target's run.
        queueing_s = self._queueing_s.pop(report.number, 0)
        run_s = max(report.run_s - queueing_s, 0)
        report = msgspec.structs.replace(report, run_s=run_s)
        is_local = report.number in self._local_numbers
        # The local dispatcher learns of all pauses, as it may have to decide
        # during them.
        if is_local or report.pause_s > 0:
            self._local_numbers.discard(report.number)
            for _, decision in self.local_dispatcher.end_attempt(
                '', report, self._now()
            ):
                self._resolve(decision)
        else:
            self.local_dispatcher.learn_from_attempt(report, self._now())
        # A dispatcher that was chosen since the decision has counted this
        # attempt as running, so it needs the report also of a local decision.
        if self._remote.is_available():
            self._remote.report_attempt_end(report)

    def pause_left_s(self, target: TargetEntry) -> float:
        """Return how long a target must not be sent requests, in seconds.

        :param target: the target.
        """
        return self._own_pauses().left_s(target, self._now())

    def time_to_unpaused_s(
        self, service: str, allowed_regions: frozenset[str]
    ) -> float:
        """Return how long all targets of a service pause, in seconds.

        :param service: name of the service.
        :param allowed_regions: regions of the targets; empty for all.
        :returns: seconds; 0 if one of its targets does not pause.
        """
        return self.local_dispatcher.time_to_unpaused_s(
            '', service, allowed_regions, self._now()
        )

    def unexpired_pauses(self) -> tuple[TargetPause, ...]:
        """Return the pauses that a new dispatcher must know."""
        return self._own_pauses().unexpired(self._now())

    def _own_pauses(self) -> TargetPauses:
        return self.local_dispatcher.pauses.get('', NO_PAUSES)

    async def _place_remote(self, req: PlacementRequest) -> Decision | None:
        """Return the region's decision; None if there is none in time."""
        fut = self._add_pending(req.number)
        sent_at = self._now()
        self._remote.send_request(req)
        wait_s = max(req.objective_left_s, 0) + DECISION_SLACK_S
        try:
            async with asyncio.timeout(min(wait_s, req.left_s)):
                decision = await fut
        except TimeoutError:
            # If other decisions have arrived since, the dispatcher runs, and
            # only this request or its decision was delayed or dropped.
            if self._last_decision_at < sent_at:
                self._paused_until = self._now() + DISPATCHER_PAUSE_S
            _log.warning('dispatcher did not answer', number=req.number)
            self._remote.withdraw(req.number, req.service)
            return None
        except asyncio.CancelledError:
            self._remote.withdraw(req.number, req.service)
            raise
        finally:
            self._pending.pop(req.number, None)
        if isinstance(decision, Granted):
            now = self._now()
            round_trip_s = now - sent_at - decision.waited_s
            self._record_round_trip(req.number, max(round_trip_s, 0))
            # The limit on shifts holds over the decisions of both dispatchers.
            self.local_dispatcher.count_remote_grant(req, decision, now)
        self._decided_remotely = self._decided_remotely or decision is not None
        return decision

    def _record_round_trip(self, number: int, round_trip_s: float) -> None:
        self._min_round_trip_s = min(
            self._min_round_trip_s * MIN_ROUND_TRIP_GROWTH, round_trip_s
        )
        self._queueing_s[number] = round_trip_s - self._min_round_trip_s

    async def _place_local(self, req: PlacementRequest) -> Decision:
        now = self._now()
        if self._decided_remotely:
            self._decided_remotely = False
            self.local_dispatcher.limits.restart_rates(now)
            self.local_dispatcher.allowances.restart(now)
        decision = self.local_dispatcher.decide_or_queue('', req, now)
        if decision is None:
            fut = self._add_pending(req.number)
            self._local_numbers.add(req.number)
            self._schedule_poll()
            try:
                decision = await fut
            except asyncio.CancelledError:
                self.local_dispatcher.withdraw(
                    '', req.number, req.service, self._now()
                )
                raise
            finally:
                self._pending.pop(req.number, None)
        if decision is None or isinstance(decision, Refused):
            self._local_numbers.discard(req.number)
            return decision or Refused(
                req.number,
                RefusalReason.no_target,
                DISPATCHER_PAUSE_S,
            )
        self._local_numbers.add(req.number)
        return decision

    def _add_pending(self, number: int) -> asyncio.Future[Decision | None]:
        fut: asyncio.Future[Decision | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = fut
        return fut

    def _schedule_poll(self) -> None:
        if self._poll_timer is None:
            loop = asyncio.get_running_loop()
            self._poll_timer = loop.call_later(
                LOCAL_QUEUE_POLL_S, self._poll_local_queue
            )

    def _poll_local_queue(self) -> None:
        self._poll_timer = None
        for _, decision in self.local_dispatcher.decide_waiting(self._now()):
            self._resolve(decision)
        if self.local_dispatcher.has_waiting():
            self._schedule_poll()

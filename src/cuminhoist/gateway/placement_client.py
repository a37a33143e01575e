"""Asks the region's dispatcher for a target, or decides here without it."""

import abc
import asyncio
import itertools
from collections.abc import Callable

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

#: The dispatcher answers within the objective of a request; an answer that
#: is later than this, in seconds, counts as lost.
DECISION_SLACK_S = 0.3
#: Pause before a dispatcher that did not answer is asked again, in seconds.
SUSPECT_S = 0.5
#: Growth of the least time of an ask from one ask to the next: a path that
#: has become longer is noticed after some hundred requests.
LEAST_GROWTH = 1.002
#: How often waiting requests of the own dispatcher are looked at, in seconds.
TICK_S = 0.01

_log = logger('placing')


class DispatcherClient(abc.ABC):
    """Carries asks to the dispatcher of the region."""

    @abc.abstractmethod
    def is_available(self) -> bool:
        """Tell whether a dispatcher can be asked."""

    @abc.abstractmethod
    def send_request(self, ask: PlacementRequest) -> None:
        """Send an ask; its decision arrives later.

        :param ask: the ask.
        """

    @abc.abstractmethod
    def report_attempt_end(self, done: AttemptReport) -> None:
        """Report the end of an attempt.

        :param done: how it ended.
        """

    @abc.abstractmethod
    def withdraw(self, number: int, service: str) -> None:
        """Take an ask back.

        :param number: identity of the ask.
        :param service: its service.
        """


class PlacementClient:
    """Decides where the requests of one entry instance go.

    :param remote: carries asks to the dispatcher of the region.
    :param local_dispatcher: decides while no dispatcher answers.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        remote: DispatcherClient,
        local: Dispatcher,
        now: Callable[[], float],
    ) -> None:
        self.local_dispatcher = local
        self._remote = remote
        self._now = now
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Decision | None]] = {}
        self._local_numbers: set[int] = set()
        self._suspect_until = float('-inf')
        self._answered_at = float('-inf')
        self._ticker: asyncio.TimerHandle | None = None
        self.running_attempts: dict[int, AttemptReport] = {}
        #: Time that each granted request's ask was held up on the way.
        self._held_up_s: dict[int, float] = {}
        self._least_ask_s = float('inf')

    def next_number(self) -> int:
        """Return an identity for an ask."""
        return next(self._numbers)

    async def request_placement(
        self, ask: PlacementRequest
    ) -> tuple[Decision, str]:
        """Return the decision on a request, and who decided.

        :param ask: the request.
        """
        if self._remote.is_available() and self._now() >= self._suspect_until:
            decision = await self._place_remote(ask)
            if decision is not None:
                return decision, 'dispatcher'
        return await self._place_local(ask), 'local'

    def handle_decision(self, decision: Decision) -> None:
        """Take a decision of the dispatcher.

        :param decision: the decision.
        """
        self._answered_at = self._now()
        self._resolve(decision)

    def _resolve(self, decision: Decision) -> None:
        fut = self._pending.pop(decision.number, None)
        if fut is not None and not fut.done():
            fut.set_result(decision)

    def handle_dispatcher_loss(self) -> None:
        """Decide here on all requests that wait for a lost dispatcher."""
        for number, fut in list(self._pending.items()):
            if number not in self._local_numbers and not fut.done():
                fut.set_result(None)

    def report_attempt_end(self, done: AttemptReport) -> None:
        """Report the end of an attempt.

        :param done: how it ended.
        """
        self.running_attempts.pop(done.number, None)
        # The attempt crossed the link of this instance as often as the ask
        # did; what queues there says nothing of the target.
        held_up_s = self._held_up_s.pop(done.number, 0)
        run_s = max(done.run_s - held_up_s, 0)
        done = msgspec.structs.replace(done, run_s=run_s)
        if done.number in self._local_numbers:
            self._local_numbers.discard(done.number)
            for _, decision in self.local_dispatcher.end_attempt(
                '', done, self._now()
            ):
                self._resolve(decision)
        else:
            self.local_dispatcher.learn_from_attempt(done, self._now())
        # A dispatcher that was chosen meanwhile has counted it as well.
        if self._remote.is_available():
            self._remote.report_attempt_end(done)

    async def _place_remote(self, ask: PlacementRequest) -> Decision | None:
        fut = self._expect(ask.number)
        asked_at = self._now()
        self._remote.send_request(ask)
        wait_s = max(ask.objective_left_s, 0) + DECISION_SLACK_S
        try:
            async with asyncio.timeout(min(wait_s, ask.left_s)):
                decision = await fut
        except TimeoutError:
            # A dispatcher that answers others is not lost; the ask or its
            # decision is held up on the way.
            if self._answered_at < asked_at:
                self._suspect_until = self._now() + SUSPECT_S
            _log.warning('dispatcher did not answer', number=ask.number)
            self._remote.withdraw(ask.number, ask.service)
            return None
        except asyncio.CancelledError:
            self._remote.withdraw(ask.number, ask.service)
            raise
        finally:
            self._pending.pop(ask.number, None)
        if isinstance(decision, Granted):
            took_s = self._now() - asked_at - decision.waited_s
            self._note_ask(ask.number, max(took_s, 0))
        return decision

    def _note_ask(self, number: int, took_s: float) -> None:
        self._least_ask_s = min(self._least_ask_s * LEAST_GROWTH, took_s)
        self._held_up_s[number] = took_s - self._least_ask_s

    async def _place_local(self, ask: PlacementRequest) -> Decision:
        now = self._now()
        decision = self.local_dispatcher.decide_or_queue('', ask, now)
        if decision is None:
            fut = self._expect(ask.number)
            self._local_numbers.add(ask.number)
            self._plan_tick()
            try:
                decision = await fut
            except asyncio.CancelledError:
                self.local_dispatcher.withdraw(
                    '', ask.number, ask.service, self._now()
                )
                raise
            finally:
                self._pending.pop(ask.number, None)
        if decision is None or isinstance(decision, Refused):
            self._local_numbers.discard(ask.number)
            return decision or Refused(
                ask.number,
                RefusalReason.no_target,
                SUSPECT_S,
            )
        self._local_numbers.add(ask.number)
        return decision

    def _expect(self, number: int) -> asyncio.Future[Decision | None]:
        fut: asyncio.Future[Decision | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending[number] = fut
        return fut

    def _plan_tick(self) -> None:
        if self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        self._ticker = None
        for _, decision in self.local_dispatcher.decide_waiting(self._now()):
            self._resolve(decision)
        if self.local_dispatcher.has_waiting():
            self._plan_tick()

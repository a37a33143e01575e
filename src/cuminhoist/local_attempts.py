"""Attempts of a request at a target of this instance."""

import functools
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from .attempts import Answer, Attempt
from .caller_request import CheckedRequest
from .clock import Clock
from .membership import Membership
from .problems import Refusal
from .shift import ObservedCapacity
from .slots import Slot, SlotOutcome
from .target_client import TargetClient
from .tracing import Tracer
from .types import DRAINING_HEADER

EndListener = Callable[[SlotOutcome], None]

_DRAINING = (DRAINING_HEADER.encode(), b'1')
_CLOSING = (b'connection', b'close')


class AttemptCompletion:
    """The end of an attempt, which may come long after its answer began.

    :param release: called once with the outcome and the latency.
    """

    def __init__(self, release: Callable[[SlotOutcome, float], None]) -> None:
        self._release = release
        self._listeners: list[EndListener] = []
        self.outcome: SlotOutcome | None = None

    def __call__(self, outcome: SlotOutcome, latency_s: float) -> None:
        """End the attempt.

        :param outcome: how it ended.
        :param latency_s: time from dispatch to the end, in seconds.
        """
        if self.outcome is not None:
            return
        self.outcome = outcome
        self._release(outcome, latency_s)
        for listener in self._listeners:
            listener(outcome)

    def add_listener(self, listener: EndListener) -> None:
        """Call a listener at the end, or now if it is over.

        :param listener: called with the outcome.
        """
        if self.outcome is None:
            self._listeners.append(listener)
        else:
            listener(self.outcome)


class PendingAnswer(msgspec.Struct, frozen=True):
    """An answer that has begun, and the end of its attempt."""

    answer: Answer
    completion: AttemptCompletion


class LocalAttempts:
    """Sends attempts to the targets that this instance owns.

    :param client: carries the attempts.
    :param membership: learns which targets say that they leave.
    :param capacity: learns how long requests take.
    :param clock: time source.
    :param tracer: makes a span for each attempt.
    """

    def __init__(
        self,
        client: TargetClient,
        membership: Membership,
        capacity: ObservedCapacity,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        self._client = client
        self._membership = membership
        self._capacity = capacity
        self._clock = clock
        self._tracer = tracer

    async def send(
        self,
        checked: CheckedRequest,
        slot: Slot,
    ) -> Result[PendingAnswer, Refusal]:
        """Send a request to the target of a slot.

        The slot is released when the attempt ends.

        :param checked: the request.
        :param slot: the right to send it.
        """
        end = AttemptCompletion(functools.partial(self._release, checked, slot))
        with self._tracer.span('attempt', target=slot.target.name):
            outcome = await self._client.send(
                slot.target,
                self._attempt(checked, end),
            )
        if isinstance(outcome, Failure):
            return outcome
        answer = outcome.unwrap()
        self._note_signal(slot.target.name, answer)
        return Success(PendingAnswer(answer, end))

    def _attempt(
        self, checked: CheckedRequest, end: AttemptCompletion
    ) -> Attempt:
        return checked.new_attempt(
            self._clock.now(),
            end,
            self._tracer.outgoing_traceparent(checked.req.traceparent),
        )

    def _release(
        self,
        checked: CheckedRequest,
        slot: Slot,
        outcome: SlotOutcome,
        latency_s: float,
    ) -> None:
        slot.release(outcome, latency_s)
        if outcome == SlotOutcome.answered:
            self._capacity.record_latency(checked.service.name, latency_s)

    def _note_signal(self, target: str, answer: Answer) -> None:
        leaving = _DRAINING in answer.headers or _CLOSING in answer.headers
        if leaving:
            self._membership.mark_target_leaving(target)
        else:
            self._membership.clear_target_leaving(target)

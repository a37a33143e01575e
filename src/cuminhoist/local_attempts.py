"""Sends attempts to the targets that this instance owns."""

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

#: A target with either header in an answer counts as leaving.
_DRAINING = (DRAINING_HEADER.encode(), b'1')
_CLOSING = (b'connection', b'close')


class AttemptCompletion:
    """Reports the end of an attempt, which may be long after its answer began.

    :param release: called once with the outcome and the latency in seconds.
    """

    def __init__(self, release: Callable[[SlotOutcome, float], None]) -> None:
        self._release = release
        self._listeners: list[EndListener] = []
        self.outcome: SlotOutcome | None = None

    def __call__(self, outcome: SlotOutcome, latency_s: float) -> None:
        """End the attempt; further calls do nothing.

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
        """Call a listener when the attempt ends, or now if it has ended.

        :param listener: called once with the outcome.
        """
        if self.outcome is None:
            self._listeners.append(listener)
        else:
            listener(self.outcome)


class PendingAnswer(msgspec.Struct, frozen=True):
    """An answer that has begun.

    :param answer: its head and body.
    :param completion: reports the end of its attempt.
    """

    answer: Answer
    completion: AttemptCompletion


class LocalAttempts:
    """Sends attempts to the targets that this instance owns.

    :param client: sends the attempts.
    :param membership: records which targets send the leaving signal.
    :param capacity: records the latency of answered requests.
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
        :param slot: a slot of the target.
        """
        completion = AttemptCompletion(
            functools.partial(self._release, checked, slot)
        )
        with self._tracer.span('attempt', target=slot.target.name):
            outcome = await self._client.send(
                slot.target,
                self._attempt(checked, completion),
            )
        if isinstance(outcome, Failure):
            return outcome
        answer = outcome.unwrap()
        self._record_leaving_signal(slot.target.name, answer)
        return Success(PendingAnswer(answer, completion))

    def _attempt(
        self, checked: CheckedRequest, completion: AttemptCompletion
    ) -> Attempt:
        return checked.new_attempt(
            self._clock.now(),
            completion,
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

    def _record_leaving_signal(self, target: str, answer: Answer) -> None:
        is_leaving = _DRAINING in answer.headers or _CLOSING in answer.headers
        if is_leaving:
            self._membership.mark_target_leaving(target)
        else:
            self._membership.clear_target_leaving(target)

"""Limits the requests of an entry instance that stops."""

import asyncio
import enum
from collections.abc import Callable
from typing import Any, Self

from .request_state import RequestState
from .routes import RepeatPolicy
from .stop_window import AnswerTimes, RequestKind, StopWindow


class _Phase(enum.Enum):
    """What a request is doing."""

    #: It waits for its body, its turn or a target.
    waiting = enum.auto()
    #: A target may be at work on it.
    running = enum.auto()
    #: The answer of a target arrives; nothing of it has been sent.
    reading = enum.auto()
    #: Its answer is sent, or is ready to be sent.
    answering = enum.auto()


class StopLimits:
    """Decides which requests a stopping instance takes on, and for how long.

    :param now: returns monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.times = AnswerTimes()
        self.window: StopWindow | None = None
        #: Limits of the open requests.
        self.limits: dict[RequestState, RequestLimit] = {}

    def begin(self, window: StopWindow) -> None:
        """Begin to stop: limit the open requests.

        :param window: times of the stop.
        """
        self.window = window
        for limit in tuple(self.limits.values()):
            limit.enter(limit.phase)

    def admits(self, state: RequestState) -> bool:
        """Tell whether a request can be served before the instance ends.

        :param state: a request with its deadline.
        """
        return self.window is None or self.now() <= self.latest_start(
            state, self.window
        )

    def limit(self, state: RequestState) -> 'RequestLimit':
        """Return the limit of a request, to be used as a context.

        :param state: the request.
        """
        return RequestLimit(self, state)

    def start_attempt(self, state: RequestState) -> None:
        """Note that a request is sent to a target.

        :param state: the request.
        """
        self.limits[state].enter(_Phase.running)

    def end_attempt(self, state: RequestState) -> None:
        """Note that a request may need another target.

        :param state: the request.
        """
        self.limits[state].enter(_Phase.waiting)

    def start_reading(self, state: RequestState, *, served: bool) -> None:
        """Note that the answer of a target has begun to arrive.

        :param state: the request.
        :param served: whether a target has served it.
        """
        limit = self.limits[state]
        limit.served = served
        limit.enter(_Phase.reading)

    def start_answer(self, state: RequestState) -> None:
        """Note that an answer is ready or begun.

        It ends with the process only.

        :param state: the request; nothing happens once its limit has ended.
        """
        limit = self.limits.get(state)
        if limit is not None:
            limit.enter(_Phase.answering)

    def latest_start(self, state: RequestState, window: StopWindow) -> float:
        """Return until when a request may be sent to a target.

        :param state: the request.
        :param window: times of the stop.
        :returns: monotonic time in seconds, or infinity.
        """
        # One that waited as the stop began would lose its place in the queue.
        is_new = state.arrived_at > window.began_at
        return window.latest_start(
            state.answer_ends_at,
            self.times.needed_s(_kind(state), self.now()),
            needs_certainty=is_new and state.route.repeat is RepeatPolicy.once,
        )


class RequestLimit:
    """Limits one request if the instance stops, and learns from its time.

    The block is cancelled, and left without an exception, once the limit is
    reached. This works as in :class:`asyncio.Timeout`, but costs less for the
    requests that end before any stop.

    :param owner: the limits of the instance.
    :param state: the request; it may have run if a target was at work.
    """

    def __init__(self, owner: StopLimits, state: RequestState) -> None:
        self.phase = _Phase.waiting
        #: Whether a target has served the request.
        self.served = False
        self._owner = owner
        self._state = state
        self._task: asyncio.Task[Any] | None = None
        self._cancelling = 0
        self._timer: asyncio.TimerHandle | None = None
        self._reached = False

    def __enter__(self) -> Self:
        """Begin to limit the request in the present task."""
        owner, state = self._owner, self._state
        self._task = asyncio.current_task()
        self._cancelling = self._task.cancelling() if self._task else 0
        owner.limits[state] = self
        owner.times.start(_kind(state), id(state), owner.now())
        self.enter(self.phase)
        return self

    def __exit__(self, exc_type: Any, *_exc: object) -> bool:
        """End the limit.

        :param exc_type: type of the exception that ends the block, if any.
        """
        owner, state = self._owner, self._state
        owner.limits.pop(state)
        owner.times.end(
            _kind(state), id(state), owner.now(), answered=self.served
        )
        self._set_timer(None)
        if not self._reached or self._task is None:
            return False
        others = self._task.uncancel() - self._cancelling
        if others > 0 or exc_type is not asyncio.CancelledError:
            return False
        ran = self.phase in {_Phase.running, _Phase.reading}
        state.may_have_run = state.may_have_run or ran
        return True

    def enter(self, phase: _Phase) -> None:
        """Apply the limit of a phase.

        :param phase: the phase.
        """
        self.phase = phase
        owner = self._owner
        if owner.window is None:
            return
        if phase is _Phase.answering:
            self._set_timer(None)
        elif phase in {_Phase.running, _Phase.reading}:
            self._set_timer(owner.window.answers_until)
        else:
            self._set_timer(owner.latest_start(self._state, owner.window))

    def _set_timer(self, ends_at: float | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if ends_at is not None and ends_at < float('inf'):
            left_s = max(ends_at - self._owner.now(), 0)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left_s, self._reach)

    def _reach(self) -> None:
        if not self._reached and self._task is not None:
            self._reached = True
            self._task.cancel()


def _kind(state: RequestState) -> RequestKind:
    return state.route.name, state.service

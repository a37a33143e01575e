"""Data types of an attempt and its answer, and the errors of streaming."""

from collections.abc import AsyncIterator, Callable

import msgspec

from .exceptions import CuminhoistError
from .problems import Refusal
from .slots import SlotOutcome

Headers = list[tuple[bytes, bytes]]
OnEnd = Callable[[SlotOutcome, float], None]


class ForwardingError(CuminhoistError):
    """An attempt failed before its answer was complete.

    :param refusal: sent to the caller if no part of an answer has been sent.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f'{refusal.reason}: {refusal.detail}')
        self.refusal = refusal


class RequestBodyError(ForwardingError):
    """The rest of the caller's request body cannot be read."""


class IncompleteAnswerError(ForwardingError):
    """The rest of a target's answer cannot be read."""


def _ignore_end(_outcome: SlotOutcome, _latency_s: float) -> None:
    """Ignore the end of an attempt."""


class Attempt(msgspec.Struct, frozen=True):
    """A request as it is sent to one target.

    :param timeout_s: time left until the caller's deadline, in seconds.
    :param on_end: called exactly once with the outcome and the latency in
        seconds, also when the attempt is refused or cancelled or its answer
        is never read.
    :param traceparent: trace context to send; empty for none.
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    timeout_s: float
    on_end: OnEnd = _ignore_end
    traceparent: str = ''


def _no_abort() -> None:
    """Do nothing, as for an answer that uses no connection."""


class Answer(msgspec.Struct, frozen=True):
    """The head of a target's answer and the stream of its body.

    :param body: raises :class:`IncompleteAnswerError` if the rest cannot be
        read.
    :param abort: discards the rest of the answer; may be called at any time.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    abort: Callable[[], None] = _no_abort

"""Attempts of a request and their answers."""

from collections.abc import AsyncIterator, Callable

import msgspec

from .exceptions import CuminhoistError
from .problems import Refusal
from .slots import SlotOutcome

Headers = list[tuple[bytes, bytes]]
OnEnd = Callable[[SlotOutcome, float], None]


class ForwardingError(CuminhoistError):
    """An exchange ended before its answer was whole.

    :param refusal: the refusal that the caller gets if it can still be sent.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f'{refusal.reason}: {refusal.detail}')
        self.refusal = refusal


class RequestBodyError(ForwardingError):
    """The caller's body cannot be read on."""


class IncompleteAnswerError(ForwardingError):
    """The rest of a target's answer does not come."""


def _ignore(_outcome: SlotOutcome, _latency_s: float) -> None:
    """Drop the report of an attempt that nobody accounts for."""


class Attempt(msgspec.Struct, frozen=True):
    """What is sent to a target.

    :param timeout_s: time left until the caller's deadline, in seconds.
    :param on_end: called exactly once with how the attempt ended and how
        long it took, also when it is refused, cancelled or never read.
    :param traceparent: trace context to pass on; empty for none.
    """

    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    timeout_s: float
    on_end: OnEnd = _ignore
    traceparent: str = ''


def _no_abort() -> None:
    """Do nothing: the answer holds no connection."""


class Answer(msgspec.Struct, frozen=True):
    """The head of a target's answer and the stream of its body.

    :param body: raises :class:`IncompleteAnswerError` if the rest does not
        come.
    :param abort: gives the rest of the answer up; may be called at any time.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    abort: Callable[[], None] = _no_abort

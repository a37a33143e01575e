"""Refusals of requests that the listener does not pass on."""

import http
import sys
from collections.abc import Callable

from .caller_memory import STALL_S
from .listener_limits import ListenerLimits
from .logging_setup import logger
from .problems import Refusal, encode_problem, problem_headers
from .request_head import Headers
from .types import Ran, Reason

#: Bytes of a malformed request's target and header names that are logged.
_LOGGED_BYTES = 200
_MS = 1000

_log = logger('listener')


def malformed(detail: str) -> Refusal:
    """Return the refusal of a malformed request.

    :param detail: the fault in one sentence, for a person.
    """
    return Refusal(ran=Ran.not_run, reason=Reason.bad_request, detail=detail)


def head_too_large(limits: ListenerLimits) -> Refusal:
    """Return the refusal of a request with a large head.

    :param limits: the limits in force.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=Reason.head_too_large,
        detail=(
            f'The head of the request exceeds {limits.max_head_bytes} bytes.'
        ),
    )


def memory_exhausted() -> Refusal:
    """Return the refusal of a request that there is no memory for."""
    return Refusal(
        ran=Ran.not_run,
        reason=Reason.memory_full,
        detail='The instance holds too much for other callers.',
        retry_after_ms=round(STALL_S * _MS),
    )


def head_timed_out(limits: ListenerLimits) -> Refusal:
    """Return the refusal of a request with a slow head.

    :param limits: the limits in force.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=Reason.head_timeout,
        detail=(
            f'The head of the request took over {limits.head_timeout_s:g} s.'
        ),
    )


def note_closed(count: int) -> None:
    """Log that connections were closed to make room for others.

    :param count: their number.
    """
    _log.bind(count=count).warning('too many connections; closed some')


def encode_refusal(refusal: Refusal) -> bytes:
    """Return the answer with a refusal that closes the connection.

    :param refusal: the refusal.
    """
    body = encode_problem(refusal)
    status = http.HTTPStatus(refusal.status)
    fields = ''.join(
        f'{name}: {text}\r\n' for name, text in problem_headers(refusal)
    )
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n{fields}'
        f'content-length: {len(body)}\r\n'
        'x-cuminhoist-refusal: 1\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body


def record_refusal(
    refusal: Refusal,
    *,
    parser_fault: bool,
    target: bytes,
    headers: Headers,
    on_refusal: Callable[[Reason], None] | None,
) -> None:
    """Log and count a refusal.

    :param refusal: the refusal.
    :param parser_fault: whether the parser found the fault; its error is
        being handled then.
    :param target: the request's target as far as it was read.
    :param headers: its headers as far as they were read.
    :param on_refusal: counts the refusal; None if nobody does.
    """
    # The base class calls from the handler of the parser's error and passes
    # on a fixed message only.
    exc = sys.exception()
    if exc is not None:
        # An error of a parser callback is the context of a general one.
        exc = exc.__context__ or exc
    names = b' '.join(name for name, _ in headers)
    _log.bind(
        refused=refusal.reason,
        reason=(
            repr(exc) if exc is not None and parser_fault else refusal.detail
        ),
        target=target[:_LOGGED_BYTES].decode('latin-1'),
        header_names=names[:_LOGGED_BYTES].decode('latin-1'),
    ).warning('malformed request refused')
    if on_refusal is not None:
        on_refusal(refusal.reason)

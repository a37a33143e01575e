"""Sends attempts over pooled connections and reports how each one ends.

An attempt is never sent a second time here, because the target may have run
it. Each attempt is reported exactly once, so that its slot is freed once.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

import httpx
from returns.result import Failure, Result, Success

from .attempts import (
    Answer,
    Attempt,
    ForwardingError,
    Headers,
    IncompleteAnswerError,
    OnEnd,
    RequestBodyError,
)
from .clock import Clock, SystemClock
from .connection_pool import Address, PoolTransport
from .exceptions import ProtocolError
from .exchange import Exchange
from .problems import Refusal
from .slots import SlotOutcome
from .types import DEADLINE_HEADER, NOT_RUN_HEADER, Ran, Reason

_SHED_STATUS = 503
_FIRST_SERVER_ERROR_STATUS = 500
_MS_PER_S = 1000
_DETAIL_BY_REASON = {
    Reason.no_slot: 'All connections to the target are in use.',
    Reason.no_target: 'The target could not be reached.',
    Reason.bad_request: 'The request contains control characters.',
    Reason.target_timeout: 'The answer was not complete before the deadline.',
    Reason.target_lost: 'The connection closed before the answer was complete.',
}


class AttemptEndReporter:
    """Reports the end of one attempt exactly once.

    :param on_end: called with the outcome and the latency in seconds.
    :param clock: source of time; the latency counts from the
        construction of the reporter.
    :param outcome_of: returns the outcome of an exchange that was sent.
    """

    def __init__(
        self,
        on_end: OnEnd,
        clock: Clock,
        outcome_of: Callable[[Exchange], SlotOutcome],
    ) -> None:
        self._outcome_of = outcome_of
        self._on_end: OnEnd | None = on_end
        self._clock = clock
        self._started_at = clock.now()

    def end(self, outcome: SlotOutcome) -> None:
        """Report the end; further calls do nothing.

        :param outcome: outcome of the attempt.
        """
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(outcome, self._clock.now() - self._started_at)

    def end_exchange(self, exchange: Exchange) -> None:
        """Report the outcome of an exchange that has ended.

        :param exchange: the exchange.
        """
        self.end(self._outcome_of(exchange))


class AnswerBody(AsyncIterator[bytes]):
    """The body of an answer; raises the errors of this package.

    :param exchange: the exchange of the answer.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    async def __anext__(self) -> bytes:
        """Return the next bytes."""
        try:
            chunk = await self._exchange.read()
        except RequestBodyError:
            raise
        except (httpx.TransportError, ProtocolError, OSError) as exc:
            raise IncompleteAnswerError(refusal_from_error(exc)) from exc
        if not chunk:
            raise StopAsyncIteration
        return chunk


class AttemptClient:
    """Sends attempts over a transport that never sends one twice.

    :param transport: connections to the servers.
    :param clock: source of time.
    :param outcome_of: returns the outcome of an exchange that was sent; by
        default that of an exchange with a target.
    """

    def __init__(
        self,
        transport: PoolTransport,
        clock: Clock | None = None,
        outcome_of: Callable[[Exchange], SlotOutcome] | None = None,
    ) -> None:
        self._outcome_of = outcome_of or target_outcome
        self.transport = transport
        self._clock = clock or SystemClock()

    async def send(
        self,
        address: Address,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of its answer, or a refusal.

        :param address: address of the server.
        :param attempt: the request to send.
        """
        reporter = AttemptEndReporter(
            attempt.on_end, self._clock, self._outcome_of
        )
        if attempt.timeout_s <= 0:
            reporter.end(SlotOutcome.not_run)
            return Failure(
                Refusal(ran=Ran.not_run, reason=Reason.deadline),
            )
        request = _build_request(address, attempt, reporter)
        try:
            response = await self.transport.handle_async_request(request)
        except asyncio.CancelledError:
            # If a byte was sent, the exchange has already reported its end, and
            # this call does nothing.
            reporter.end(SlotOutcome.not_run)
            raise
        except (httpx.TransportError, OSError, ForwardingError) as exc:
            reporter.end(SlotOutcome.not_run)
            return Failure(refusal_from_error(exc))
        return Success(_answer_from_response(response))

    async def close(self) -> None:
        """Close all connections."""
        await self.transport.aclose()


def is_shed(status: int, headers: Headers) -> bool:
    """Return whether a target shed a request without running it.

    :param status: status of its answer.
    :param headers: headers of its answer.
    """
    marker = (NOT_RUN_HEADER.encode(), b'1')
    return status == _SHED_STATUS and marker in headers


def refusal_from_error(exc: Exception) -> Refusal:
    """Return the refusal that reports an error of the transport.

    :param exc: the error.
    """
    if isinstance(exc, ForwardingError):
        return exc.refusal
    ran = Ran.unknown
    reason = Reason.target_lost
    if isinstance(exc, httpx.PoolTimeout):
        ran, reason = Ran.not_run, Reason.no_slot
    elif isinstance(exc, (httpx.ConnectError, httpx.ConnectTimeout)):
        ran, reason = Ran.not_run, Reason.no_target
    elif isinstance(exc, httpx.LocalProtocolError):
        ran, reason = Ran.not_run, Reason.bad_request
    elif isinstance(exc, httpx.TimeoutException):
        reason = Reason.target_timeout
    return Refusal(ran=ran, reason=reason, detail=_DETAIL_BY_REASON[reason])


def target_outcome(exchange: Exchange) -> SlotOutcome:
    """Return the outcome of an exchange with a target.

    :param exchange: the exchange.
    """
    if is_shed(exchange.status, exchange.headers):
        return SlotOutcome.not_run
    if not exchange.complete:
        return SlotOutcome.unknown
    if exchange.status >= _FIRST_SERVER_ERROR_STATUS:
        return SlotOutcome.failed
    return SlotOutcome.answered


def _build_request(
    address: Address,
    attempt: Attempt,
    reporter: AttemptEndReporter,
) -> httpx.Request:
    host = f'[{address.host}]' if ':' in address.host else address.host
    left_ms = max(int(attempt.timeout_s * _MS_PER_S), 1)
    deadline = DEADLINE_HEADER.encode()
    dropped = {b'host', b'expect', deadline}
    if attempt.traceparent:
        dropped.add(b'traceparent')
    headers = [pair for pair in attempt.headers if pair[0] not in dropped]
    headers.append((b'host', f'{host}:{address.port}'.encode()))
    headers.append((deadline, str(left_ms).encode()))
    if attempt.traceparent:
        headers.append((b'traceparent', attempt.traceparent.encode()))
    return httpx.Request(
        attempt.method,
        f'http://{host}:{address.port}/',
        headers=headers,
        stream=_BodyStream(attempt.body),
        extensions={
            'target': attempt.path.encode('latin-1', 'replace'),
            'timeout_s': attempt.timeout_s,
            'on_end': reporter.end_exchange,
        },
    )


def _answer_from_response(response: httpx.Response) -> Answer:
    exchange: Exchange = response.extensions['exchange']

    def abort() -> None:
        exchange.abort(httpx.ReadError('the reader abandoned the answer'))

    return Answer(
        response.status_code,
        response.headers.raw,
        AnswerBody(exchange),
        abort,
    )


class _BodyStream(httpx.AsyncByteStream):
    """Adapts a request body to the stream type of httpx."""

    def __init__(self, body: AsyncIterator[bytes]) -> None:
        self._body = body

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return an iterator over the chunks of the body."""
        return self._body

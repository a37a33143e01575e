"""Carries attempts over connections and reports how they end."""

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
from .exchange import Exchange
from .problems import Refusal
from .slots import SlotOutcome
from .types import DEADLINE_HEADER, NOT_RUN_HEADER, Ran, Reason

_SHED_STATUS = 503
_FIRST_ERROR_STATUS = 500
_MS = 1000
_DETAILS = {
    Reason.no_slot: 'All connections to the target are in use.',
    Reason.no_target: 'The target could not be reached.',
    Reason.bad_request: 'The request holds control characters.',
    Reason.target_timeout: 'No whole answer arrived before the deadline.',
    Reason.target_lost: 'The connection was lost before the answer was whole.',
}


class EndReport:
    """Reports the end of one attempt exactly once.

    :param on_end: called with the outcome and the latency.
    :param clock: source of time.
    :param outcome_of: tells how an exchange that was sent ended.
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

        :param outcome: how the attempt ended.
        """
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(outcome, self._clock.now() - self._started_at)

    def exchange_ended(self, exchange: Exchange) -> None:
        """Report the end of an exchange.

        :param exchange: the exchange.
        """
        self.end(self._outcome_of(exchange))


class AnswerBody(AsyncIterator[bytes]):
    """The body of an answer with typed errors.

    :param exchange: the exchange that it belongs to.
    """

    def __init__(self, exchange: Exchange) -> None:
        self._exchange = exchange

    async def __anext__(self) -> bytes:
        """Return the next bytes."""
        try:
            chunk = await self._exchange.read()
        except RequestBodyError:
            raise
        except (httpx.TransportError, OSError) as exc:
            raise IncompleteAnswerError(refusal_from_error(exc)) from exc
        if not chunk:
            raise StopAsyncIteration
        return chunk


class AttemptClient:
    """Carries attempts over a transport that never repeats one.

    :param transport: the transport.
    :param clock: source of time.
    :param outcome_of: tells how an exchange that was sent ended.
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
        """Send one attempt to an address.

        :param address: where to send it.
        :param attempt: what to send.
        """
        report = EndReport(attempt.on_end, self._clock, self._outcome_of)
        if attempt.timeout_s <= 0:
            report.end(SlotOutcome.not_run)
            return Failure(
                Refusal(ran=Ran.not_run, reason=Reason.deadline),
            )
        request = _request(address, attempt, report)
        try:
            response = await self.transport.handle_async_request(request)
        except asyncio.CancelledError:
            # Where a byte was sent, the exchange has reported already.
            report.end(SlotOutcome.not_run)
            raise
        except (httpx.TransportError, OSError, ForwardingError) as exc:
            report.end(SlotOutcome.not_run)
            return Failure(refusal_from_error(exc))
        return Success(_answer(response))

    async def close(self) -> None:
        """Close all connections."""
        await self.transport.aclose()


def is_shed(status: int, headers: Headers) -> bool:
    """Tell whether a target refused a request before it ran.

    :param status: status of its answer.
    :param headers: headers of its answer.
    """
    marker = (NOT_RUN_HEADER.encode(), b'1')
    return status == _SHED_STATUS and marker in headers


def refusal_from_error(exc: Exception) -> Refusal:
    """Return the refusal for an error of the transport.

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
    return Refusal(ran=ran, reason=reason, detail=_DETAILS[reason])


def target_outcome(exchange: Exchange) -> SlotOutcome:
    """Tell how an exchange with a target ended.

    :param exchange: the exchange.
    """
    if is_shed(exchange.status, exchange.headers):
        return SlotOutcome.not_run
    if not exchange.complete:
        return SlotOutcome.unknown
    if exchange.status >= _FIRST_ERROR_STATUS:
        return SlotOutcome.failed
    return SlotOutcome.answered


def _request(
    address: Address,
    attempt: Attempt,
    report: EndReport,
) -> httpx.Request:
    host = f'[{address.host}]' if ':' in address.host else address.host
    left_ms = max(int(attempt.timeout_s * _MS), 1)
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
            'on_end': report.exchange_ended,
        },
    )


def _answer(response: httpx.Response) -> Answer:
    exchange: Exchange = response.extensions['exchange']

    def abort() -> None:
        exchange.abort(httpx.ReadError('the answer was given up'))

    return Answer(
        response.status_code,
        response.headers.raw,
        AnswerBody(exchange),
        abort,
    )


class _BodyStream(httpx.AsyncByteStream):
    """A request body as httpx takes it."""

    def __init__(self, body: AsyncIterator[bytes]) -> None:
        self._body = body

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the bytes as they arrive."""
        return self._body

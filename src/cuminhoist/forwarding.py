"""One attempt of a request at a target or at another entry instance."""

import abc
import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Self

import httpx
import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock, SystemClock
from .exceptions import CuminhoistError
from .problems import Refusal
from .settings import Target
from .slots import SlotOutcome
from .target_conn import Exchange
from .target_pool import Address, Limits, PoolTransport
from .types import DEADLINE_HEADER, NOT_RUN_HEADER, Ran, Reason

Headers = list[tuple[bytes, bytes]]
OnEnd = Callable[[SlotOutcome, float], None]

_SHED_STATUS = 503
_FIRST_ERROR_STATUS = 500
_MS = 1000


class CarryError(CuminhoistError):
    """An exchange ended before its answer was whole.

    :param refusal: the refusal that the caller gets if it can still be sent.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f'{refusal.reason}: {refusal.detail}')
        self.refusal = refusal


class BodyError(CarryError):
    """The caller's body cannot be read on."""


class AnswerError(CarryError):
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

    :param body: raises :class:`AnswerError` if the rest does not come.
    :param abort: gives the rest of the answer up; may be called at any time.
    """

    status: int
    headers: Headers
    body: AsyncIterator[bytes]
    abort: Callable[[], None] = _no_abort


class TargetClient(abc.ABC):
    """Sends attempts to targets; never repeats one by itself."""

    @abc.abstractmethod
    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """


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
        except BodyError:
            raise
        except (httpx.TransportError, OSError) as exc:
            raise AnswerError(refusal_of(exc)) from exc
        if not chunk:
            raise StopAsyncIteration
        return chunk


class StreamingClient:
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

    async def carry(
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
        except (httpx.TransportError, OSError, CarryError) as exc:
            report.end(SlotOutcome.not_run)
            return Failure(refusal_of(exc))
        return Success(_answer(response))

    async def close(self) -> None:
        """Close all connections."""
        await self.transport.aclose()


class HttpxTargetClient(TargetClient):
    """Sends attempts to targets over one pool of connections for each.

    :param clock: source of time.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._carrier = StreamingClient(
            PoolTransport(Limits(1, 1), clock),
            clock,
        )
        self._known: dict[str, Address] = {}

    @classmethod
    def from_targets(
        cls,
        targets: tuple[Target, ...],
        clock: Clock | None = None,
    ) -> Self:
        """Build a client that knows the limits of some targets.

        :param targets: the targets.
        :param clock: source of time.
        """
        client = cls(clock)
        for target in targets:
            client.address_of(target)
        return client

    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """
        outcome = await self._carrier.carry(self.address_of(target), attempt)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            if is_shed(answer.status, answer.headers):
                answer.abort()
                return Failure(
                    Refusal(ran=Ran.not_run, reason=Reason.target_refused)
                )
        return outcome

    def address_of(self, target: Target) -> Address:
        """Return the address of a target and set its limits.

        :param target: the target.
        """
        address = self._known.get(target.name)
        if address is None or address != Address(target.host, target.port):
            address = Address(target.host, target.port)
            self._known[target.name] = address
            self._carrier.transport.limit(
                address,
                Limits(target.connections, target.slots),
            )
        return address

    def forget(self, target: Target) -> None:
        """Close the idle connections to a target that has another owner.

        :param target: the target.
        """
        self._carrier.transport.forget(Address(target.host, target.port))

    async def close(self) -> None:
        """Close all connections."""
        await self._carrier.close()


def is_shed(status: int, headers: Headers) -> bool:
    """Tell whether a target refused a request before it ran.

    :param status: status of its answer.
    :param headers: headers of its answer.
    """
    marker = (NOT_RUN_HEADER.encode(), b'1')
    return status == _SHED_STATUS and marker in headers


def refusal_of(exc: Exception) -> Refusal:
    """Return the refusal for an error of the transport.

    :param exc: the error.
    """
    if isinstance(exc, CarryError):
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
    return Refusal(ran=ran, reason=reason, detail=str(exc))


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

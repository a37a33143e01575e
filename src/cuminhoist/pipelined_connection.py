"""A connection whose requests overlap and are answered in their order."""

import abc
import asyncio
import itertools
from typing import Any, cast

from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from .caller_memory import CallerMemory, ConnectionMemory, Purpose
from .chunk_budget import ChunkBudget
from .parsing_pace import ParsingPace
from .pipelined_request import (
    PipelinedRequest,
    RequestFlow,
    RequestPlace,
    RequestTransport,
)
from .request_pipeline import RequestPipeline
from .unacknowledged_bytes import unacknowledged_bytes
from .withdrawals import WithdrawalCause

#: Time for a caller to read an answer that was sent before the request body
#: had been read.
CLOSE_DELAY_S = 2.0
#: The application waits above this many unsent bytes. Less than the usual
#: 64 KiB, since unsent bytes below it are not counted.
WRITE_HIGH_WATER_BYTES = 16 * 1024
#: Received bytes of a connection that may wait to be taken while memory is
#: scarce. Reading goes on below it, so that a disconnect is noticed.
SCARCE_WATER_BYTES = 4 * 1024

_connection_numbers = itertools.count(1)


class PipelinedConnection(HttpToolsProtocol, abc.ABC):
    """Starts, answers and ends the requests of one connection.

    The base class keeps the state of one request only. Here, ``cycle`` is the
    request that was read last, and each request has its own flow control,
    transport and notice that its answer is not needed any more.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._pipeline = RequestPipeline()
        self._memory = ConnectionMemory(
            cast(CallerMemory, getattr(self.server_state, 'memory')),
            self._close_for_memory,
            self._count_unsent,
        )
        self._pace = ParsingPace(
            cast(ChunkBudget, getattr(self.server_state, 'parsing_budget')),
            self._resume_parsing,
        )
        self._number = next(_connection_numbers)
        self._request_numbers = itertools.count(1)
        #: Why the requests are withdrawn once the connection is lost.
        self._end_cause = WithdrawalCause.disconnected
        #: The request that was read last.
        self._request: PipelinedRequest | None = None
        #: Received bytes of requests that are not read yet.
        self._unparsed = b''
        #: Whether the connection has ended, and holds nothing any more.
        self._is_lost = False
        #: Whether bytes are being parsed that had to wait.
        self._was_held = False
        #: Whether received bytes are dropped: the connection ends.
        self._reading_ended = False
        #: Whether the caller has sent bytes behind the last answer, or may.
        self._expects_more = False
        #: Whether a request on this connection has been answered.
        self._has_answered = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all requests: the caller has disconnected.

        :param exc: the error, if there was one.
        """
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._is_lost = True
        self._pace.close()
        self._unparsed = b''
        self._pipeline.withdraw_all(self._end_cause)
        self._memory.process.note_stall(self._memory, stalled=False)
        self._memory.process.note_arriving(self._memory, arriving=False)
        self._memory.set(Purpose.unsent_bytes, 0)
        self._count_requests()

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Bound the unsent bytes that the transport holds.

        :param transport: the transport of the connection.
        """
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        """Pause the answer: the caller does not read it fast enough."""
        super().pause_writing()
        self._memory.set(
            Purpose.unsent_bytes, self.transport.get_write_buffer_size()
        )
        self._memory.process.note_stall(self._memory, stalled=True)

    def resume_writing(self) -> None:
        """Resume the answer."""
        super().resume_writing()
        self._memory.set(Purpose.unsent_bytes, 0)
        self._memory.process.note_stall(self._memory, stalled=False)

    def abort(self) -> None:
        """Close the connection at once, even within an answer."""
        self._abort_for(WithdrawalCause.closing)

    @property
    def _running(self) -> bool:
        return bool(self._pipeline)

    def _close_for_memory(self) -> None:
        self._abort_for(WithdrawalCause.memory)

    def _count_unsent(self) -> int:
        unsent: int = self.transport.get_write_buffer_size()
        return unsent + unacknowledged_bytes(self.transport)

    def _abort_for(self, cause: WithdrawalCause) -> None:
        if self.transport is not None:
            self._end_cause = cause
            self.transport.abort()

    def _next_place(self) -> RequestPlace:
        ahead = len(self._pipeline)
        return RequestPlace(
            self._number,
            next(self._request_numbers),
            ahead,
            sent_ahead=ahead > 0 or self._was_held,
        )

    def _start_cycle(self, req: PipelinedRequest) -> None:
        """Hand a request to the application, whether or not others run."""
        former = self.cycle
        self._request = req
        # A caller that pipelines may send more before it reads an answer.
        self._expects_more = self._expects_more or bool(self._pipeline)
        # The base class would queue the request behind this cycle.
        self.cycle = None  # type: ignore[assignment]
        try:
            HttpToolsProtocol.on_headers_complete(self)
        finally:
            self.cycle = self.cycle or former

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        req = cast(PipelinedRequest, self._request)
        req.cycle = cycle
        cycle.flow = RequestFlow(req, self.flow, self._update_reading)
        cycle.transport = cast(
            asyncio.Transport,
            RequestTransport(
                req, self.transport, self._end_with, self._close_after
            ),
        )
        cycle.on_response = lambda: self._complete_answer(req)
        if not getattr(self.server_state, 'overlaps_requests', False):
            app = _in_order(app)
        super()._start_asgi_task(cycle, app)

    def _end_with(self, req: PipelinedRequest) -> None:
        """Close the connection after an answer; nothing behind it is read."""
        if req not in self._pipeline:
            return
        # Of this request, the body may still be arriving.
        self._drop_unparsed()
        self._reading_ended = self._reading_ended or req is not self._request
        req.cycle.keep_alive = False
        self._pipeline.withdraw_after(req, WithdrawalCause.closing)
        self._update_reading()

    def _abort_answer(self, req: PipelinedRequest) -> None:
        """End the connection where this answer would go on.

        The answers before it are sent.
        """
        if req.withdrawn.done():
            return
        self._stop_reading()
        if req in self._pipeline and not self._pipeline.is_first(req):
            self._pipeline.withdraw_from(req)
            self._end_with(cast(PipelinedRequest, self._pipeline.last))
            return
        follows_answer = self._has_answered and req in self._pipeline
        self._pipeline.withdraw_from(req)
        if follows_answer:
            # A reset could discard the answers before it.
            self._half_close()
        else:
            self.abort()

    def _close_after(self, req: PipelinedRequest) -> None:
        """Close the connection so that the caller still reads the answer.

        Closing a socket with unread request bytes resets the connection, and
        a reset can discard the answer before the caller has read it. In this
        case only the sending side is closed at first.
        """
        if req in self._pipeline and not self._pipeline.is_first(req):
            self._abort_answer(req)
            return
        self._end_with(req)
        if req.cycle.more_body or self._expects_more:
            self._half_close()
        else:
            self.transport.close()

    def _complete_answer(self, req: PipelinedRequest) -> None:
        """Go on with the next request (callback of the request cycle)."""
        self.server_state.total_requests += 1
        self._has_answered = True
        req.release()
        self._pipeline.complete(req)
        if self.transport.is_closing() or self._reading_ended:
            return
        self._start_waiting()
        if self._pace.is_paused:
            self._update_reading()
        else:
            self._resume_parsing()

    def _resume_parsing(self) -> None:
        """Parse the received bytes that had to wait."""
        unparsed = self._unparsed
        self._unparsed = b''
        self._was_held = bool(unparsed)
        self._parse(unparsed)
        self._was_held = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Pause or resume reading, by the bytes that wait to be taken.

        A disconnect is not noticed while reading is paused, so reading goes
        on while only few bytes wait, and in a stop until an answer is being
        written, whose next bytes notice it.
        """
        self._count_requests()
        waiting = len(self._unparsed)
        cycle = self.cycle
        if cycle is not None and cycle.more_body:
            waiting += 0 if cycle.response_complete else len(cycle.body)
        reads_ahead = self._memory.process.allows_reading_ahead
        pauses = (
            waiting > (HIGH_WATER_LIMIT if reads_ahead else SCARCE_WATER_BYTES)
            or self._defers_requests
            or self._pace.is_paused
        )
        pauses = pauses and not self._reading_ended
        if pauses:
            self.flow.pause_reading()
        else:
            self.flow.resume_reading()
        self._memory.process.note_arriving(
            self._memory, arriving=self._is_arriving and not pauses
        )

    @property
    def _is_arriving(self) -> bool:
        """Whether the caller has more to send of a request."""
        last = self._pipeline.last
        body_arrives = last is not None and not last.body_arrived
        return body_arrives or self._head_bytes > 0

    @property
    @abc.abstractmethod
    def _head_bytes(self) -> int:
        """Bytes of a head that is not complete."""

    @property
    def _defers_requests(self) -> bool:
        """Whether the next request is not read before this answer ends.

        In a stop, the process may end within the answer, and a request that
        was read behind it would get none.
        """
        last = self._pipeline.last
        return (
            getattr(self.server_state, 'draining', False)
            and last is not None
            and last.body_arrived
            and last.answer_begun
            and last.cycle.keep_alive
        )

    def _count_requests(self) -> None:
        self._memory.set(Purpose.unread_requests, len(self._unparsed))
        self._memory.set(Purpose.request_bodies, self._pipeline.body_bytes)
        self._memory.set(
            Purpose.requests, self._pipeline.kept_bytes + self._head_bytes
        )

    def _stop_reading(self) -> None:
        self._reading_ended = True
        self._drop_unparsed()
        self._update_reading()

    def _drop_unparsed(self) -> None:
        self._expects_more = self._expects_more or bool(self._unparsed)
        self._unparsed = b''

    def _half_close(self) -> None:
        self._stop_reading()
        self.transport.write_eof()
        self.loop.call_later(CLOSE_DELAY_S, self.abort)

    @abc.abstractmethod
    def _parse(self, data: bytes) -> None:
        """Parse received bytes as far as the limits allow.

        :param data: the bytes.
        """

    @abc.abstractmethod
    def _start_waiting(self) -> None:
        """Start the time in which the next request has to begin."""


def _in_order(app: Any) -> Any:
    """Return an application that serves one request at a time.

    :param app: an application that knows nothing of pipelined requests.
    """

    async def serve(scope: Any, receive: Any, send: Any) -> None:
        req: PipelinedRequest = scope['state']['pipelined_request']
        if await req.wait_to_start(overlaps=False):
            await app(scope, receive, send)

    return serve

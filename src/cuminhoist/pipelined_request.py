"""One request on a caller's connection, from its head to its answer."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import RequestResponseCycle

from .caller_memory import ConnectionMemory
from .withdrawals import Withdrawal

#: Most bytes of one body that count as held; the application buffers at most
#: as many for a retry and passes the others on.
MAX_COUNTED_BODY_BYTES = 256 * 1024
#: What a process keeps for a request beside the text of its head and its body:
#: tasks, decisions, the connection to a target.
REQUEST_BYTES = 32 * 1024
#: What it keeps for a field beside its text: a pair of objects.
FIELD_BYTES = 160


class RequestPlace(msgspec.Struct, frozen=True):
    """Where a request stands among those of its process.

    :param connection: number of the connection, unique in the process.
    :param number: number of the request on the connection, from 1.
    :param ahead: unanswered requests before it when it was read.
    :param sent_ahead: whether its caller sent it before it had the answer to
        another one.
    """

    connection: int
    number: int
    ahead: int
    sent_ahead: bool = False


class RequestOrder(Protocol):
    """The methods of the order of requests that a request calls."""

    def declare(self, req: 'PipelinedRequest', overlaps: bool) -> None:
        """Note whether a request may run beside others.

        :param req: the request.
        :param overlaps: whether it may.
        """

    def has_started_behind(self, req: 'PipelinedRequest') -> bool:
        """Tell whether any request behind one was allowed to start.

        :param req: the request.
        """

    def hold_behind(self, req: 'PipelinedRequest') -> None:
        """Let no further request behind the first one start.

        :param req: the first request.
        """

    def release_behind(self, req: 'PipelinedRequest') -> None:
        """Let requests behind the first one start again.

        :param req: the first request.
        """


class PipelinedRequest:
    """Tells an application when a request may start and be answered.

    Applications find it in the state of the ASGI scope.

    :param loop: the event loop.
    :param order: the order of the requests of its connection.
    :param memory: counts what is held for the connection.
    :param place: where it stands on its connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        order: RequestOrder,
        memory: ConnectionMemory,
        place: RequestPlace,
    ) -> None:
        self.memory = memory
        self.place = place
        #: Completed when nobody waits for the answer any more: the caller
        #: has disconnected, or an answer before it ends the connection.
        self.withdrawn: asyncio.Future[Withdrawal] = loop.create_future()
        #: Whether it may run beside others; None while that is not known.
        self.overlaps: bool | None = None
        #: Time for which the answer waited for those before it, in seconds.
        self.turn_wait_s = float(0)
        #: Time for which the request was held before it ran, in seconds.
        self.start_wait_s = float(0)
        #: The base class's state of the request; set with its head.
        self.cycle: RequestResponseCycle = None  # type: ignore[assignment]
        #: Body bytes that have been received and may still be held.
        self.body_bytes = 0
        #: Estimate of what is kept for it beside its body.
        self.kept_bytes = REQUEST_BYTES
        self.on_turn: Callable[[], None] | None = None
        self._loop = loop
        self._order = order
        self._may_start = asyncio.Event()
        self._turn = asyncio.Event()

    @property
    def has_turn(self) -> bool:
        """Whether all answers before this one are complete."""
        return self._turn.is_set()

    @property
    def may_start(self) -> bool:
        """Whether it was allowed to run."""
        return self._may_start.is_set()

    @property
    def body_arrived(self) -> bool:
        """Whether its whole body has been received."""
        return not self.cycle.more_body

    @property
    def answer_begun(self) -> bool:
        """Whether a part of its answer has been written."""
        return self.cycle.response_started

    @property
    def has_later_started(self) -> bool:
        """Whether any request behind it may be running."""
        return self._order.has_started_behind(self)

    def hold_later(self) -> None:
        """Let no request behind it start: its answer may end within it."""
        self._order.hold_behind(self)

    def release_later(self) -> None:
        """Let requests behind it start: its answer has arrived."""
        self._order.release_behind(self)

    def count_head(self, text_bytes: int, field_count: int) -> None:
        """Count what is kept of the head.

        :param text_bytes: bytes of its target and its fields.
        :param field_count: number of its fields.
        """
        self.kept_bytes += text_bytes + FIELD_BYTES * field_count

    def add_body_bytes(self, size: int) -> None:
        """Count received bytes of the body.

        :param size: number of bytes.
        """
        self.body_bytes = min(self.body_bytes + size, MAX_COUNTED_BODY_BYTES)

    def close_stalled(self) -> None:
        """Close the connection of a caller that reads no answer.

        That frees a connection to a target that this request needs.
        """
        self.memory.process.close_stalled()

    def release(self) -> None:
        """Drop the fields of the head, and what is unread of the body.

        The request and its cycle refer to each other, so that they last until
        the garbage collector runs.
        """
        self._release_body()
        self.cycle.scope['headers'] = []

    def allow_start(self) -> None:
        """Let the request run."""
        self._may_start.set()

    def give_turn(self) -> None:
        """Let the answer be sent."""
        if not self.has_turn:
            self._turn.set()
            if self.on_turn is not None:
                self.on_turn()

    @property
    def withdrawal(self) -> Withdrawal | None:
        """Why it was withdrawn; None if it was not."""
        return self.withdrawn.result() if self.withdrawn.done() else None

    def withdraw(self, withdrawal: Withdrawal) -> None:
        """Cancel the request: its answer will not be sent.

        :param withdrawal: why.
        """
        if self.withdrawn.done():
            return
        self.withdrawn.set_result(withdrawal)
        self.cycle.disconnected = True
        self._release_body()
        self.cycle.message_event.set()
        # Wakes the application; what it sends from now on is dropped.
        self._may_start.set()
        self._turn.set()

    def declare(self, *, overlaps: bool) -> None:
        """Tell whether the request may run beside others.

        :param overlaps: whether it may.
        """
        if not self.withdrawn.done():
            self._order.declare(self, overlaps)

    async def wait_to_start(self, *, overlaps: bool) -> bool:
        """Wait until the request may run.

        It may run beside the unanswered ones before it if all of them
        overlap. One that does not overlap waits for their answers.

        :param overlaps: whether the request may run beside others.
        :returns: whether it may run; false if it was withdrawn.
        """
        self.declare(overlaps=overlaps)
        if not self._may_start.is_set():
            began_at = self._loop.time()
            await self._may_start.wait()
            self.start_wait_s = self._loop.time() - began_at
        return not self.withdrawn.done()

    async def wait_for_turn(self) -> None:
        """Wait until the answers before this one are complete."""
        if self._turn.is_set():
            return
        began_at = self._loop.time()
        try:
            await self._turn.wait()
        finally:
            self.turn_wait_s += self._loop.time() - began_at

    def _release_body(self) -> None:
        self.cycle.body = bytearray()


class RequestFlow(FlowControl):
    """Flow control of one request's answer.

    The answer is not written before its turn.

    :param req: the request.
    :param conn_flow: flow control of the connection.
    :param update_reading: pauses or resumes reading from the caller.
    """

    def __init__(
        self,
        req: PipelinedRequest,
        conn_flow: FlowControl,
        update_reading: Callable[[], None],
    ) -> None:
        self._req = req
        self._conn_flow = conn_flow
        self._update_reading = update_reading

    @property
    def write_paused(self) -> bool:  # type: ignore[override]
        """Whether the application has to wait before it sends."""
        return not self._req.has_turn or self._conn_flow.write_paused

    async def drain(self) -> None:
        """Wait until the answer may be written."""
        await self._req.wait_for_turn()
        if not self._req.withdrawn.done():
            await self._conn_flow.drain()

    def pause_reading(self) -> None:
        """Pause or resume reading, whichever the connection needs."""
        self._update_reading()

    def resume_reading(self) -> None:
        """Pause or resume reading, whichever the connection needs."""
        self._update_reading()


class RequestTransport:
    """What the request cycle of the base class writes its answer to.

    :param req: the request.
    :param transport: transport of the connection.
    :param end_answers: called with the request if the connection ends with
        its answer.
    :param close: called with the request to close the connection.
    """

    def __init__(
        self,
        req: PipelinedRequest,
        transport: asyncio.Transport,
        end_answers: Callable[[PipelinedRequest], None],
        close: Callable[[PipelinedRequest], None],
    ) -> None:
        self._req = req
        self._transport = transport
        self._end_answers = end_answers
        self._close = close
        self._interim = b''
        req.on_turn = self._write_interim

    def write(self, data: Any) -> None:
        """Write bytes of the answer.

        :param data: the bytes.
        """
        if self._req.withdrawn.done():
            return
        if not self._req.has_turn:
            # Only an interim answer (100) is written before the turn; final
            # answers wait in the flow control.
            self._interim += data
            return
        if not self._req.cycle.keep_alive:
            self._end_answers(self._req)
        self._transport.write(data)

    def is_closing(self) -> bool:
        """Return whether the answer can't be sent any more."""
        return self._req.withdrawn.done() or self._transport.is_closing()

    def close(self) -> None:
        """Close the connection with this answer."""
        self._close(self._req)

    def _write_interim(self) -> None:
        if self._interim and not self._transport.is_closing():
            self._transport.write(self._interim)
            self._interim = b''

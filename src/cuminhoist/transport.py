"""Requests and replies between instances."""

import abc
import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pynng
from returns.result import Failure, Result, Success

from .codec import Codec, Message, ReceivedMessage, register_message
from .exceptions import TransportError
from .logging_setup import logger
from .settings import Instance

#: Handles one request of a sender; the reply goes back to it.
Handler = Callable[[str, Message], Awaitable[Message]]

#: Long polls hold a context each, so there are more than children.
SERVER_CONTEXTS = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500

_log = logger('transport')


@register_message
class ErrorReply(Message, frozen=True):
    """The receiver could not handle the request."""

    reason: str


class Transport(abc.ABC):
    """Carries requests to other instances and serves theirs."""

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}

    def add_handler(self, kind: type[Message], handler: Handler) -> None:
        """Serve requests of one message class.

        :param kind: the message class.
        :param handler: called with the sender's name and the message.
        """
        self._handlers[kind] = handler

    @abc.abstractmethod
    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        """Send a request and wait for its reply.

        :param peer: name of the instance to call.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """

    async def handle(self, received: ReceivedMessage) -> Message:
        """Return the reply to a received request.

        :param received: the request and its sender.
        """
        handler = self._handlers.get(type(received.message))
        if handler is None:
            return ErrorReply(reason='this instance does not serve it')
        return await handler(received.sender, received.message)


class PynngTransport(Transport):
    """A transport over nng request and reply sockets on TCP.

    :param codec: codec with the cluster key.
    :param own: this instance.
    :param peers: all instances that may be called.
    """

    def __init__(
        self,
        codec: Codec,
        own: Instance,
        peers: tuple[Instance, ...],
    ) -> None:
        super().__init__()
        self._codec = codec
        self._own = own
        self._peers: dict[str, Instance] = {peer.name: peer for peer in peers}
        self._dialled: dict[str, pynng.Req0] = {}
        self._server: pynng.Rep0 | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._handling: set[asyncio.Task[Message]] = set()
        self._contexts: list[pynng.Context] = []
        self.rejected_frames = 0

    async def start(self) -> None:
        """Listen for requests of other instances."""
        address = f'tcp://{self._own.host}:{self._own.internal_port}'
        self._server = pynng.Rep0(listen=address)
        for _ in range(SERVER_CONTEXTS):
            self._tasks.append(asyncio.create_task(self._serve()))

    async def stop(self) -> None:
        """Close all sockets."""
        # A context that is closed after its socket raises when it is freed.
        for context in self._contexts:
            context.close()
        if self._server is not None:
            self._server.close()
        for handling in self._handling:
            handling.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._dialled.values():
            sock.close()

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        """Send a request and wait for its reply.

        :param peer: name of the instance to call.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        if peer not in self._peers:
            return Failure(TransportError(peer, 'unknown instance', sent=False))
        try:
            async with asyncio.timeout(timeout_s):
                frame = await self._exchange(peer, self._codec.encode(msg))
        except TimeoutError:
            return Failure(TransportError(peer, 'timeout'))
        except pynng.NNGException as exc:
            return Failure(TransportError(peer, str(exc)))
        return self._read_reply(peer, frame)

    async def _exchange(self, peer: str, frame: bytes) -> bytes:
        # The library can ignore the cancellation of an operation, which
        # would leave the task waiting for ever. Closing the context ends
        # the operation, so it runs in a task that is never cancelled.
        context = self._socket(peer).new_context()
        self._contexts.append(context)
        exchange = asyncio.create_task(_send_and_receive(context, frame))
        exchange.add_done_callback(_retrieve_exception)
        try:
            return await asyncio.shield(exchange)
        finally:
            self._contexts.remove(context)
            context.close()

    def _read_reply(
        self,
        peer: str,
        frame: bytes,
    ) -> Result[Message, TransportError]:
        decoded = self._codec.decode(frame)
        if not isinstance(decoded, Success):
            self.rejected_frames += 1
            return Failure(TransportError(peer, str(decoded.failure())))
        reply = decoded.unwrap().message
        if isinstance(reply, ErrorReply):
            return Failure(TransportError(peer, reply.reason))
        return Success(reply)

    def _socket(self, peer: str) -> pynng.Req0:
        sock = self._dialled.get(peer)
        if sock is None:
            sock = pynng.Req0(resend_time=-1)
            sock.reconnect_time_min = RECONNECT_MIN_MS
            sock.reconnect_time_max = RECONNECT_MAX_MS
            instance = self._peers[peer]
            sock.dial(
                f'tcp://{instance.host}:{instance.internal_port}',
                block=False,
            )
            self._dialled[peer] = sock
        return sock

    async def _serve(self) -> None:
        if self._server is None:
            return
        context = self._server.new_context()
        self._contexts.append(context)
        with contextlib.suppress(pynng.Closed, asyncio.CancelledError):
            while True:
                frame = await context.arecv()
                handling = asyncio.create_task(self._reply_to(frame))
                self._handling.add(handling)
                handling.add_done_callback(self._handling.discard)
                reply = self._codec.encode(await handling)
                await context.asend(reply)

    async def _reply_to(self, frame: bytes) -> Message:
        decoded = self._codec.decode(frame)
        if not isinstance(decoded, Success):
            self.rejected_frames += 1
            _log.warning('Rejected a frame: {}.', decoded.failure())
            return ErrorReply(reason='rejected')
        received = decoded.unwrap()
        try:
            return await self.handle(received)
        except Exception:
            _log.exception('A request failed.')
            return ErrorReply(reason='internal error')


async def _send_and_receive(context: pynng.Context, frame: bytes) -> bytes:
    await context.asend(frame)
    reply: bytes = await context.arecv()
    return reply


def _retrieve_exception(task: asyncio.Task[bytes]) -> None:
    if not task.cancelled():
        task.exception()

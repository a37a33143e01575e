"""Internal requests and replies between instances, over nng sockets.

Each request has a time limit, and a failure comes back as a value. The
library does not send a request again by itself.
"""

import abc
import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import pynng
from returns.result import Failure, Result, Success

from .codec import Codec, Message, ReceivedMessage, register_message
from .exceptions import TransportError
from .logging_setup import logger
from .settings import Instance

#: Returns the reply to a request, given the name of the sending instance.
Handler = Callable[[str, Message], Awaitable[Message]]

#: Requests served at the same time. Each long poll occupies a context until
#: its reply, so there are more contexts than children in the delivery tree.
SERVER_CONTEXTS = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500

_Received = TypeVar('_Received')

_log = logger('transport')


@register_message
class ErrorReply(Message, frozen=True):
    """Reply to a request that the receiver could not handle."""

    reason: str


class Transport(abc.ABC):
    """Sends requests to other instances and serves their requests."""

    def __init__(self) -> None:
        self._handlers: dict[type[Message], Handler] = {}

    def add_handler(
        self, message_type: type[Message], handler: Handler
    ) -> None:
        """Register the handler of one class of requests.

        :param message_type: class of the requests.
        :param handler: called with the name of the sender and the request.
        """
        self._handlers[message_type] = handler

    @abc.abstractmethod
    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        """Send a request and return its reply, or why there is none.

        :param peer: name of the receiving instance.
        :param msg: the request.
        :param timeout_s: limit for sending and reply together, in seconds.
        """

    async def handle(self, received: ReceivedMessage) -> Message:
        """Return the reply to a received request.

        :param received: the request and its sender.
        """
        handler = self._handlers.get(type(received.message))
        if handler is None:
            return ErrorReply(reason='no handler for this request')
        return await handler(received.sender, received.message)


class PynngTransport(Transport):
    """A transport over nng request and reply sockets on TCP.

    :param codec: authenticates and encodes frames with the cluster key.
    :param own_instance: this instance; it listens on its internal port.
    :param peers: all instances that requests may be sent to.
    """

    def __init__(
        self,
        codec: Codec,
        own_instance: Instance,
        peers: tuple[Instance, ...],
    ) -> None:
        super().__init__()
        self._codec = codec
        self._own_instance = own_instance
        self._peers: dict[str, Instance] = {peer.name: peer for peer in peers}
        self._client_sockets: dict[str, pynng.Req0] = {}
        self._listener: pynng.Rep0 | None = None
        self._serve_tasks: list[asyncio.Task[None]] = []
        self._handler_tasks: set[asyncio.Task[Message]] = set()
        self._open_contexts: list[pynng.Context] = []
        self.rejected_frames = 0

    async def start(self) -> None:
        """Listen for requests of other instances and serve them."""
        address = (
            f'tcp://{self._own_instance.host}:'
            f'{self._own_instance.internal_port}'
        )
        self._listener = pynng.Rep0(listen=address)
        for _ in range(SERVER_CONTEXTS):
            context = self._listener.new_context()
            self._open_contexts.append(context)
            self._serve_tasks.append(asyncio.create_task(self._serve(context)))

    async def stop(self) -> None:
        """Stop serving and close all sockets."""
        # Contexts are closed before their socket: one that is closed later
        # raises an error when it is freed.
        for context in tuple(self._open_contexts):
            self._close(context)
        if self._listener is not None:
            self._listener.close()
        for handler_task in self._handler_tasks:
            handler_task.cancel()
        await asyncio.gather(*self._serve_tasks, return_exceptions=True)
        for sock in self._client_sockets.values():
            sock.close()

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        """Send a request and return its reply, or why there is none.

        :param peer: name of the receiving instance.
        :param msg: the request.
        :param timeout_s: limit for sending and reply together, in seconds.
        """
        if peer not in self._peers:
            return Failure(TransportError(peer, 'unknown instance', sent=False))
        encoded = self._codec.try_encode(msg)
        if not isinstance(encoded, Success):
            return Failure(TransportError(peer, encoded.failure(), sent=False))
        try:
            async with asyncio.timeout(timeout_s):
                frame = await self._exchange(peer, encoded.unwrap())
        except TimeoutError:
            return Failure(TransportError(peer, 'timeout'))
        except pynng.NNGException as exc:
            return Failure(TransportError(peer, str(exc)))
        return self._read_reply(peer, frame)

    async def _exchange(self, peer: str, frame: bytes) -> bytes:
        context = self._client_socket(peer).new_context()
        self._open_contexts.append(context)
        try:
            await _shield(partial(context.asend, frame))
            return await _shield(context.arecv)
        finally:
            self._close(context)

    def _close(self, context: pynng.Context) -> None:
        if context in self._open_contexts:
            self._open_contexts.remove(context)
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

    def _client_socket(self, peer: str) -> pynng.Req0:
        sock = self._client_sockets.get(peer)
        if sock is None:
            sock = pynng.Req0(resend_time=-1)
            sock.reconnect_time_min = RECONNECT_MIN_MS
            sock.reconnect_time_max = RECONNECT_MAX_MS
            instance = self._peers[peer]
            sock.dial(
                f'tcp://{instance.host}:{instance.internal_port}',
                block=False,
            )
            self._client_sockets[peer] = sock
        return sock

    async def _serve(self, context: pynng.Context) -> None:
        try:
            await self._serve_context(context)
        finally:
            self._close(context)

    async def _serve_context(self, context: pynng.Context) -> None:
        with contextlib.suppress(pynng.Closed, asyncio.CancelledError):
            while True:
                frame = await _shield(context.arecv)
                handler_task = asyncio.create_task(self._reply_to(frame))
                self._handler_tasks.add(handler_task)
                handler_task.add_done_callback(self._handler_tasks.discard)
                reply = self._encode_reply(await handler_task)
                await _shield(partial(context.asend, reply))

    def _encode_reply(self, reply: Message) -> bytes:
        encoded = self._codec.try_encode(reply)
        if isinstance(encoded, Success):
            frame: bytes = encoded.unwrap()
            return frame
        _log.error('Cannot encode a reply: {}.', encoded.failure())
        return self._codec.encode(ErrorReply(reason='internal error'))

    async def _reply_to(self, frame: bytes) -> Message:
        decoded = self._codec.decode(frame)
        if not isinstance(decoded, Success):
            self.rejected_frames += 1
            _log.warning('Rejected an invalid frame: {}.', decoded.failure())
            return ErrorReply(reason='rejected')
        received = decoded.unwrap()
        try:
            return await self.handle(received)
        except Exception:
            _log.exception('The handler of a request failed.')
            return ErrorReply(reason='internal error')


async def _shield(operation: Callable[[], Awaitable[_Received]]) -> _Received:
    """Wait for an operation of a context.

    pynng can ignore the cancellation of an operation, which would leave the
    task waiting for ever. The operation therefore runs in a task of its own,
    and closing the context ends it.
    """
    outcome = await asyncio.shield(asyncio.create_task(_outcome(operation)))
    if isinstance(outcome, Failure):
        raise outcome.failure()
    return outcome.unwrap()


async def _outcome(
    operation: Callable[[], Awaitable[_Received]],
) -> Result[_Received, pynng.NNGException]:
    try:
        return Success(await operation())
    except pynng.NNGException as exc:
        return Failure(exc)

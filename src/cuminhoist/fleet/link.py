"""Connections between instances: framed messages, calls, liveness."""

import asyncio
import contextlib
import itertools
import socket
import struct
from typing import Any, cast

from returns.result import Failure, Result, Success

from ..codec import (
    MAX_FRAME_BYTES,
    Codec,
    Message,
    frame_name_of,
    register_message,
)
from ..logging_setup import logger
from .instance_config import Address

#: An idle link carries a keep-alive this often, in seconds.
KEEPALIVE_S = 0.5
#: A link on which nothing arrived for this long is closed: three
#: keep-alives may be lost or late.
SILENT_S = 1.8
#: Time for a new connection; a region is at most 35 ms away, one way.
CONNECT_S = 0.6
#: Unsent bytes of a peer that does not read; above it the link is closed.
MAX_UNSENT_BYTES = 8 * 1024 * 1024

_HEAD = struct.Struct('<I')
_log = logger('link')


@register_message
class KeepAlive(Message, frozen=True):
    """Shows that the sender runs."""


@register_message
class Call(Message, frozen=True):
    """A request that expects an answer on the same link.

    :param body: the encoded request.
    """

    number: int
    body: bytes


@register_message
class Reply(Message, frozen=True):
    """The answer to a call.

    :param body: the encoded answer; empty if there is none.
    """

    number: int
    body: bytes


class LinkHandler:
    """What an instance does with its links; the default does nothing."""

    def link_opened(self, link: 'Link') -> None:
        """Notice a new link.

        :param link: the link.
        """

    def message_received(self, link: 'Link', msg: Message) -> None:
        """Take a message.

        :param link: where it arrived.
        :param msg: the message.
        """

    async def call_received(self, link: 'Link', msg: Message) -> Message | None:
        """Return the answer to a call.

        :param link: where it arrived.
        :param msg: the request.
        """

    def link_closed(self, link: 'Link') -> None:
        """Notice that a link has ended.

        :param link: the link.
        """


class Link(asyncio.Protocol):
    """One TCP connection to another instance.

    :param codec: encodes and decodes messages.
    :param handler: takes what arrives.
    """

    def __init__(self, codec: Codec, handler: LinkHandler) -> None:
        self.peer: Any = None
        self.sent_bytes = 0
        self._codec = codec
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._unsent: list[bytes] = []
        self._calls: dict[int, asyncio.Future[Message | None]] = {}
        self._numbers = itertools.count(1)
        self._heard_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use the connection.

        :param transport: the connection.
        """
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._heard_at = self._loop.time()
        self._watch()
        self._handler.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes of messages.

        :param data: the bytes.
        """
        self._heard_at = self._loop.time()
        self._buffer += data
        while len(self._buffer) >= _HEAD.size and not self.ended:
            length = _HEAD.unpack_from(self._buffer)[0]
            if length > MAX_FRAME_BYTES:
                self.close()
                return
            end = _HEAD.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            self._take(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the link.

        :param exc: the error, if there was one.
        """
        if self.ended and self._transport is None:
            return
        self.ended = True
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        for fut in self._calls.values():
            if not fut.done():
                fut.set_result(None)
        self._calls.clear()
        self._handler.link_closed(self)

    def send(self, msg: Message) -> None:
        """Queue a message; nothing is sent on a link that has ended.

        :param msg: the message.
        """
        if self.ended:
            return
        frame = self._codec.encode(msg)
        if not self._unsent:
            # Messages of one turn of the loop leave in one system call.
            self._loop.call_soon(self._flush)
        self._unsent.append(_HEAD.pack(len(frame)))
        self._unsent.append(frame)

    async def call(
        self,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, str]:
        """Send a request and wait for its answer.

        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        number = next(self._numbers)
        fut: asyncio.Future[Message | None] = self._loop.create_future()
        self._calls[number] = fut
        self.send(Call(number=number, body=self._codec.encode(msg)))
        try:
            async with asyncio.timeout(timeout_s):
                answer = await fut
        except TimeoutError:
            return Failure('timeout')
        finally:
            self._calls.pop(number, None)
        if answer is None:
            return Failure('no answer')
        return Success(answer)

    def close(self) -> None:
        """Close the connection at once."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    def _take(self, frame: bytes) -> None:
        decoded = self._codec.decode(frame)
        if not isinstance(decoded, Success):
            _log.bind(reason=decoded.failure()).warning('malformed frame')
            self.close()
            return
        msg = decoded.unwrap().message
        if isinstance(msg, Call):
            task = self._loop.create_task(self._answer(msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(msg, Reply):
            self._settle(msg)
        elif not isinstance(msg, KeepAlive):
            self._hand_over(msg)

    def _hand_over(self, msg: Message) -> None:
        try:
            self._handler.message_received(self, msg)
        except Exception:
            # An error with one message must not cut the instances off.
            _log.bind(message=frame_name_of(type(msg))).exception(
                'message failed'
            )

    async def _answer(self, call: Call) -> None:
        decoded = self._codec.decode(call.body)
        answer: Message | None = None
        if isinstance(decoded, Success):
            try:
                answer = await self._handler.call_received(
                    self,
                    decoded.unwrap().message,
                )
            except Exception:
                _log.exception('call failed')
        body = b'' if answer is None else self._codec.encode(answer)
        self.send(Reply(number=call.number, body=body))

    def _settle(self, reply: Reply) -> None:
        fut = self._calls.get(reply.number)
        if fut is None or fut.done():
            return
        decoded = self._codec.decode(reply.body)
        valid = isinstance(decoded, Success)
        fut.set_result(decoded.unwrap().message if valid else None)

    def _flush(self) -> None:
        parts = self._unsent
        self._unsent = []
        if self._transport is None or self._transport.is_closing():
            return
        content = b''.join(parts)
        self.sent_bytes += len(content)
        self._transport.write(content)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            _log.bind(peer=self._peer_name()).warning('peer does not read')
            self.close()

    def _peer_name(self) -> str:
        hello = getattr(self.peer, 'hello', None)
        return str(getattr(hello, 'name', ''))

    def _watch(self) -> None:
        if self.ended:
            return
        if self._loop.time() - self._heard_at > SILENT_S:
            _log.bind(peer=self._peer_name()).warning('link is silent')
            self.close()
            return
        self.send(KeepAlive())
        self._timer = self._loop.call_later(KEEPALIVE_S, self._watch)


class Links:
    """All links of one instance: its listener and those that it dials.

    :param codec: encodes and decodes messages.
    :param handler: takes what arrives on any link.
    """

    def __init__(self, codec: Codec, handler: LinkHandler) -> None:
        self._codec = codec
        self._handler = handler
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept links of other instances.

        :param address: where to listen.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._link,
            address.host,
            address.port,
            reuse_address=True,
        )

    async def dial(self, address: Address) -> Link | None:
        """Return a new link to an instance, or nothing if it fails.

        :param address: where the instance listens.
        """
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_S):
                _, link = await loop.create_connection(
                    self._link,
                    address.host,
                    address.port,
                )
                return link
        return None

    def stop(self) -> None:
        """Accept no further links."""
        if self._server is not None:
            self._server.close()

    def _link(self) -> Link:
        return Link(self._codec, self._handler)

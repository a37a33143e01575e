"""TCP links between instances: framed messages, calls and keep-alives.

A frame is a length prefix (32 bit, little endian) and an encoded message. Both
sides send keep-alives every 0.5 s, and a link without any incoming bytes for
1.8 s is closed: a lost peer is detected long before TCP would time out.
"""

import asyncio
import contextlib
import itertools
import math
import socket
import struct
from collections.abc import Iterable
from typing import Any, cast

from returns.result import Failure, Result, Success

from ..codec import (
    MAX_FRAME_BYTES,
    UNKNOWN_MESSAGE,
    Codec,
    Message,
    frame_name_of,
    register_message,
)
from ..logging_setup import logger
from .instance_config import Address
from .link_meter import LinkMeter, NoMeter, encode_or_report

#: Interval between keep-alives, in seconds.
KEEPALIVE_INTERVAL_S = 0.5
#: A link without incoming bytes for this long is closed, in seconds: three
#: keep-alives may be lost or late.
SILENCE_LIMIT_S = 1.8
#: Connect timeout, in seconds; several round trips between regions.
CONNECT_TIMEOUT_S = 0.6
#: Unsent bytes above which the link is closed, so that a peer that stops
#: reading cannot exhaust the memory.
MAX_UNSENT_BYTES = 8 * 1024 * 1024

#: Longest frame of a link whose other end has sent none that is valid: enough
#: for what an instance says of itself.
MAX_FIRST_FRAME_BYTES = 64 * 1024

_LENGTH_PREFIX = struct.Struct('<I')
_log = logger('link')


@register_message
class KeepAlive(Message, frozen=True):
    """Shows that the sender is alive."""


@register_message
class Call(Message, frozen=True):
    """A request to be answered by a ``Reply`` on its link.

    :param number: number of the call on this link.
    :param body: the encoded request.
    """

    number: int
    body: bytes


@register_message
class Reply(Message, frozen=True):
    """The reply to a call.

    :param number: number of the call.
    :param body: the encoded reply; empty if there is none.
    """

    number: int
    body: bytes


class LinkHandler:
    """Callbacks of links; the defaults do nothing."""

    def link_opened(self, link: 'Link') -> None:
        """Handle a new link.

        :param link: the link.
        """

    def message_received(self, link: 'Link', msg: Message) -> None:
        """Handle a message.

        :param link: link that received it.
        :param msg: the message.
        """

    async def call_received(self, link: 'Link', msg: Message) -> Message | None:
        """Return the reply to a call, or nothing if there is none.

        :param link: link that received it.
        :param msg: the request.
        """

    def link_closed(self, link: 'Link') -> None:
        """Handle the end of a link.

        :param link: the link.
        """


class Link(asyncio.Protocol):
    """One TCP connection to another instance.

    :param codec: encodes and decodes messages.
    :param handler: receives the messages and calls.
    :param meter: counts the sent bytes.
    """

    def __init__(
        self,
        codec: Codec,
        handler: LinkHandler,
        meter: LinkMeter | None = None,
    ) -> None:
        self.peer: Any = None
        #: Time that a dialled link took to connect, in seconds.
        self.round_trip_s = float(0)
        self._meter = meter or NoMeter()
        self._has_sent = False
        self._codec = codec
        self._handler = handler
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._unsent: list[bytes] = []
        self._calls: dict[int, asyncio.Future[Message | None]] = {}
        self._call_numbers = itertools.count(1)
        self._received_at = self._loop.time()
        self._liveness_timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.ended = False
        #: Whether the other end has sent a valid message.
        self.is_known = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the keep-alives and announce the link to the handler.

        :param transport: transport of the connection.
        """
        self._transport = cast(asyncio.Transport, transport)
        if self.ended:
            self._transport.abort()
            return
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received_at = self._loop.time()
        self._check_liveness()
        self._handler.link_opened(self)

    def data_received(self, data: bytes) -> None:
        """Process received bytes, frame by frame.

        :param data: received bytes; frames may be split anywhere.
        """
        self._received_at = self._loop.time()
        self._buffer += data
        while len(self._buffer) >= _LENGTH_PREFIX.size and not self.ended:
            length = _LENGTH_PREFIX.unpack_from(self._buffer)[0]
            if length > self._max_frame_bytes:
                self.close()
                return
            end = _LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                return
            frame = bytes(self._buffer[_LENGTH_PREFIX.size : end])
            del self._buffer[:end]
            self._handle_frame(frame)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the link and fail its open calls.

        :param exc: reason of the loss, if there was one.
        """
        if self.ended and self._transport is None:
            return
        self.ended = True
        self._transport = None
        if self._liveness_timer is not None:
            self._liveness_timer.cancel()
        for fut in self._calls.values():
            if not fut.done():
                fut.set_result(None)
        self._calls.clear()
        self._handler.link_closed(self)

    def send(self, msg: Message) -> None:
        """Queue a message; on a link that has ended it is dropped.

        One that cannot be encoded is counted and dropped.

        :param msg: the message.
        """
        frame = b'' if self.ended else self._encode(msg)
        if frame:
            self.send_encoded(frame_name_of(type(msg)), frame)

    def send_encoded(self, name: str, frame: bytes) -> None:
        """Queue an encoded message; on a link that has ended it is dropped.

        :param name: name of the frame.
        :param frame: the encoded message.
        """
        if self.ended:
            return
        self._meter.count(name, self.peer, len(frame) + _LENGTH_PREFIX.size)
        self._has_sent = True
        if not self._unsent:
            # Messages queued in one iteration of the event loop are written
            # by one system call.
            self._loop.call_soon(self._flush)
        self._unsent.append(_LENGTH_PREFIX.pack(len(frame)))
        self._unsent.append(frame)

    async def call(
        self,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, str]:
        """Send a request and return its reply, or why there is none.

        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        body = self._encode(msg)
        if not body:
            return Failure('cannot be encoded')
        number = next(self._call_numbers)
        fut: asyncio.Future[Message | None] = self._loop.create_future()
        self._calls[number] = fut
        self.send(Call(number=number, body=body))
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
        """Abort the connection; unsent messages are dropped."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    @property
    def _max_frame_bytes(self) -> int:
        return MAX_FRAME_BYTES if self.is_known else MAX_FIRST_FRAME_BYTES

    def _encode(self, msg: Message) -> bytes:
        """Return the frame of a message; empty if it has none."""
        return encode_or_report(self._codec, self._meter, msg)

    def _decode(self, frame: bytes) -> Message | None:
        """Return the message of a frame, or nothing for one that is odd."""
        decoded = self._codec.decode(frame)
        if isinstance(decoded, Success):
            msg: Message = decoded.unwrap().message
            return msg
        self._meter.count_rejected('received', '', decoded.failure())
        return None

    def _handle_frame(self, frame: bytes) -> None:
        decoded = self._codec.decode(frame)
        if not isinstance(decoded, Success):
            self._reject(decoded.failure())
            return
        self.is_known = True
        msg = decoded.unwrap().message
        if isinstance(msg, Call):
            task = self._loop.create_task(self._answer(msg))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif isinstance(msg, Reply):
            self._complete_call(msg)
        elif not isinstance(msg, KeepAlive):
            self._deliver(msg)

    def _reject(self, reason: str) -> None:
        """Count a malformed frame and close the link.

        A message of a newer version leaves it open. After any other one, a
        delta may be missing; a new link begins with the complete state.
        """
        self._meter.count_rejected('received', '', reason)
        if not reason.startswith(UNKNOWN_MESSAGE):
            self.close()

    def _deliver(self, msg: Message) -> None:
        try:
            self._handler.message_received(self, msg)
        except Exception:
            # One message that cannot be processed must not end the link.
            _log.bind(message=frame_name_of(type(msg))).exception(
                'handler failed on a message'
            )

    async def _answer(self, call: Call) -> None:
        msg = self._decode(call.body)
        answer: Message | None = None
        if msg is not None:
            try:
                answer = await self._handler.call_received(self, msg)
            except Exception:
                _log.exception('handler failed on a call')
        body = b'' if answer is None else self._encode(answer)
        self.send(Reply(number=call.number, body=body))

    def _complete_call(self, reply: Reply) -> None:
        fut = self._calls.get(reply.number)
        if fut is None or fut.done():
            return
        fut.set_result(self._decode(reply.body) if reply.body else None)

    def _flush(self) -> None:
        chunks = self._unsent
        self._unsent = []
        if self._transport is None or self._transport.is_closing():
            return
        content = b''.join(chunks)
        self._transport.write(content)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            _log.bind(peer=self._peer_name()).warning(
                'too many unsent bytes; closing the link'
            )
            self.close()

    def _peer_name(self) -> str:
        hello = getattr(self.peer, 'hello', None)
        return str(getattr(hello, 'name', ''))

    def _check_liveness(self) -> None:
        if self.ended:
            return
        if self._loop.time() - self._received_at > SILENCE_LIMIT_S:
            _log.bind(peer=self._peer_name()).warning(
                'nothing received within the limit; closing the link'
            )
            self.close()
            return
        if not self._has_sent:
            self.send(KeepAlive())
        self._has_sent = False
        self._liveness_timer = self._loop.call_later(
            KEEPALIVE_INTERVAL_S, self._check_liveness
        )


class Links:
    """The listener of one instance and the links that it dials.

    :param codec: encodes and decodes messages.
    :param handler: receives the messages and calls of all links.
    :param meter: counts the sent bytes of all links.
    :param max_unknown: most accepted links whose other end has sent no valid
        message; one more closes the oldest.
    """

    def __init__(
        self,
        codec: Codec,
        handler: LinkHandler,
        meter: LinkMeter | None = None,
        max_unknown: float = math.inf,
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._meter = meter or NoMeter()
        self._max_unknown = max_unknown
        self._unknown: list[Link] = []
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address) -> None:
        """Accept links from other instances.

        :param address: address to listen on.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept_link,
            address.host,
            address.port,
            reuse_address=True,
        )

    async def dial(self, address: Address) -> Link | None:
        """Return a new link to an instance, or nothing if the dial fails.

        :param address: peer address of the instance.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        def create_dialled_link() -> Link:
            link = self._create_link()
            link.round_trip_s = loop.time() - started_at
            return link

        # Another instance may tell an address that is none: a port out of
        # range, or a host that cannot be a name.
        with contextlib.suppress(OSError, OverflowError, UnicodeError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    create_dialled_link,
                    address.host,
                    address.port,
                )
                return link
        return None

    def send_to_all(self, links: Iterable[Link], msg: Message) -> None:
        """Send a message on several links, encoded once.

        :param links: the links.
        :param msg: the message.
        """
        frame = encode_or_report(self._codec, self._meter, msg)
        if not frame:
            return
        for link in links:
            link.send_encoded(frame_name_of(type(msg)), frame)

    def stop(self) -> None:
        """Close the listener; open links stay."""
        if self._server is not None:
            self._server.close()

    def _accept_link(self) -> Link:
        self._unknown = [
            link for link in self._unknown if not (link.is_known or link.ended)
        ]
        if len(self._unknown) >= self._max_unknown:
            self._unknown.pop(0).close()
            _log.warning('too many unknown links; closed the oldest')
        link = self._create_link()
        self._unknown.append(link)
        return link

    def _create_link(self) -> Link:
        return Link(self._codec, self._handler, self._meter)

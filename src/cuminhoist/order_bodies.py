"""Reads the bodies of operators' orders, which are kept whole in memory."""

import asyncio
import enum
import math
from typing import Any, Self

from returns.result import Failure, Result, Success

from .codec import MAX_FRAME_BYTES
from .gateway.bodies import Receive

#: Fractions of the memory limit of the process: for one body, whose decoded
#: form takes a multiple of it, and for all that are arriving.
BODY_FRACTION = 1 / 16
ALL_BODIES_FRACTION = 1 / 8
#: Longest silence within a body, in seconds.
MAX_SILENCE_S = 5.0


class BodyFault(enum.StrEnum):
    """Why a body could not be read; the order has no effect."""

    too_large = 'too-large'
    stopped = 'stopped'
    #: Other bodies that are arriving take the memory.
    crowded = 'crowded'
    disconnected = 'disconnected'


class OrderBodies:
    """Reads bodies within a limit for each and one for all.

    :param limit_bytes: longest body.
    :param total_bytes: most bytes of all bodies that are arriving. Past it the
        longest one gives way, so that short ones always arrive.
    """

    def __init__(
        self,
        limit_bytes: float = MAX_FRAME_BYTES,
        total_bytes: float = math.inf,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._total_bytes = total_bytes
        self._arriving: dict[asyncio.Future[None], int] = {}

    @classmethod
    def from_memory(cls, memory_bytes: float) -> Self:
        """Derive the limits from the memory limit of the process.

        :param memory_bytes: the limit; 0 if there is none.
        """
        if not memory_bytes:
            return cls()
        return cls(
            min(memory_bytes * BODY_FRACTION, MAX_FRAME_BYTES),
            memory_bytes * ALL_BODIES_FRACTION,
        )

    async def read(
        self, scope: Any, receive: Receive
    ) -> Result[bytes, BodyFault]:
        """Return a whole body, or why it was not read.

        :param scope: the ASGI scope.
        :param receive: reads from the client.
        """
        declared = dict(scope['headers']).get(b'content-length', b'0')
        if int(declared) > self._limit_bytes:
            return Failure(BodyFault.too_large)
        displaced = asyncio.get_running_loop().create_future()
        self._arriving[displaced] = 0
        try:
            return await self._read(receive, displaced)
        finally:
            self._arriving.pop(displaced)

    async def _read(
        self, receive: Receive, displaced: asyncio.Future[None]
    ) -> Result[bytes, BodyFault]:
        body = bytearray()
        while True:
            receiving = asyncio.ensure_future(receive())
            await asyncio.wait(
                (receiving, displaced),
                timeout=MAX_SILENCE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if displaced.done() or not receiving.done():
                receiving.cancel()
                crowded = displaced.done()
                fault = BodyFault.crowded if crowded else BodyFault.stopped
                return Failure(fault)
            event = receiving.result()
            if event['type'] != 'http.request':
                return Failure(BodyFault.disconnected)
            body += event.get('body', b'')
            if len(body) > self._limit_bytes:
                return Failure(BodyFault.too_large)
            if not event.get('more_body', False):
                return Success(bytes(body))
            self._count(displaced, len(body))

    def _count(self, displaced: asyncio.Future[None], size: int) -> None:
        """Count received bytes, and displace the longest body if need be."""
        self._arriving[displaced] = size
        waiting = {
            fut: held for fut, held in self._arriving.items() if not fut.done()
        }
        if sum(waiting.values()) > self._total_bytes:
            max(waiting, key=waiting.__getitem__).set_result(None)

"""Bytes between regions, divided into fixed shares of the instances."""

import asyncio
import enum
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Self

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock
from .problems import Refusal
from .refusals import refusal_with_wait
from .settings import Topology
from .types import Reason

#: Part of a link that requests and answers may use; the rest is reserved
#: for traffic between instances.
USABLE_FRACTION = 0.98
#: Streams take turns by pieces of at most this size.
PIECE_BYTES = 16 * 1024
#: Bytes that may pass at once, in seconds of the rate; the sum over all
#: instances stays within the usable part times (window + this).
BURST_S = 0.02
#: A timer may fire early by a rounding error; shorter waits would spin.
MIN_WAIT_S = 0.0005
_BYTES_PER_MBIT = 125_000

Sleep = Callable[[float], Awaitable[None]]


class LinkDirection(enum.StrEnum):
    """Which bytes a budget is for."""

    #: Request bodies, limited by the receiving region.
    requests = 'requests'
    #: Responses, limited by the sending region.
    responses = 'responses'


class LinkShare(msgspec.Struct, frozen=True):
    """The part of a link's direction class that one instance has.

    :param bytes_per_s: rate.
    :param burst_bytes: bytes that may pass at once.
    """

    bytes_per_s: float
    burst_bytes: float

    @classmethod
    def from_link(cls, mbit_per_s: float, instances: int) -> Self:
        """Return an equal share of half of the usable part.

        :param mbit_per_s: capacity of the link in one direction.
        :param instances: configured entry instances of the region that
            enforces the budget.
        """
        usable = mbit_per_s * _BYTES_PER_MBIT * USABLE_FRACTION
        rate = usable / 2 / instances
        return cls(bytes_per_s=rate, burst_bytes=rate * BURST_S)


class Reservation:
    """Bytes of one body that are expected to pass.

    :param pipe: the pipe that they will pass.
    :param length: number of bytes.
    """

    def __init__(self, pipe: 'StreamPacer', length: int) -> None:
        self._pipe = pipe
        self._left = length
        pipe.expected_bytes += length

    def passed(self, length: int) -> None:
        """Note bytes that passed.

        :param length: number of bytes.
        """
        length = min(length, self._left)
        self._left -= length
        self._pipe.expected_bytes -= length

    def close(self) -> None:
        """Give up what did not pass."""
        self.passed(self._left)


class StreamPacer:
    """Paces the streams of one region, direction class and instance.

    :param clock: time source.
    :param share: rate and burst.
    :param sleep: waits for some seconds.
    """

    def __init__(self, clock: Clock, share: LinkShare, sleep: Sleep) -> None:
        self._clock = clock
        self._share = share
        self._sleep = sleep
        #: Pieces wait here in the order of their arrival; a stream has one
        #: piece waiting at a time, so streams take turns.
        self._turn = asyncio.Lock()
        self._tokens = float(0)
        self._at = clock.now()
        self.expected_bytes = 0
        self.piece_bytes = max(min(PIECE_BYTES, int(share.burst_bytes)), 1)

    async def pass_piece(self, length: int) -> None:
        """Wait until a piece may pass.

        :param length: number of bytes, at most the size of a piece.
        """
        async with self._turn:
            # The tokens are taken at the time of passing: pieces that wake
            # up late cannot pass together with later ones.
            while not self._take(length):
                missing = length - self._tokens
                wait_s = missing / self._share.bytes_per_s
                await self._sleep(max(wait_s, MIN_WAIT_S))

    def time_s(self, length: int) -> float:
        """Return how long a body takes behind all expected bytes.

        :param length: number of bytes.
        """
        self._refill()
        ahead = self.expected_bytes + length - self._tokens
        return max(ahead / self._share.bytes_per_s, 0)

    def _take(self, length: int) -> bool:
        self._refill()
        if self._tokens < length:
            return False
        self._tokens -= length
        return True

    def _refill(self) -> None:
        now = self._clock.now()
        refilled = (now - self._at) * self._share.bytes_per_s
        self._tokens = min(self._tokens + refilled, self._share.burst_bytes)
        self._at = now


class LinkBudget:
    """Paces the bytes between the own region and others.

    :param topology: the deployment.
    :param region: region of this instance.
    :param clock: time source.
    :param sleep: waits for some seconds.
    """

    def __init__(
        self,
        topology: Topology,
        region: str,
        clock: Clock,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        instances = sum(
            topology.region_of(entry.domain) == region
            for entry in topology.entry_instances()
        )
        self._pipes: dict[tuple[str, LinkDirection], StreamPacer] = {}
        for link in topology.links:
            if region not in link.regions:
                continue
            first, second = link.regions
            other = second if first == region else first
            for direction in LinkDirection:
                share = LinkShare.from_link(link.mbit_per_s, max(instances, 1))
                self._pipes[other, direction] = StreamPacer(clock, share, sleep)
        self._clock = clock

    async def pace(
        self,
        other_region: str,
        direction: LinkDirection,
        stream: AsyncIterator[bytes],
        reservation: Reservation | None = None,
    ) -> AsyncIterator[bytes]:
        """Pass on a body at the speed that the link allows.

        :param other_region: region at the other end; bodies that stay in
            the region, or have no link listed, are not paced.
        :param direction: whose bytes they are.
        :param stream: the body.
        :param reservation: what was reserved for it.
        """
        pipe = self._pipes.get((other_region, direction))
        try:
            async for chunk in stream:
                size = pipe.piece_bytes if pipe else len(chunk) or 1
                for start in range(0, len(chunk), size):
                    piece = chunk[start : start + size]
                    await _pass(pipe, reservation, len(piece))
                    yield piece
        finally:
            if reservation is not None:
                reservation.close()

    def try_reserve(
        self,
        other_region: str,
        direction: LinkDirection,
        length: int,
        deadline_at: float,
        plan: str = '',
    ) -> Result[Reservation | None, Refusal]:
        """Reserve the passage of a body, or refuse it.

        The estimate counts all reserved bytes ahead of this body, which
        is the longest that it can take among reserved bodies.

        :param other_region: region at the other end.
        :param direction: whose bytes they are.
        :param length: declared length in bytes.
        :param deadline_at: monotonic time of the request's deadline.
        :param plan: plan of the caller.
        :returns: the reservation, to be closed at the end; None if the
            bytes stay in the region.
        """
        pipe = self._pipes.get((other_region, direction))
        if pipe is None:
            return Success(None)
        late_s = self._clock.now() + pipe.time_s(length) - deadline_at
        if late_s <= 0:
            return Success(Reservation(pipe, length))
        return Failure(
            refusal_with_wait(
                plan,
                Reason.link_full,
                f'The body cannot pass from {other_region} in time.'
                if direction == LinkDirection.requests
                else f'The body cannot pass to {other_region} in time.',
                late_s,
            ),
        )


async def _pass(
    pipe: StreamPacer | None,
    reservation: Reservation | None,
    length: int,
) -> None:
    if pipe is not None:
        await pipe.pass_piece(length)
    if reservation is not None:
        reservation.passed(length)

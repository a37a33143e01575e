"""Paces the bodies of requests and answers that pass between regions.

Every entry instance has a fixed, equal share of a link, so that the sum of
all instances stays within the link without messages between them. Requests
and answers in one direction have half of the usable rate each. A body whose
declared length can't pass before its deadline is refused at once.
"""

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

#: Fraction of a link for bodies of requests and answers; the rest is reserved
#: for internal messages between instances.
USABLE_FRACTION = 0.98
#: Bodies are divided into pieces of at most this size, so that streams take
#: turns.
PIECE_BYTES = 16 * 1024
#: Size of the token bucket, in seconds of the rate. In any window, all
#: instances together stay within the usable rate times (window + this).
BURST_S = 0.02
#: A timer may fire early by a rounding error; with shorter waits the loop
#: would spin.
MIN_WAIT_S = 0.0005
_BYTES_PER_MBIT = 125_000

Sleep = Callable[[float], Awaitable[None]]


class LinkDirection(enum.StrEnum):
    """The direction class of the bytes of a link."""

    #: Request bodies, limited by the receiving region.
    requests = 'requests'
    #: Bodies of answers, limited by the sending region.
    responses = 'responses'


class LinkShare(msgspec.Struct, frozen=True):
    """The share of one instance in one direction class of a link.

    :param bytes_per_s: rate.
    :param burst_bytes: size of the token bucket.
    """

    bytes_per_s: float
    burst_bytes: float

    @classmethod
    def from_link(cls, mbit_per_s: float, instances: int) -> Self:
        """Return an equal share of half of the usable rate.

        :param mbit_per_s: capacity of the link in one direction, in Mbit/s.
        :param instances: configured entry instances of the region that
            enforces the budget.
        """
        usable_bytes_per_s = mbit_per_s * _BYTES_PER_MBIT * USABLE_FRACTION
        share_bytes_per_s = usable_bytes_per_s / 2 / instances
        return cls(
            bytes_per_s=share_bytes_per_s,
            burst_bytes=share_bytes_per_s * BURST_S,
        )


class Reservation:
    """Bytes of one body that are still expected to pass a pacer.

    :param pacer: pacer of the body.
    :param length: declared length of the body, in bytes.
    """

    def __init__(self, pacer: 'StreamPacer', length: int) -> None:
        self._pacer = pacer
        self._remaining_bytes = length
        pacer.expected_bytes += length

    def mark_passed(self, length: int) -> None:
        """Subtract bytes that have passed.

        :param length: number of bytes; those beyond the reservation are
            ignored.
        """
        length = min(length, self._remaining_bytes)
        self._remaining_bytes -= length
        self._pacer.expected_bytes -= length

    def close(self) -> None:
        """Release the bytes that have not passed."""
        self.mark_passed(self._remaining_bytes)


class StreamPacer:
    """Token bucket of one instance for one region and direction class.

    :param clock: source of time.
    :param share: rate and size of the bucket.
    :param sleep: waits for a number of seconds.
    """

    def __init__(self, clock: Clock, share: LinkShare, sleep: Sleep) -> None:
        self._clock = clock
        self._share = share
        self._sleep = sleep
        #: Pieces wait for the lock in order of arrival, and each stream has
        #: at most one piece waiting, so streams take turns.
        self._turn_lock = asyncio.Lock()
        self._tokens = float(0)
        self._refilled_at = clock.now()
        self.expected_bytes = 0
        self.piece_bytes = max(min(PIECE_BYTES, int(share.burst_bytes)), 1)

    async def wait_for_piece(self, length: int) -> None:
        """Wait until a piece of a body may pass.

        :param length: bytes of the piece, at most `piece_bytes`.
        """
        async with self._turn_lock:
            # Tokens are taken after the wait, not before: a piece that wakes
            # up late can't pass together with later ones beyond the burst.
            while not self._try_take_tokens(length):
                missing_tokens = length - self._tokens
                wait_s = missing_tokens / self._share.bytes_per_s
                await self._sleep(max(wait_s, MIN_WAIT_S))

    def estimate_wait_s(self, length: int) -> float:
        """Return the seconds until a body has passed behind all reserved ones.

        :param length: length of the body, in bytes.
        """
        self._refill()
        pending_bytes = self.expected_bytes + length - self._tokens
        return max(pending_bytes / self._share.bytes_per_s, 0)

    def _try_take_tokens(self, length: int) -> bool:
        self._refill()
        if self._tokens < length:
            return False
        self._tokens -= length
        return True

    def _refill(self) -> None:
        now = self._clock.now()
        refilled = (now - self._refilled_at) * self._share.bytes_per_s
        self._tokens = min(self._tokens + refilled, self._share.burst_bytes)
        self._refilled_at = now


class LinkBudget:
    """Paces the bodies that pass between this region and others.

    :param topology: regions, links and entry instances of the deployment.
    :param region: region of this instance.
    :param clock: source of time.
    :param sleep: waits for a number of seconds.
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
        self._pacers: dict[tuple[str, LinkDirection], StreamPacer] = {}
        for link in topology.links:
            if region not in link.regions:
                continue
            region_a, region_b = link.regions
            other = region_b if region_a == region else region_a
            for direction in LinkDirection:
                share = LinkShare.from_link(link.mbit_per_s, max(instances, 1))
                self._pacers[other, direction] = StreamPacer(
                    clock, share, sleep
                )
        self._clock = clock

    async def pace(
        self,
        other_region: str,
        direction: LinkDirection,
        stream: AsyncIterator[bytes],
        reservation: Reservation | None = None,
    ) -> AsyncIterator[bytes]:
        """Yield a body in pieces at the rate of the link.

        :param other_region: region at the other end. Without a link to it,
            as for the own region, the body is not paced.
        :param direction: direction class of the body.
        :param stream: chunks of the body.
        :param reservation: reservation of the body; closed at the end.
        """
        pacer = self._pacers.get((other_region, direction))
        try:
            async for chunk in stream:
                piece_bytes = pacer.piece_bytes if pacer else len(chunk) or 1
                for start in range(0, len(chunk), piece_bytes):
                    piece = chunk[start : start + piece_bytes]
                    await _pass_piece(pacer, reservation, len(piece))
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
        """Reserve the link for a body, or refuse the request.

        The estimate counts all reserved bytes as ahead of this body. Among
        reserved bodies this is the longest time that it can take.

        :param other_region: region at the other end.
        :param direction: direction class of the body.
        :param length: declared length of the body, in bytes.
        :param deadline_at: deadline of the request, in monotonic seconds.
        :param plan: plan of the caller.
        :returns: the reservation, to be closed at the end; None if there is
            no link to the region, so that the body is not paced.
        """
        pacer = self._pacers.get((other_region, direction))
        if pacer is None:
            return Success(None)
        late_s = self._clock.now() + pacer.estimate_wait_s(length) - deadline_at
        if late_s <= 0:
            return Success(Reservation(pacer, length))
        return Failure(
            refusal_with_wait(
                plan,
                Reason.link_full,
                f'The body cannot pass from {other_region} by the deadline.'
                if direction == LinkDirection.requests
                else f'The body cannot pass to {other_region} by the deadline.',
                late_s,
            ),
        )


async def _pass_piece(
    pacer: StreamPacer | None,
    reservation: Reservation | None,
    length: int,
) -> None:
    if pacer is not None:
        await pacer.wait_for_piece(length)
    if reservation is not None:
        reservation.mark_passed(length)

"""Paces large answers on a slow link, so that small ones are not delayed.

A link of 3 Mbit/s carries an answer of 90 KB in a quarter of a second.
Without pacing, requests, decisions and small answers wait behind it each
time they cross the link, so that most of them are late although the link is
idle three quarters of the time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

#: A link at least this fast, in bytes a second, needs no pacing: it carries
#: an answer of 100 KB in less than 20 ms.
MIN_UNPACED_BYTES_PER_S = 6e6
#: Time that one piece of a large answer occupies the link, in seconds; a
#: small message waits for about one piece.
PIECE_DURATION_S = 0.01
#: Fraction of the link that paced answers use in total.
LINK_FRACTION = 0.85
#: Bytes of a target's answer that may be in flight or unread, as time on the
#: link, in seconds; at least a round trip within a region.
RECEIVE_WINDOW_S = 0.02
#: Body bytes of an answer that are buffered on a fast link before it is
#: passed on; until then a retry at another target can replace a failed answer.
ANSWER_BUFFER_BYTES = 64 * 1024


class LinkPacer:
    """Sends large answers over the link in paced pieces.

    :param bytes_per_s: bandwidth of the link, in bytes a second.
    :param now: returns monotonic time in seconds.
    """

    def __init__(self, bytes_per_s: float, now: Callable[[], float]) -> None:
        self._bytes_per_s = bytes_per_s
        self._now = now
        self._link_free_at = float('-inf')

    @property
    def is_slow(self) -> bool:
        """Whether large answers are paced."""
        return self._bytes_per_s < MIN_UNPACED_BYTES_PER_S

    @property
    def window_bytes(self) -> int:
        """Bytes of one answer that may be in flight; 0 for no limit."""
        return (
            round(self._bytes_per_s * RECEIVE_WINDOW_S) if self.is_slow else 0
        )

    @property
    def buffer_bytes(self) -> int:
        """Bytes of an answer that are buffered before it is passed on."""
        return self.window_bytes or ANSWER_BUFFER_BYTES

    async def pieces(self, content: bytes) -> AsyncIterator[bytes]:
        """Yield a body in pieces, each at the time when it may be sent.

        :param content: bytes of a body.
        """
        if not self.is_slow:
            yield content
            return
        size = max(round(self._bytes_per_s * PIECE_DURATION_S), 1)
        for start in range(0, len(content), size):
            piece = content[start : start + size]
            await self._wait_turn(len(piece), is_large=len(content) > size)
            yield piece

    async def _wait_turn(self, size: int, *, is_large: bool) -> None:
        now = self._now()
        turn_at = max(self._link_free_at, now)
        # Small answers use up link time, but do not wait for large ones.
        self._link_free_at = turn_at + size / (
            self._bytes_per_s * LINK_FRACTION
        )
        if is_large and turn_at > now:
            await asyncio.sleep(turn_at - now)

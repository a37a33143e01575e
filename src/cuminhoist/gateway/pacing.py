"""Shares the link of an entry instance between large and small answers.

The load pattern that this answers: a link of 3 Mbit/s carries an answer of
90 KB in a quarter of a second. Requests, decisions and small answers wait
behind it at each of their passages over the link, so that most of them are
late although the link is idle three quarters of the time.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

#: A link at least this fast, in bytes a second, needs no pacing: it carries
#: an answer of 100 KB in less than 20 ms.
FAST_BYTES_S = 6e6
#: Time that one piece of a large answer occupies the link, in seconds; what
#: comes in between waits for about one piece.
PIECE_S = 0.01
#: Part of the link that large answers use together.
USED_PART = 0.85
#: Bytes of a target's answer that may be on their way or unread, as time on
#: the link, in seconds; at least a round trip within a region.
WINDOW_S = 0.02
#: Body bytes that are read before an answer is passed on; until then a
#: failed answer can be replaced by that of another target.
HELD_BYTES = 64 * 1024


class LinkPacer:
    """Lets large answers onto the link piece by piece.

    :param bytes_s: what the link carries, in bytes a second.
    :param now: returns monotonic time in seconds.
    """

    def __init__(self, bytes_s: float, now: Callable[[], float]) -> None:
        self._bytes_s = bytes_s
        self._now = now
        self._free_at = float('-inf')

    @property
    def is_slow(self) -> bool:
        """Whether large answers are paced."""
        return self._bytes_s < FAST_BYTES_S

    @property
    def window_bytes(self) -> int:
        """Bytes of one answer that may be on their way; 0 for no limit."""
        return round(self._bytes_s * WINDOW_S) if self.is_slow else 0

    @property
    def held_bytes(self) -> int:
        """Bytes of an answer that are read before it is passed on."""
        return self.window_bytes or HELD_BYTES

    async def pieces(self, content: bytes) -> AsyncIterator[bytes]:
        """Yield the parts of a body, each when the link takes it.

        :param content: bytes of a body.
        """
        if not self.is_slow:
            yield content
            return
        size = max(round(self._bytes_s * PIECE_S), 1)
        for start in range(0, len(content), size):
            piece = content[start : start + size]
            await self._wait_turn(len(piece), is_large=len(content) > size)
            yield piece

    async def _wait_turn(self, size: int, *, is_large: bool) -> None:
        now = self._now()
        turn_at = max(self._free_at, now)
        # Small answers count, but do not wait for large ones.
        self._free_at = turn_at + size / (self._bytes_s * USED_PART)
        if is_large and turn_at > now:
            await asyncio.sleep(turn_at - now)

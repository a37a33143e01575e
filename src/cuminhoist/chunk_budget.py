"""Bounds the share of the event loop that small pieces of messages take.

A peer that sends its body in chunks of one byte makes a few kilobytes cost as
much as megabytes. All connections of a process to peers of one kind share one
budget, so that such peers slow down their own messages and not those of the
others.
"""

import asyncio

#: Pieces in one read that cost nothing: bodies in larger chunks have fewer.
FREE_PIECES = 16
#: Time of the budget that one piece takes, in seconds: with about 1 us for
#: its parsing, pieces take at most a fifth of the event loop.
PIECE_COST_S = 5e-6
#: Time of the budget that may be used ahead, in seconds.
BURST_S = 0.02
#: Longest pause, in seconds; a target counts as stalled after a longer silence
#: within a body (``gateway.answer_limits.MAX_SILENCE_S``).
MAX_PAUSE_S = 0.1


class ChunkBudget:
    """The budget that the connections of a process share.

    :param free_pieces: pieces in one read that cost nothing.
    :param max_pause_s: longest pause, in seconds.
    """

    def __init__(
        self,
        free_pieces: int = FREE_PIECES,
        max_pause_s: float = MAX_PAUSE_S,
    ) -> None:
        self._free_pieces = free_pieces
        self._max_pause_s = max_pause_s
        self._used_until = float('-inf')

    def spend(self, pieces: int) -> float:
        """Return how long a connection must not read, in seconds.

        :param pieces: pieces of a message that came with its last read.
        """
        if pieces <= self._free_pieces:
            return 0
        now = asyncio.get_running_loop().time()
        used_until = max(self._used_until, now) + pieces * PIECE_COST_S
        self._used_until = min(used_until, now + BURST_S + self._max_pause_s)
        return max(self._used_until - BURST_S - now, 0)

"""Bounds the share of the event loop that small pieces of bodies take.

A server that sends its body in chunks of one byte makes a few kilobytes cost as
much as megabytes. All connections of a process share one budget, so that
such servers slow down their own answers and not those of the others.
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
    """The budget that the connections of a process share."""

    def __init__(self) -> None:
        self._used_until = float('-inf')

    def spend(self, pieces: int) -> float:
        """Return how long a connection must not read, in seconds.

        :param pieces: pieces of a body that came with its last read.
        """
        if pieces <= FREE_PIECES:
            return 0
        now = asyncio.get_running_loop().time()
        used_until = max(self._used_until, now) + pieces * PIECE_COST_S
        self._used_until = min(used_until, now + BURST_S + MAX_PAUSE_S)
        return max(self._used_until - BURST_S - now, 0)

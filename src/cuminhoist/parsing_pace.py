"""Bounds how long the received bytes of one connection take the event loop."""

import asyncio
from collections.abc import Callable

from .chunk_budget import ChunkBudget

#: Most bytes that the parser gets before its steps are counted.
SLICE_BYTES = 4096
#: Steps of the parser in one turn of the event loop, up to one slice more.
MAX_STEPS_IN_TURN = 512
#: Steps in one turn that cost nothing: sixteen requests with eight fields each.
FREE_STEPS = 128
#: Longest pause of a connection that costs many steps, in seconds.
MAX_PAUSE_S = 5.0


def callers_budget() -> ChunkBudget:
    """Return the budget that the listeners of a process share."""
    return ChunkBudget(FREE_STEPS, MAX_PAUSE_S)


class ParsingPace:
    """Counts the steps of a parser and pauses it.

    A step is a field of a head or of trailers, or a piece of a body. Bytes of
    clients decide how many of them a kilobyte has.

    :param budget: the share of the event loop for all connections.
    :param resume: called after a pause.
    """

    def __init__(self, budget: ChunkBudget, resume: Callable[[], None]) -> None:
        self._budget = budget
        self._resume = resume
        self._steps = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_paused(self) -> bool:
        """Whether received bytes wait for the end of a pause."""
        return self._timer is not None

    @property
    def turn_is_used(self) -> bool:
        """Whether other connections are due."""
        return self._steps >= MAX_STEPS_IN_TURN

    def count_step(self) -> None:
        """Count one step of the parser."""
        self._steps += 1

    def end_turn(self) -> None:
        """Pause as the steps since the last turn say."""
        others_are_due = self.turn_is_used
        pause_s = self._budget.spend(self._steps)
        self._steps = 0
        if others_are_due or pause_s:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(pause_s, self._end_pause)

    def close(self) -> None:
        """End the pause; nothing is parsed any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _end_pause(self) -> None:
        self._timer = None
        self._resume()

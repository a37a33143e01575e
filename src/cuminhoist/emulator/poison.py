"""Requests that end the emulated targets that run them."""

import collections
import random
from collections.abc import Callable, Iterator

from .patterns import Pattern

#: Time from the begin of a run to the end of the target, in seconds.
RUN_S = 0.1
#: Targets that may end under a request before it must not be sent on.
MAX_ENDS = 3
#: Time after the last of these ends until all regions know it, in seconds.
REACTION_S = 4.0
#: Tries of one request that may reach targets after that time.
MAX_LATE_ARRIVALS = 3


class PoisonArrivals:
    """Counts the tries that reach targets after too many have ended."""

    def __init__(self) -> None:
        #: Tries beyond the tolerated ones.
        self.excess = 0
        self._ends: collections.Counter[str] = collections.Counter()
        self._known_at: dict[str, float] = {}
        self._late: collections.Counter[str] = collections.Counter()

    def count_end(self, content: str, now: float) -> None:
        """Count a target that ended under a request.

        :param content: identifies the content of the request.
        :param now: simulated time, in seconds.
        """
        self._ends[content] += 1
        if self._ends[content] == MAX_ENDS:
            self._known_at[content] = now + REACTION_S

    def count_arrival(self, content: str, now: float) -> None:
        """Count a try that reaches a target.

        :param content: identifies the content of the request.
        :param now: simulated time, in seconds.
        """
        if now > self._known_at.get(content, float('inf')):
            self._late[content] += 1
            self.excess += self._late[content] > MAX_LATE_ARRIVALS


def schedule_poison(
    pattern: Pattern,
    rng: random.Random,
    schedule_at: Callable[[float, Callable[[], None]], None],
    send: Callable[[str, str, float], None],
) -> None:
    """Schedule all tries of the requests that end targets.

    :param pattern: the load pattern.
    :param rng: random numbers that choose the region of each try.
    :param schedule_at: calls a function at a simulated time in seconds.
    :param send: sends a try, given its region, its content and for how long
        the target is down that it ends, in seconds.
    """
    for content, due_at, down_s in _tries(pattern):
        region = rng.choice(pattern.regions).name

        def send_try(
            region: str = region, content: str = content, down_s: float = down_s
        ) -> None:
            send(region, content, down_s)

        schedule_at(due_at, send_try)


def _tries(pattern: Pattern) -> Iterator[tuple[str, float, float]]:
    for number, poison in enumerate(pattern.poison):
        for index in range(int(poison.for_s / poison.every_s)):
            due_at = poison.at_s + index * poison.every_s
            yield f'poison-{number}', due_at, poison.down_s

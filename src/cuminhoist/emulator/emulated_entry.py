"""Entry instances of the emulator."""

import collections
from collections.abc import Callable

from ..gateway.target_connections import pool_key
from ..steering.targets import TargetEntry
from .patterns import Cut


class EmulatedEntry:
    """Emulates one entry instance.

    :param name: name of the instance.
    :param region: its region.
    """

    def __init__(self, name: str, region: str) -> None:
        self.name = name
        self.region = region
        #: The cut that it is under, which it may not have noticed.
        self.cut: Cut | None = None
        #: Whether it has found out that it reaches no target.
        self.is_cut = False
        #: Simulated time of the last answer of a target, in seconds.
        self.answered_at = float('-inf')
        #: Called with the result of the check that runs, if any does.
        self.check_callbacks: list[Callable[[bool], None]] = []
        self._idle: collections.Counter[str] = collections.Counter()

    def has_connection(self, target: TargetEntry) -> bool:
        """Take an idle connection to a target; tell whether there was one.

        :param target: the target.
        """
        if not self._idle[pool_key(target)]:
            return False
        self._idle[pool_key(target)] -= 1
        return True

    def release(self, target: TargetEntry) -> None:
        """Keep the connection of a finished request.

        :param target: the target.
        """
        self._idle[pool_key(target)] += 1

    def reset_connections(self) -> None:
        """Close all idle connections."""
        self._idle.clear()

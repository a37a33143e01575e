"""Detects overloaded targets by the pauses that they ask for."""

import collections

#: Pauses asked of this many entry instances within the window, in seconds,
#: mean that the target is overloaded.
OVERLOAD_INSTANCE_COUNT = 2
OVERLOAD_WINDOW_S = 1.0


class OverloadDetector:
    """Takes pauses asked of several entry instances for an overload."""

    def __init__(self) -> None:
        # The latest pauses: entry instance, time of the answer, end.
        self._recent: collections.deque[tuple[str, float, float]] = (
            collections.deque()
        )

    def record(self, entry_instance: str, pause_s: float, now: float) -> float:
        """Record a pause and return until when the target is overloaded.

        It is the earliest end of the pauses: the other entry instances were
        not asked for a pause, and one that was may return then.

        :param entry_instance: the entry instance that was asked.
        :param pause_s: the pause in seconds.
        :param now: monotonic time in seconds.
        :returns: monotonic time in seconds; in the past if it is not.
        """
        while self._recent and self._recent[0][1] < now - OVERLOAD_WINDOW_S:
            self._recent.popleft()
        self._recent.append((entry_instance, now, now + pause_s))
        ends = {instance: ends_at for instance, _, ends_at in self._recent}
        if len(ends) < OVERLOAD_INSTANCE_COUNT:
            return float('-inf')
        return min(ends.values())

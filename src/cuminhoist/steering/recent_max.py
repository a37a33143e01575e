"""The largest value of some time."""

import collections


class RecentMax:
    """Keeps the largest of the values that were recorded of late.

    Load pattern: entry instances that are cut off, killed or restarted. While
    one that is gone may still decide itself, it counts.

    :param kept_s: how long a value is kept, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        # Times in monotonic seconds, with values that fall.
        self._values: collections.deque[tuple[float, int]] = collections.deque()
        self._stopped_s = float(0)
        self._recorded_at = float('-inf')

    def record(self, number: int, now: float, *, expires: bool = True) -> int:
        """Record a value; return the largest one that is kept.

        :param number: the value.
        :param now: monotonic time in seconds.
        :param expires: whether kept values age since the last call.
        """
        if not expires and self._values:
            self._stopped_s += now - self._recorded_at
        self._recorded_at = now
        age = now - self._stopped_s
        values = self._values
        while values and values[-1][1] <= number:
            values.pop()
        values.append((age, number))
        while values[0][0] < age - self._kept_s:
            values.popleft()
        return values[0][1]

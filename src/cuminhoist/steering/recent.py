"""What was known of the entry instances of a region of late.

Load pattern: entry instances that are cut off, killed or restarted. While one
that is gone may still decide itself, it counts.
"""

import collections
from collections.abc import Set as AbstractSet


class RecentMax:
    """Keeps the largest of the numbers that were recorded of late.

    :param kept_s: how long a number is kept, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        # Times in monotonic seconds, with numbers that fall.
        self._numbers: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record(self, number: int, now: float) -> int:
        """Record a number; return the largest one that is kept.

        :param number: the number.
        :param now: monotonic time in seconds.
        """
        numbers = self._numbers
        while numbers and numbers[-1][1] <= number:
            numbers.pop()
        numbers.append((now, number))
        while numbers[0][0] < now - self._kept_s:
            numbers.popleft()
        return numbers[0][1]


class RecentNames:
    """Keeps the names that were present of late.

    :param kept_s: how long an absent name is kept, in seconds.
    """

    def __init__(self, kept_s: float) -> None:
        self._kept_s = kept_s
        #: For how long each name has been absent, in seconds.
        self._absent_s: dict[str, float] = {}
        self._recorded_at = float(0)

    def record(
        self, present: AbstractSet[str], now: float, *, expires: bool = True
    ) -> int:
        """Record the present names; return how many are kept.

        :param present: the names that are present.
        :param now: monotonic time in seconds.
        :param expires: whether the time since the last call counts.
        """
        passed_s = now - self._recorded_at if expires else 0
        self._recorded_at = now
        absences = {
            name: absent_s + passed_s
            for name, absent_s in self._absent_s.items()
        }
        self._absent_s = {
            name: absent_s
            for name, absent_s in absences.items()
            if absent_s <= self._kept_s
        }
        self._absent_s.update(dict.fromkeys(present, 0))
        return len(self._absent_s)

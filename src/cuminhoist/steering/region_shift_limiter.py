"""Limits how fast the requests of a region move to other regions.

The load pattern that this answers: a region's demand passes what its targets
hold, and an answer from another region is suddenly the faster one for most
requests. Without a limit they all move at once and land on targets that do
not hold their objects. In a disturbance of the region's own targets the limit
does not hold: then the requests have nowhere else to go.
"""

import collections

#: Length of the windows that are compared, in seconds.
WINDOW_S = 2.0
#: Requests are counted in steps of this length, in seconds.
STEP_S = 0.25
#: Part of the deployment's limit that is used: requests of several entry
#: instances are counted at slightly different times.
USED_PART = 0.9
#: Fewer requests than this in both windows are too few to be compared.
MIN_REQUESTS = 20
#: After a disturbance of own targets, requests move freely for this long, in
#: seconds.
DISTURBED_S = 8.0


class _Step:
    """Requests within one step of time."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.total = 0
        self.moved = 0


class RegionShiftLimiter:
    """Counts the requests of one region and those that left it.

    :param limit: most of the requests that may change their region from one
        window to the next.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit * USED_PART
        self._steps: collections.deque[_Step] = collections.deque()
        self._disturbed_at = float('-inf')

    def record_disturbance(self, now: float) -> None:
        """Note that targets of the region fail, slow down or are lost.

        :param now: monotonic time in seconds.
        """
        self._disturbed_at = now

    def count_request(self, now: float, *, moved: bool) -> None:
        """Count a request that was sent to a target.

        :param now: monotonic time in seconds.
        :param moved: whether the target is in another region.
        """
        number = int(now / STEP_S)
        if not self._steps or self._steps[-1].number != number:
            self._steps.append(_Step(number))
        self._steps[-1].total += 1
        self._steps[-1].moved += moved
        oldest = number - 2 * WINDOW_S / STEP_S
        while self._steps[0].number < oldest:
            self._steps.popleft()

    def allows_shift(self, now: float) -> bool:
        """Tell whether one more request may leave the region.

        :param now: monotonic time in seconds.
        """
        if now - self._disturbed_at < DISTURBED_S:
            return True
        border = int((now - WINDOW_S) / STEP_S)
        before = [step for step in self._steps if step.number <= border]
        total = sum(step.total for step in before)
        lately = [step for step in self._steps if step.number > border]
        asked = sum(step.total for step in lately) + 1
        if total + asked <= MIN_REQUESTS:
            return True
        # Traffic that has just started counts as served at home before.
        part = sum(step.moved for step in before) / max(total, 1)
        moved = sum(step.moved for step in lately) + 1
        return moved / asked <= part + self._limit

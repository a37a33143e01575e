"""What is known of one target: its slots, speed, failures and objects."""

import collections

from .decisions import Ending
from .targets import TargetEntry

#: Weight of a new observation in moving averages.
SMOOTHING = 0.2
#: A target whose failures exceed this part is set aside.
MAX_FAILURE_PART = 0.5
#: Failures in a row after which a target is set aside.
MAX_FAILURES_IN_ROW = 3
#: Time aside after the first failure period and the longest, in seconds; a
#: crashed target stays on the list for some seconds.
FIRST_ASIDE_S = 0.4
LONGEST_ASIDE_S = 3.0
#: A target that sheds has a full queue; the shortest run takes about this
#: long, in seconds.
SHED_PAUSE_S = 0.06
#: A target that works this many times longer than the others is disturbed.
DISTURBED_SLOWDOWN = 2.0
#: Time after which an observation of speed has faded, in seconds, so that a
#: slow target is tried again.
SPEED_MEMORY_S = 4.0
#: Work of a cold target takes about twice as long.
COLD_FACTOR = 2.0

_FAILURES = frozenset((Ending.failed, Ending.lost, Ending.timeout))


class SlotPool:
    """Slots of all targets of one region that one dispatcher may use.

    :param slots: how many requests may run at once.
    :param running: how many do.
    """

    def __init__(self, slots: float = 0) -> None:
        self.slots = slots
        self.running = 0

    def is_full(self) -> bool:
        """Tell whether no further request may be sent."""
        return self.running + 1 > self.slots and self.running > 0


class TrackedTarget:
    """One start of a target as one dispatcher sees it.

    :param entry: what the list says of it.
    :param region: where it is.
    :param distance_s: round trip beyond that of the nearest targets, in
        seconds.
    """

    def __init__(
        self,
        entry: TargetEntry,
        region: str = '',
        distance_s: float = 0,
    ) -> None:
        self.entry = entry
        self.region = region
        self.distance_s = distance_s
        self.slots = entry.slots
        self.pool = SlotPool(float('inf'))
        self.running = 0
        self.untried = True
        self.kept = float('inf')
        self.queued = 0
        self.usual_run_s = float(0)
        self.cold_until = float('-inf')
        self.cold_per_s = float('inf')
        self.aside_until = float('-inf')
        #: Set while so many targets are set aside that all must be used.
        self.indispensable = False
        self._aside_s = FIRST_ASIDE_S
        self._failed_until = float('-inf')
        self._failure_part = float(0)
        self._failures_in_row = 0
        self._speed = float(1)
        self._speed_at = float('-inf')
        self._cold_tokens = float(1)
        self._cold_at = float('-inf')
        self._warming: dict[str, float] = {}
        self._running_since: collections.deque[float] = collections.deque()
        self._warm: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def is_warm(self, key: str) -> bool:
        """Tell whether the target has lately worked on an object.

        :param key: identity of the object.
        """
        return key in self._warm

    def is_cold(self, now: float) -> bool:
        """Tell whether the target has just started.

        :param now: monotonic time in seconds.
        """
        return now < self.cold_until

    def is_full(self, kept: float) -> bool:
        """Tell whether it holds about as many objects as it keeps.

        :param kept: how many it keeps.
        """
        return len(self._warm) >= kept - 2

    def is_disturbed(self, now: float) -> bool:
        """Tell whether it keeps failing or works much longer than usual.

        A single failure says little: callers with little time left end
        attempts as well.

        :param now: monotonic time in seconds.
        """
        if now < self._failed_until:
            return True
        if self._failures_in_row >= MAX_FAILURES_IN_ROW:
            return True
        return self.slowdown_of_runs(now) > DISTURBED_SLOWDOWN

    def has_room(self, now: float) -> bool:
        """Tell whether a request may be sent now.

        :param now: monotonic time in seconds.
        """
        if self.running >= self.slots or self.pool.is_full():
            return False
        if self.is_aside(now) and not self.indispensable:
            return False
        return now >= self.cold_until or self._cold_allowance(now) >= 1

    def slowdown(self, now: float) -> float:
        """Return how many times longer it works than the others.

        :param now: monotonic time in seconds.
        """
        factor = COLD_FACTOR if now < self.cold_until else 1
        slowdown = max(self.slowdown_of_runs(now), self._overdue(now))
        return slowdown * factor / max(1 - self._failure_part, 0.2)

    def speed(self, now: float) -> float:
        """Return the part of its slots that does useful work.

        :param now: monotonic time in seconds.
        """
        if now < self.aside_until:
            return 0
        return min(1 / self.slowdown(now), 1)

    def start(self, key: str, now: float) -> None:
        """Count a request that is sent.

        :param key: identity of its object.
        :param now: monotonic time in seconds.
        """
        self.running += 1
        self.pool.running += 1
        self._running_since.append(now)
        self.untried = False
        if now < self.cold_until:
            self._cold_tokens = self._cold_allowance(now) - 1
            self._cold_at = now
        if key and key not in self._warm:
            self._warming.setdefault(key, now)

    def wait_s(self, run_s: float, now: float) -> float:
        """Return the time until a request that comes now is sent.

        :param run_s: how long requests run, in seconds.
        :param now: monotonic time in seconds.
        """
        if self.has_room(now) and not self.queued:
            return 0
        ahead = self.queued + 1
        aside_s = max(self.aside_until - now, 0)
        if self.indispensable:
            aside_s = 0
        own_s = run_s * self.slowdown(now) * ahead / self.slots
        if not self.pool.is_full():
            return aside_s + own_s
        pool_s = run_s / max(self.pool.slots, 1)
        return aside_s + max(own_s, pool_s)

    def warming_s(
        self, key: str, cold_run_s: float, now: float
    ) -> float | None:
        """Return the time until the target holds an object, if it will soon.

        :param key: identity of the object.
        :param cold_run_s: how long the first request for it runs.
        :param now: monotonic time in seconds.
        """
        since = self._warming.get(key)
        if since is None:
            return None
        left_s = cold_run_s * self.slowdown(now) - (now - since)
        return max(left_s, cold_run_s * 0.1)

    def end(
        self,
        ending: Ending,
        key: str,
        ratio: float,
        now: float,
    ) -> None:
        """Count the end of a request.

        :param ending: how it ended.
        :param key: identity of its object.
        :param ratio: its run time in terms of the expected one.
        :param now: monotonic time in seconds.
        """
        self.running = max(self.running - 1, 0)
        self.pool.running = max(self.pool.running - 1, 0)
        if self._running_since:
            self._running_since.popleft()
        self._warming.pop(key, None)
        if ending is Ending.answered:
            self._hold(key)
            self._note_answer(ratio, now)
        elif ending in _FAILURES:
            self._note_failure(now)
        elif ending is Ending.shed:
            self.aside_until = max(self.aside_until, now + SHED_PAUSE_S)
        elif ending in {Ending.unreachable, Ending.misdirected}:
            self._failures_in_row = MAX_FAILURES_IN_ROW
            self._set_aside(now)

    def observe(self, key: str, ratio: float, now: float) -> None:
        """Count an answer to a request that another dispatcher granted.

        :param key: identity of its object.
        :param ratio: its run time in terms of the expected one.
        :param now: monotonic time in seconds.
        """
        self.untried = False
        self._hold(key)
        self._note_answer(ratio, now)

    def _hold(self, key: str) -> None:
        if not key:
            return
        self._warm[key] = None
        self._warm.move_to_end(key)
        while len(self._warm) > self.kept:
            self._warm.popitem(last=False)

    def is_aside(self, now: float) -> bool:
        """Tell whether the target is set aside since it failed.

        After that time, one request at a time finds out whether it has
        recovered.

        :param now: monotonic time in seconds.
        """
        if now < self.aside_until:
            return True
        failing = self._failures_in_row >= MAX_FAILURES_IN_ROW
        return failing and self.running > 0

    def _note_answer(self, ratio: float, now: float) -> None:
        self._failures_in_row = 0
        self._failure_part *= 1 - SMOOTHING
        self._aside_s = FIRST_ASIDE_S
        self._speed = self.slowdown_of_runs(now)
        self._speed += SMOOTHING * (min(ratio, 20) - self._speed)
        self._speed_at = now

    def slowdown_of_runs(self, now: float) -> float:
        """Return the speed alone, faded over time.

        :param now: monotonic time in seconds.
        """
        faded = min(max(now - self._speed_at, 0) / SPEED_MEMORY_S, 1)
        return self._speed + (1 - self._speed) * faded

    def _overdue(self, now: float) -> float:
        """Return how many times longer than usual the oldest request runs."""
        if not self._running_since or not self.usual_run_s:
            return 1
        # Requests end in another order than they began, so this is the
        # least that the oldest one has run.
        return (now - self._running_since[0]) / self.usual_run_s / 2

    def _note_failure(self, now: float) -> None:
        self._failures_in_row += 1
        self._failure_part += SMOOTHING * (1 - self._failure_part)
        if (
            self._failures_in_row >= MAX_FAILURES_IN_ROW
            or self._failure_part > MAX_FAILURE_PART
        ):
            self._set_aside(now)

    def _set_aside(self, now: float) -> None:
        if now < self.aside_until:
            return
        self.aside_until = now + self._aside_s
        self._failed_until = self.aside_until
        self._aside_s = min(self._aside_s * 2, LONGEST_ASIDE_S)

    def _cold_allowance(self, now: float) -> float:
        elapsed = now - self._cold_at
        if elapsed == float('inf'):
            return 1
        return min(self._cold_tokens + elapsed * self.cold_per_s, 1)

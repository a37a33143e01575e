"""Tracks slots, run times, failures and cached objects of one target."""

import collections

from .cached_objects import CachedObjects
from .decisions import Ending
from .overload_detector import OverloadDetector
from .target_ejection import SMOOTHING, TargetEjection
from .target_limits import UNLIMITED, RequestRate
from .target_speed import SpeedNews, TargetSpeed
from .targets import TargetEntry

#: A target counts as disturbed if its runs take longer than expected by more
#: than this factor.
DISTURBED_SLOWDOWN = 2.0
#: Time after which the observed run-time ratio has faded to 1, in seconds, so
#: that a slow target gets requests again.
RUN_TIME_MEMORY_S = 4.0
#: Runs at a target that is warming up take about twice as long.
WARMUP_SLOWDOWN = 2.0

#: Targets that have cached or are loading an object, by object and name.
ObjectHolders = dict[str, dict[str, 'TrackedTarget']]


class SlotPool:
    """Slots of one region that one dispatcher may use.

    :param slots: number of requests that may run concurrently.
    """

    def __init__(self, slots: float = 0) -> None:
        self.slots = slots
        #: Whether they are only for requests that may not run in the region
        #: of the dispatcher.
        self.is_reserved = False
        #: Number of requests that run now.
        self.running = 0

    def is_full(self) -> bool:
        """Tell whether no more requests may be sent.

        One request may always run, also with less than one slot.
        """
        return self.running + 1 > self.slots and self.running > 0


class TrackedTarget:
    """State of one incarnation of a target in one dispatcher.

    :param entry: entry of the target list.
    :param region: region of the target.
    :param extra_rtt_s: round-trip time beyond that to targets of the
        dispatcher's own region, in seconds.
    """

    def __init__(
        self,
        entry: TargetEntry,
        region: str = '',
        extra_rtt_s: float = 0,
    ) -> None:
        self.entry = entry
        self.region = region
        self.extra_rtt_s = extra_rtt_s
        self.slots = entry.slots
        self.pool = SlotPool(float('inf'))
        self.running = 0
        #: True until the target is sent a request or answers one.
        self.untried = True
        self.cache = CachedObjects(entry.name, self)
        #: Number of requests that wait for a slot of this target.
        self.queued = 0
        self.expected_run_s = float(0)
        self.warmup_until = float('-inf')
        self.warmup_rate_per_s = float('inf')
        self._ejection = TargetEjection()
        #: Whether so many targets are ejected that ejection is ignored.
        self.panic_mode = False
        #: Until when no entry instance sends requests, because the target
        #: asked several of them for a pause. Panic mode does not ignore it.
        self._overloaded_until = float('-inf')
        self._overload_detector = OverloadDetector()
        # Holds back requests while the target names a limit.
        self._request_rate: RequestRate | None = None
        #: Learned speed; None until the target tells its slowdown.
        self.speed: TargetSpeed | None = None
        self._run_time_ratio = float(1)
        self._run_time_ratio_at = float('-inf')
        self._warmup_tokens = float(1)
        self._warmup_tokens_at = float('-inf')
        self._running_since: collections.deque[float] = collections.deque()

    def has_cached(self, key: str) -> bool:
        """Tell whether the target is taken to have cached an object.

        :param key: identity of the object.
        """
        return key in self.cache

    def forget_objects(self) -> None:
        """Remove a target that is no longer used from the index of objects."""
        self.cache.forget()

    def is_warming_up(self, now: float) -> bool:
        """Tell whether the target is still warming up.

        :param now: monotonic time in seconds.
        """
        return now < self.warmup_until

    def is_disturbed(self, now: float) -> bool:
        """Tell whether the target keeps failing or is much too slow.

        A single failure is not enough, because an attempt also fails if its
        caller had little time left.

        :param now: monotonic time in seconds.
        """
        if self._ejection.is_for_failures(now):
            return True
        if self.speed is not None:
            return self.speed.is_disturbed(now)
        return self.current_run_time_ratio(now) > DISTURBED_SLOWDOWN

    def has_free_slot(self, now: float) -> bool:
        """Tell whether a request may be sent to the target now.

        :param now: monotonic time in seconds.
        """
        if self.running >= self.limit(now) or self.pool.is_full():
            return False
        if self.is_barred:
            return False
        if self.is_overloaded(now) or self._limited_for_s(now):
            return False
        if self.is_ejected(now) and not self.panic_mode:
            return False
        return (
            now >= self.warmup_until or self._available_warmup_tokens(now) >= 1
        )

    def limit(self, now: float) -> float:
        """Return how many requests may run concurrently.

        :param now: monotonic time in seconds.
        """
        if self.speed is None:
            return self.slots
        limit = self.speed.limit.limit(now) - self.speed.others_running
        return max(min(limit, self.slots), 1)

    def is_overloaded(self, now: float) -> bool:
        """Tell whether the target asked several entry instances to pause.

        :param now: monotonic time in seconds.
        """
        return now < self._overloaded_until

    def set_rate(self, per_s: float, now: float) -> bool:
        """Set how many requests per second may be sent to the target.

        :param per_s: requests per second; infinite for no limit.
        :param now: monotonic time in seconds.
        :returns: whether there was no such bound before.
        """
        if per_s == UNLIMITED:
            self._request_rate = None
        elif self._request_rate is None:
            self._request_rate = RequestRate(per_s, now)
            return True
        else:
            self._request_rate.change(per_s, now)
        return False

    def restart_rate(self, now: float) -> None:
        """Forget the time in which another dispatcher sent the requests.

        :param now: monotonic time in seconds.
        """
        if self._request_rate is not None:
            self._request_rate.restart(now)

    @property
    def is_barred(self) -> bool:
        """Whether only others may send requests, as the target is limited."""
        return self._request_rate is not None and not self._request_rate.per_s

    def _limited_for_s(self, now: float) -> float:
        return self._request_rate.wait_s(now) if self._request_rate else 0

    def slowdown(self, now: float) -> float:
        """Return by what factor answers are expected to take longer.

        It includes the time lost by failures.

        :param now: monotonic time in seconds.
        """
        factor = WARMUP_SLOWDOWN if now < self.warmup_until else 1
        slowdown = max(self._expected_ratio(now), self._overdue_ratio(now))
        return slowdown * factor / max(1 - self._ejection.failure_fraction, 0.2)

    def working_fraction(self, now: float) -> float:
        """Return the fraction of its slots that does useful work.

        :param now: monotonic time in seconds.
        """
        if now < max(self._ejection.until, self._overloaded_until):
            return 0
        fraction = min(1 / self.slowdown(now), 1)
        if self._request_rate is None:
            return fraction
        busy_slots = self._request_rate.per_s * self.expected_run_s
        return min(fraction, busy_slots / self.slots)

    def start(self, key: str, now: float) -> None:
        """Count a request that is sent to the target.

        :param key: identity of the object that the request uses.
        :param now: monotonic time in seconds.
        """
        self.running += 1
        self.pool.running += 1
        self._running_since.append(now)
        self.untried = False
        if self._request_rate is not None:
            self._request_rate.start(now)
        if now < self.warmup_until:
            self._warmup_tokens = self._available_warmup_tokens(now) - 1
            self._warmup_tokens_at = now
        self.cache.start_loading(key, now)

    def wait_s(
        self, run_s: float, now: float, queued: int | None = None
    ) -> float:
        """Return the estimated wait of a request that arrives now.

        :param run_s: run time of requests, in seconds.
        :param now: monotonic time in seconds.
        :param queued: number of waiting requests that are served before it;
            None for all of them.
        """
        if queued is None:
            queued = self.queued
        if self.is_barred:
            return float('inf')
        if self.has_free_slot(now) and not queued:
            return 0
        ahead = queued + 1
        ejected_s = max(self._ejection.until - now, 0)
        if self.panic_mode:
            ejected_s = 0
        ejected_s = max(self._overloaded_until - now, ejected_s)
        if self._request_rate is not None:
            queued_s = queued / self._request_rate.per_s
            ejected_s = max(self._limited_for_s(now) + queued_s, ejected_s)
        own_s = run_s * self.slowdown(now) * ahead / self.limit(now)
        if not self.pool.is_full():
            return ejected_s + own_s
        pool_s = run_s / max(self.pool.slots, 1)
        return ejected_s + max(own_s, pool_s)

    def loading_left_s(
        self, key: str, miss_run_s: float, now: float
    ) -> float | None:
        """Return the time until the target has cached an object.

        :param key: identity of the object.
        :param miss_run_s: run time after a cache miss, in seconds.
        :param now: monotonic time in seconds.
        :returns: seconds; None if no request for the object runs there.
        """
        load_s = miss_run_s * self.slowdown(now)
        return self.cache.loading_left_s(key, load_s, miss_run_s, now)

    def end(
        self,
        ending: Ending,
        key: str,
        ratio: float,
        now: float,
    ) -> None:
        """Count the end of an attempt.

        :param ending: how the attempt ended.
        :param key: identity of the object that the request uses.
        :param ratio: its run time divided by the expected run time.
        :param now: monotonic time in seconds.
        """
        self.running = max(self.running - 1, 0)
        self.pool.running = max(self.pool.running - 1, 0)
        if self._running_since:
            self._running_since.popleft()
        self.cache.end_loading(key)
        if ending is Ending.answered:
            self.cache.add(key)
            self._record_answer(ratio, now)
        else:
            self._ejection.record_failure(ending, now)

    def record_pause(
        self, entry_instance: str, pause_s: float, now: float
    ) -> None:
        """Record that the target asked an entry instance for a pause.

        :param entry_instance: the entry instance.
        :param pause_s: the pause in seconds.
        :param now: monotonic time in seconds.
        """
        overloaded_until = self._overload_detector.record(
            entry_instance, pause_s, now
        )
        self._overloaded_until = max(self._overloaded_until, overloaded_until)

    def learn_speed(self, news: SpeedNews) -> TargetSpeed:
        """Return the learned speed, from now on used for estimates.

        :param news: predicts the slowdown of the service's targets.
        """
        if self.speed is None:
            self.speed = TargetSpeed(news, self.slots)
        return self.speed

    def observe(self, key: str, ratio: float, now: float) -> None:
        """Count an answered attempt that another dispatcher granted.

        :param key: identity of the object that the request uses.
        :param ratio: its run time divided by the expected run time.
        :param now: monotonic time in seconds.
        """
        self.untried = False
        self.cache.add(key)
        self._record_answer(ratio, now)

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target is ejected or pauses after a shed request.

        After an ejection for consecutive failures, the target gets one
        request at a time until one is answered.

        :param now: monotonic time in seconds.
        """
        if now < self._ejection.until:
            return True
        return self._ejection.keeps_failing and self.running > 0

    def _record_answer(self, ratio: float, now: float) -> None:
        self._ejection.record_answer()
        if self.speed is not None:
            # Its robust statistics replace the average.
            return
        self._run_time_ratio = self.current_run_time_ratio(now)
        self._run_time_ratio += SMOOTHING * (
            min(ratio, 20) - self._run_time_ratio
        )
        self._run_time_ratio_at = now

    def _expected_ratio(self, now: float) -> float:
        if self.speed is None:
            return self.current_run_time_ratio(now)
        running = self.running + 1 + self.speed.others_running
        return (
            self.speed.usual_ratio(now)
            * self.speed.slowdown(now)
            * self.speed.limit.contention(running)
        )

    def current_run_time_ratio(self, now: float) -> float:
        """Return the ratio of actual to expected run time, faded to 1.

        :param now: monotonic time in seconds.
        """
        faded = min(
            max(now - self._run_time_ratio_at, 0) / RUN_TIME_MEMORY_S, 1
        )
        return self._run_time_ratio + (1 - self._run_time_ratio) * faded

    def _overdue_ratio(self, now: float) -> float:
        """Return how late the oldest running request is, as a ratio."""
        if not self._running_since or not self.expected_run_s:
            return 1 if self.speed is None else 0
        number = 0
        if self.speed is not None:
            # A single long run does not make the target slow.
            number = len(self._running_since) // 2
            if not number:
                return 0
        # Requests may end out of order, and each end removes the earliest
        # start time. The result is thus a lower bound.
        return (now - self._running_since[number]) / self.expected_run_s / 2

    def _available_warmup_tokens(self, now: float) -> float:
        elapsed = now - self._warmup_tokens_at
        if elapsed == float('inf'):
            return 1
        return min(self._warmup_tokens + elapsed * self.warmup_rate_per_s, 1)

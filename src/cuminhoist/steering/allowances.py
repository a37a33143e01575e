"""Decides which requests of a workspace are within its allowance.

A workspace's allowance is a rate and a burst over all instances together. A
dispatcher holds a part of it in one token bucket for each limited workspace.
The load that this answers is a workspace that sends several times its rate
for some seconds: its excess is refused on arrival, before it takes slots.

Tokens are only made at the bucket's rate. No change of a size makes any.
"""

import math
import random
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from .decisions import PlacementRequest, RefusalReason, Refused

#: A caller that waits for its token is not told a longer time than this, in
#: seconds. Requests are useful for about a second, so that a later token is
#: worth nothing to the caller.
MAX_RETRY_AFTER_S = 2.0
#: Least time that a caller is told, in seconds; ``Retry-After`` has hundredths,
#: and a caller that is told 0 returns at once.
MIN_RETRY_AFTER_S = 0.01
#: Intervals without a call of ``keep`` after which a process counts as frozen.
#: Entry instances decide themselves then, so that its buckets do not fill.
FROZEN_INTERVALS = 1.5
#: Intervals after which another dispatcher may have taken its place.
REPLACED_INTERVALS = 3.2
#: Tolerance in tokens: rounding errors of sums of floats must not refuse a
#: request.
ROUNDING_TOLERANCE = 1e-6


class BucketSize(msgspec.Struct, frozen=True):
    """The part of an allowance that one dispatcher decides on.

    :param rate_per_s: tokens a second.
    :param capacity: most tokens that may be saved.
    :param start: tokens of a dispatcher that starts to decide. Its fraction
        is the probability of one more token.
    :param smoothing_s: time constant of the measured demand, in seconds.
    :param start_interval_s: least time between two starts that get these
        tokens, in seconds.
    """

    rate_per_s: float
    capacity: float
    start: float = 0
    smoothing_s: float = 1
    start_interval_s: float = 5


class Bucket:
    """The tokens of one workspace, and its use.

    :param size: the size.
    :param tokens: tokens at the start.
    :param now: monotonic time in seconds.
    """

    def __init__(self, size: BucketSize, tokens: float, now: float) -> None:
        self.size = size
        self.used = 0
        self.refused = 0
        self._tokens = min(tokens, size.capacity)
        self._updated_at = now
        self._started_at = now
        self._demand_per_s = float(0)
        self._counted_at = now
        self._promised_at = now

    def tokens(self, now: float) -> float:
        """Return the tokens in the bucket.

        :param now: monotonic time in seconds.
        """
        passed_s = now - self._updated_at
        if passed_s > 0:
            self._updated_at = now
            size = self.size
            self._tokens = min(
                self._tokens + passed_s * size.rate_per_s, size.capacity
            )
        return self._tokens

    def demand_per_s(self, now: float) -> float:
        """Return the smoothed number of requests a second.

        :param now: monotonic time in seconds.
        """
        passed_s = max(now - self._counted_at, 0)
        return self._demand_per_s * math.exp(-passed_s / self.size.smoothing_s)

    def admit(self, now: float, jitter: float) -> float | None:
        """Take a token, or return the time to the next one, in seconds.

        Each refused request is told a token of its own, so that callers do
        not return together.

        :param now: monotonic time in seconds.
        :param jitter: random number from 0 to 1.
        """
        per_s = 1 / self.size.smoothing_s
        self._demand_per_s = self.demand_per_s(now) + per_s
        self._counted_at = now
        tokens = self.tokens(now)
        if tokens >= 1 - ROUNDING_TOLERANCE:
            self._tokens = tokens - 1
            self.used += 1
            return None
        self.refused += 1
        return self._next_token_s(1 - tokens, now, jitter)

    def refund(self, now: float) -> None:
        """Return the token of a request that no target got.

        :param now: monotonic time in seconds.
        """
        self.used -= 1
        self.add(1, now)

    def add(self, tokens: float, now: float) -> None:
        """Add tokens up to the capacity.

        :param tokens: tokens that another bucket has given up, or a negative
            number of tokens that this one gives up.
        :param now: monotonic time in seconds.
        """
        self._tokens = min(self.tokens(now) + tokens, self.size.capacity)

    def resize(self, size: BucketSize, now: float) -> None:
        """Change the size; tokens beyond the new capacity are dropped.

        :param size: the new size.
        :param now: monotonic time in seconds.
        """
        tokens = self.tokens(now)
        self._demand_per_s = self.demand_per_s(now)
        self._counted_at = now
        self.size = size
        self._tokens = min(tokens, size.capacity)

    def leave_out(self, start: float, end: float) -> None:
        """Make no tokens for a time in which others decided.

        :param start: its start, in monotonic seconds.
        :param end: its end, in monotonic seconds.
        """
        self.tokens(start)
        self._updated_at = end

    def restart(self, tokens: float, now: float) -> None:
        """Forget the tokens of a time in which others may have decided.

        A dispatcher that starts again and again gets the tokens of a start
        once in each interval.

        :param tokens: tokens at the start.
        :param now: monotonic time in seconds.
        """
        self._updated_at = now
        if now - self._started_at < self.size.start_interval_s:
            tokens = min(tokens, self._tokens)
        else:
            self._started_at = now
        self._tokens = min(tokens, self.size.capacity)

    def _next_token_s(self, missing: float, now: float, jitter: float) -> float:
        rate_per_s = self.size.rate_per_s
        if rate_per_s <= 1 / MAX_RETRY_AFTER_S:
            return MAX_RETRY_AFTER_S * (1 + jitter) / 2
        soonest_s = missing / rate_per_s
        promised_s = self._promised_at - now
        if not 0 < promised_s < MAX_RETRY_AFTER_S:
            promised_s = 0
        promised_s = max(promised_s, soonest_s)
        self._promised_at = now + promised_s + 1 / rate_per_s
        return max(promised_s + jitter / rate_per_s, MIN_RETRY_AFTER_S)


class Allowances:
    """The buckets of one dispatcher, by workspace.

    Workspaces without a limit have no bucket and cost one look-up.

    :param rng: spreads the times at which callers return.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()  # noqa: S311
        self._buckets: dict[str, Bucket] = {}
        # When the process was last known to run, in monotonic seconds.
        self._kept_at = float(0)
        self._keep_interval_s = float('inf')

    def __iter__(self) -> Iterator[tuple[str, Bucket]]:
        """Yield each limited workspace with its bucket."""
        yield from self._buckets.items()

    def find(self, workspace: str) -> Bucket | None:
        """Return the bucket of a workspace; None without a limit.

        Its tokens count only after ``check_gap``.

        :param workspace: name of the workspace.
        """
        return self._buckets.get(workspace)

    def admit(self, workspace: str, now: float) -> float | None:
        """Charge a request, or return when a token is expected.

        :param workspace: its workspace; empty for none.
        :param now: monotonic time in seconds.
        :returns: None if it is admitted; else the time to its token, in
            seconds.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return None
        self.check_gap(now)
        return bucket.admit(now, self._rng.random())

    def refund(self, workspace: str, now: float) -> None:
        """Return the token of a request that no target got.

        :param workspace: its workspace; empty for none.
        :param now: monotonic time in seconds.
        """
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.refund(now)

    def charge(self, request: PlacementRequest, now: float) -> Refused | None:
        """Charge a placement request, or refuse it.

        Only the first placement of a request is charged. A later one names
        the targets that were tried.

        :param request: the placement request.
        :param now: monotonic time in seconds.
        """
        if not request.workspace or request.excluded:
            return None
        wait_s = self.admit(request.workspace, now)
        if wait_s is None:
            return None
        return Refused(
            request.number, RefusalReason.over_allowance, wait_s, wait_s
        )

    def refund_unplaced(self, request: PlacementRequest, now: float) -> None:
        """Return the token of a placement request that got no target.

        :param request: a placement request that was charged.
        :param now: monotonic time in seconds.
        """
        if request.workspace and not request.excluded:
            self.refund(request.workspace, now)

    def set_size(self, workspace: str, size: BucketSize, now: float) -> None:
        """Put a size in force at once.

        :param workspace: the workspace.
        :param size: its size.
        :param now: monotonic time in seconds.
        """
        self.check_gap(now)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            self._buckets[workspace] = Bucket(size, self._start(size), now)
        elif bucket.size != size:
            bucket.resize(size, now)

    def set_sizes(self, sizes: Mapping[str, BucketSize], now: float) -> None:
        """Put the sizes of all limited workspaces in force at once.

        :param sizes: sizes by workspace; all others have no limit.
        :param now: monotonic time in seconds.
        """
        self._drop(self._buckets.keys() - sizes.keys())
        for workspace, size in sizes.items():
            self.set_size(workspace, size, now)

    def restart(self, now: float) -> None:
        """Start to decide in place of another dispatcher.

        :param now: monotonic time in seconds.
        """
        for bucket in self._buckets.values():
            bucket.restart(self._start(bucket.size), now)

    def keep(self, now: float, interval_s: float) -> None:
        """Record that this process runs.

        :param now: monotonic time in seconds.
        :param interval_s: time until the next call, in seconds.
        """
        self.check_gap(now)
        self._kept_at = now
        self._keep_interval_s = interval_s

    def check_gap(self, now: float) -> None:
        """Leave out a time in which this process did not run.

        :param now: monotonic time in seconds.
        """
        intervals = (now - self._kept_at) / self._keep_interval_s
        if intervals <= FROZEN_INTERVALS:
            return
        for bucket in self._buckets.values():
            bucket.leave_out(self._kept_at, now)
        if intervals > REPLACED_INTERVALS:
            self.restart(now)
        self._kept_at = now

    def _start(self, size: BucketSize) -> float:
        whole = math.floor(size.start)
        return whole + (self._rng.random() < size.start - whole)

    def _drop(self, workspaces: Iterable[str]) -> None:
        for workspace in workspaces:
            self._buckets.pop(workspace)

"""Rate limits of callers, divided into equal shares of the entry instances.

Each instance has a token bucket with its share of each caller's rate and
burst, and lends unused tokens to the others. A loan is deducted at the lender
before the borrower uses it, so loans never add up to more than the rate, even
if messages are lost, copied or late or instances crash.
"""

import math
from collections.abc import Iterator
from typing import Self

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .entitlements import CallerService, Entitlement, Entitlements

#: Longest duration of a loan; the burst of the plan is a second limit.
MAX_LOAN_S = 2.0
#: Time constant of the averages of demand and use.
DEMAND_WINDOW_S = 1.0
#: Fraction of the burst that a lender keeps, so that its own next request
#: does not wait for the refill.
RESERVE_FRACTION = 0.05
#: A lender keeps the tokens that it uses itself in this time.
RESERVE_USE_S = 1.0
#: Loans that end within this time do not count as cover of the demand, so
#: that they are replaced before they end.
RENEW_BEFORE_S = 0.5
#: Ratio of the rate to cover to the measured demand: arrivals are uneven.
DEMAND_FACTOR = 1.1
#: Tolerance in tokens: rounding errors of sums of floats must not refuse a
#: request.
ROUNDING_TOLERANCE = 1e-9
#: Full buckets are dropped before a bucket is added to this many.
MAX_BUCKETS_WITH_IDLE = 1024


class Loan(msgspec.Struct, frozen=True):
    """Tokens that the borrower receives evenly until the loan ends.

    :param rate_per_s: tokens per second.
    :param ends_at: monotonic time of the end, on the clock of the instance
        that holds this record.
    """

    rate_per_s: float
    ends_at: float


class RateShare(msgspec.Struct, frozen=True):
    """The share of an entitlement that one instance has.

    :param rate_per_s: refill in tokens per second.
    :param burst: most tokens that the bucket holds.
    :param loan_s: duration of loans in seconds. It is at most the time in
        which an empty bucket fills: an instance that restarts and has no
        record of its loans then never has more than its share (see the
        decision note).
    """

    rate_per_s: float
    burst: float
    loan_s: float = msgspec.field(name='lease_s')

    @classmethod
    def from_entitlement(cls, entitled: Entitlement, instances: int) -> Self:
        """Return the equal share of one instance.

        :param entitled: entitlement of the caller over all instances.
        :param instances: number of configured entry instances.
        """
        return cls(
            rate_per_s=entitled.rate_per_s / instances,
            burst=entitled.burst / instances,
            loan_s=min(MAX_LOAN_S, entitled.burst_s),
        )


class ShareBucket:
    """Token bucket of one caller and service at one instance.

    Tokens in the bucket plus lent tokens that the borrowers have not yet
    received are at most the burst of the share. Borrowed tokens were
    deducted from the lender's bucket.

    :param share: refill and size.
    :param now: monotonic time at which the bucket is empty.
    """

    def __init__(self, share: RateShare, now: float) -> None:
        self.share = share
        self._settled_at = now
        self._tokens = float(0)
        self._demand_per_s = float(0)
        self._use_per_s = float(0)
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []

    def settle(self, now: float) -> None:
        """Add the refill and borrowed tokens since the last call.

        :param now: monotonic time.
        """
        elapsed = now - self._settled_at
        if elapsed <= 0:
            return
        self._tokens += elapsed * self.share.rate_per_s
        for loan in self._borrowed:
            overlap_s = min(now, loan.ends_at) - self._settled_at
            self._tokens += max(overlap_s, 0) * loan.rate_per_s
        decay = math.exp(-elapsed / DEMAND_WINDOW_S)
        self._demand_per_s *= decay
        self._use_per_s *= decay
        self._settled_at = now
        self._drop_ended_loans(now)

    def try_charge(self, cost: float, now: float) -> bool:
        """Take the tokens of a request if there are enough.

        The request counts as demand in both cases.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        self._demand_per_s += cost / DEMAND_WINDOW_S
        if self._tokens + ROUNDING_TOLERANCE < cost:
            return False
        self._tokens = max(self._tokens - cost, 0)
        self._use_per_s += cost / DEMAND_WINDOW_S
        return True

    def refund(self, cost: float, now: float) -> None:
        """Return the tokens of a request that did not run.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        self._tokens += cost
        self._use_per_s = max(self._use_per_s - cost / DEMAND_WINDOW_S, 0)
        self._cap_tokens(now)

    def wait_s(self, cost: float, now: float) -> float:
        """Return the time in seconds until a request has its tokens.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        missing = max(cost - self._tokens, 0)
        return missing / max(self._inflow_per_s(now), ROUNDING_TOLERANCE)

    def shortfall_per_s(self, now: float) -> float:
        """Return the rate, per second, that share and loans do not cover.

        :param now: monotonic time.
        """
        self.settle(now)
        covered_per_s = self._inflow_per_s(now + RENEW_BEFORE_S)
        return max(self._demand_per_s * DEMAND_FACTOR - covered_per_s, 0)

    def lend(self, wanted_per_s: float, now: float) -> Loan | None:
        """Deduct a loan and return it, if there are unused tokens.

        :param wanted_per_s: tokens per second that the borrower lacks.
        :param now: monotonic time.
        """
        self.settle(now)
        share = self.share
        reserve = max(
            share.burst * RESERVE_FRACTION, self._use_per_s * RESERVE_USE_S
        )
        rate = min(wanted_per_s, (self._tokens - reserve) / share.loan_s)
        if self._use_per_s >= share.rate_per_s or rate <= ROUNDING_TOLERANCE:
            return None
        loan = Loan(rate, now + share.loan_s)
        self._tokens -= rate * share.loan_s
        self._lent.append(loan)
        return loan

    def borrow(self, loan: Loan, lender: RateShare, now: float) -> None:
        """Add a loan from another instance.

        :param loan: the loan, with its end on the clock of this instance.
        :param lender: the lender's share; its configuration may have another
            version than the one in force here.
        :param now: monotonic time.
        """
        self.settle(now)
        self._borrowed.append(_scaled_loan(loan, lender, self.share, now))

    def replace_share(self, share: RateShare, now: float) -> None:
        """Apply a new share from now on.

        :param share: the new share.
        :param now: monotonic time.
        """
        self.settle(now)
        self._borrowed = [
            _scaled_loan(loan, self.share, share, now)
            for loan in self._borrowed
        ]
        self.share = share
        self._cap_tokens(now)

    def is_idle(self, now: float) -> bool:
        """Tell whether the bucket is full and without loans.

        :param now: monotonic time.
        """
        self.settle(now)
        full = self._tokens + ROUNDING_TOLERANCE >= self.share.burst
        return full and not self._lent and not self._borrowed

    def _inflow_per_s(self, time: float) -> float:
        return self.share.rate_per_s + sum(
            loan.rate_per_s for loan in self._borrowed if loan.ends_at > time
        )

    def _drop_ended_loans(self, now: float) -> None:
        self._lent = [loan for loan in self._lent if loan.ends_at > now]
        self._borrowed = [loan for loan in self._borrowed if loan.ends_at > now]
        self._cap_tokens(now)

    def _cap_tokens(self, now: float) -> None:
        lent_tokens = sum(
            loan.rate_per_s * (loan.ends_at - now) for loan in self._lent
        )
        max_tokens = max(self.share.burst - lent_tokens, 0)
        self._tokens = min(self._tokens, max_tokens)


def _scaled_loan(
    loan: Loan, before: RateShare, after: RateShare, now: float
) -> Loan:
    """Return a loan that was made under one share, scaled to another.

    It shrinks with the rate or the burst and lasts at most as long as a new
    loan, so that it fits into the new burst at once. It never grows.
    """
    scale = min(
        after.rate_per_s / max(before.rate_per_s, ROUNDING_TOLERANCE),
        after.burst / max(before.burst, ROUNDING_TOLERANCE),
        1,
    )
    return Loan(
        loan.rate_per_s * scale,
        min(loan.ends_at, now + after.loan_s),
    )


class RateLimiter:
    """Rate limits of all callers at one instance.

    :param clock: time source.
    :param in_force: configuration in force.
    :param instances: number of configured entry instances.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: ConfigInForce,
        instances: int,
    ) -> None:
        self._clock = clock
        self._instances = instances
        self._buckets: dict[CallerService, ShareBucket] = {}
        self._entitled_since: dict[CallerService, float] = {}
        self.entitlements = Entitlements({})
        in_force.subscribe(self._on_change)

    def try_charge(self, caller: str, service: str, cost: float) -> bool:
        """Take the tokens of a request if there are enough.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return bucket is not None and bucket.try_charge(cost, self._clock.now())

    def refund(self, caller: str, service: str, cost: float) -> None:
        """Return the tokens of a request that did not run.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        if bucket is not None:
            bucket.refund(cost, self._clock.now())

    def wait_s(self, caller: str, service: str, cost: float) -> float:
        """Return the time in seconds until a retry would have its tokens.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return bucket.wait_s(cost, self._clock.now()) if bucket else 0

    def fits(self, caller: str, service: str, cost: float) -> bool:
        """Tell whether the burst share of this instance covers a request.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return (
            bucket is not None
            and cost <= bucket.share.burst + ROUNDING_TOLERANCE
        )

    def shortfalls(self) -> Iterator[tuple[CallerService, float]]:
        """Return callers and services short of tokens, and the missing rate."""
        now = self._clock.now()
        for pair, bucket in self._buckets.items():
            wanted_per_s = bucket.shortfall_per_s(now)
            if wanted_per_s > ROUNDING_TOLERANCE:
                yield pair, wanted_per_s

    def bucket(self, pair: CallerService) -> ShareBucket | None:
        """Return the bucket of a caller and service; None if not entitled.

        :param pair: the caller and the service.
        """
        bucket = self._buckets.get(pair)
        if bucket is not None:
            return bucket
        entitled = self.entitlements.by_caller_service.get(pair)
        if entitled is None:
            return None
        if len(self._buckets) >= MAX_BUCKETS_WITH_IDLE:
            self._drop_idle_buckets()
        share = RateShare.from_entitlement(entitled, self._instances)
        # The bucket counts as empty at the time when the pair became
        # entitled, at the earliest the start of the process. A restart
        # therefore cannot spend the burst a second time.
        bucket = ShareBucket(share, self._entitled_since[pair])
        self._buckets[pair] = bucket
        return bucket

    def __len__(self) -> int:
        """Return the number of buckets in memory."""
        return len(self._buckets)

    def _drop_idle_buckets(self) -> None:
        # A dropped bucket is full, and so is the bucket that replaces it:
        # the pair has been entitled for longer than its burst takes to
        # fill.
        now = self._clock.now()
        self._buckets = {
            pair: bucket
            for pair, bucket in self._buckets.items()
            if not bucket.is_idle(now)
        }

    def _on_change(self, cfg: Configuration) -> None:
        now = self._clock.now()
        before = self.entitlements.by_caller_service
        after = Entitlements.from_config(cfg)
        for pair, entitled in after.by_caller_service.items():
            old = before.get(pair)
            if old is None:
                self._entitled_since[pair] = now
            elif old != entitled:
                self._replace_share(pair, entitled, now)
        for pair in before.keys() - after.by_caller_service.keys():
            self._buckets.pop(pair, None)
            self._entitled_since.pop(pair)
        self.entitlements = after

    def _replace_share(
        self, pair: CallerService, entitled: Entitlement, now: float
    ) -> None:
        bucket = self.bucket(pair)
        if bucket is not None:
            share = RateShare.from_entitlement(entitled, self._instances)
            bucket.replace_share(share, now)

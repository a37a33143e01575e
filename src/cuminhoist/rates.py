"""Rates of callers, divided into fixed shares of the entry instances."""

import math
from collections.abc import Iterator
from typing import Self

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .entitlements import CallerService, Entitlement, Entitlements

#: Upper bound of the duration of a loan; the burst of the plan is another.
MAX_LOAN_S = 2.0
#: Demand is measured over about this time.
DEMAND_S = 1.0
#: Share of the burst that a lender keeps, so that its own next request
#: does not wait for the refill.
KEPT_PART = 0.05
#: A lender keeps its own use of this time.
KEPT_USE_S = 1.0
#: Loans that end within this time are replaced.
RENEW_S = 0.5
#: Part of the measured demand to cover, since arrivals are uneven.
HEADROOM = 1.1
#: Rounding errors of sums of floats must not cost a whole request.
ROUNDING = 1e-9
#: Full buckets are dropped when there are more than this number.
MAX_IDLE_BUCKETS = 1024


class Loan(msgspec.Struct, frozen=True):
    """Tokens that are paid out evenly until the loan ends.

    :param rate_per_s: tokens a second.
    :param ends_at: monotonic time of the end, at the holder of this record.
    """

    rate_per_s: float
    ends_at: float


class RateShare(msgspec.Struct, frozen=True):
    """The part of an entitlement that one instance has.

    :param rate_per_s: refill in tokens a second.
    :param burst: most tokens that the bucket holds.
    :param loan_s: duration of loans. It is at most the time in which an
        empty bucket fills: an instance that restarts and has forgotten its
        loans then never has more than its share (see the decision note).
    """

    rate_per_s: float
    burst: float
    loan_s: float = msgspec.field(name='lease_s')

    @classmethod
    def from_entitlement(cls, entitled: Entitlement, instances: int) -> Self:
        """Return the equal share of one of several instances.

        :param entitled: what the caller may use over all instances.
        :param instances: number of configured entry instances.
        """
        return cls(
            rate_per_s=entitled.rate_per_s / instances,
            burst=entitled.burst / instances,
            loan_s=min(MAX_LOAN_S, entitled.burst_s),
        )


class ShareBucket:
    """Token bucket of one caller and service at one instance.

    What the bucket holds plus what it has lent out is at most the burst
    share, and what it borrowed was taken from the lender's bucket.

    :param share: refill and size.
    :param now: monotonic time at which the bucket is empty.
    """

    def __init__(self, share: RateShare, now: float) -> None:
        self.share = share
        self._at = now
        self._tokens = float(0)
        self._demand = float(0)
        self._use = float(0)
        self._lent: list[Loan] = []
        self._borrowed: list[Loan] = []

    def settle(self, now: float) -> None:
        """Add what was refilled and paid out since the last call.

        :param now: monotonic time.
        """
        elapsed = now - self._at
        if elapsed <= 0:
            return
        self._tokens += elapsed * self.share.rate_per_s
        for loan in self._borrowed:
            paid_s = min(now, loan.ends_at) - self._at
            self._tokens += max(paid_s, 0) * loan.rate_per_s
        fade = math.exp(-elapsed / DEMAND_S)
        self._demand *= fade
        self._use *= fade
        self._at = now
        self._end_loans(now)

    def take(self, cost: float, now: float) -> bool:
        """Take the tokens of a request if there are enough.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        self._demand += cost / DEMAND_S
        if self._tokens + ROUNDING < cost:
            return False
        self._tokens = max(self._tokens - cost, 0)
        self._use += cost / DEMAND_S
        return True

    def give_back(self, cost: float, now: float) -> None:
        """Return the tokens of a request that did not run.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        self._tokens += cost
        self._use = max(self._use - cost / DEMAND_S, 0)
        self._clip(now)

    def wait_s(self, cost: float, now: float) -> float:
        """Return the time until the tokens of a request are there.

        :param cost: weight of the request.
        :param now: monotonic time.
        """
        self.settle(now)
        missing = max(cost - self._tokens, 0)
        return missing / max(self._income(now), ROUNDING)

    def wanted_per_s(self, now: float) -> float:
        """Return the rate that own share and loans do not cover.

        :param now: monotonic time.
        """
        self.settle(now)
        lasting = self._income(now + RENEW_S)
        return max(self._demand * HEADROOM - lasting, 0)

    def lend(self, wanted_per_s: float, now: float) -> Loan | None:
        """Deduct a loan and return it, if there are tokens to spare.

        :param wanted_per_s: tokens a second that the borrower lacks.
        :param now: monotonic time.
        """
        self.settle(now)
        share = self.share
        kept = max(share.burst * KEPT_PART, self._use * KEPT_USE_S)
        rate = min(wanted_per_s, (self._tokens - kept) / share.loan_s)
        if self._use >= share.rate_per_s or rate <= ROUNDING:
            return None
        loan = Loan(rate, now + share.loan_s)
        self._tokens -= rate * share.loan_s
        self._lent.append(loan)
        return loan

    def borrow(self, loan: Loan, lender: RateShare, now: float) -> None:
        """Add a loan.

        :param loan: the loan, with its end on the clock of this instance.
        :param lender: the lender's share, perhaps of another version of
            the configuration.
        :param now: monotonic time.
        """
        self.settle(now)
        self._borrowed.append(_fitted(loan, lender, self.share, now))

    def change(self, share: RateShare, now: float) -> None:
        """Take another share from now on.

        :param share: the new share.
        :param now: monotonic time.
        """
        self.settle(now)
        self._borrowed = [
            _fitted(loan, self.share, share, now) for loan in self._borrowed
        ]
        self.share = share
        self._clip(now)

    def is_idle(self, now: float) -> bool:
        """Tell whether the bucket is full and without loans.

        :param now: monotonic time.
        """
        self.settle(now)
        full = self._tokens + ROUNDING >= self.share.burst
        return full and not self._lent and not self._borrowed

    def _income(self, at: float) -> float:
        return self.share.rate_per_s + sum(
            loan.rate_per_s for loan in self._borrowed if loan.ends_at > at
        )

    def _end_loans(self, now: float) -> None:
        self._lent = [loan for loan in self._lent if loan.ends_at > now]
        self._borrowed = [loan for loan in self._borrowed if loan.ends_at > now]
        self._clip(now)

    def _clip(self, now: float) -> None:
        unpaid = sum(
            loan.rate_per_s * (loan.ends_at - now) for loan in self._lent
        )
        room = max(self.share.burst - unpaid, 0)
        self._tokens = min(self._tokens, room)


def _fitted(
    loan: Loan, before: RateShare, after: RateShare, now: float
) -> Loan:
    """Return a loan under one share as it is under another.

    It shrinks with the rate or the burst, and lasts at most as long as a
    new loan, so that it fits into the new burst at once. It never grows.
    """
    scale = min(
        after.rate_per_s / max(before.rate_per_s, ROUNDING),
        after.burst / max(before.burst, ROUNDING),
        1,
    )
    return Loan(
        loan.rate_per_s * scale,
        min(loan.ends_at, now + after.loan_s),
    )


class RateLimiter:
    """Rates of all callers at one instance.

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
        self._since: dict[CallerService, float] = {}
        self.entitlements = Entitlements({})
        in_force.subscribe(self._on_change)

    def try_charge(self, caller: str, service: str, cost: float) -> bool:
        """Take the tokens of a request if there are enough.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return bucket is not None and bucket.take(cost, self._clock.now())

    def refund(self, caller: str, service: str, cost: float) -> None:
        """Return the tokens of a request that did not run.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        if bucket is not None:
            bucket.give_back(cost, self._clock.now())

    def wait_s(self, caller: str, service: str, cost: float) -> float:
        """Return the time until a request may come again.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return bucket.wait_s(cost, self._clock.now()) if bucket else 0

    def fits(self, caller: str, service: str, cost: float) -> bool:
        """Tell whether a request can ever be admitted by this instance.

        :param caller: name of the caller.
        :param service: name of the service.
        :param cost: weight of the request's kind.
        """
        bucket = self.bucket((caller, service))
        return bucket is not None and cost <= bucket.share.burst + ROUNDING

    def wanted(self) -> Iterator[tuple[CallerService, float]]:
        """Return the pairs that run short, with the rate they lack."""
        now = self._clock.now()
        for pair, bucket in self._buckets.items():
            wanted_per_s = bucket.wanted_per_s(now)
            if wanted_per_s > ROUNDING:
                yield pair, wanted_per_s

    def bucket(self, pair: CallerService) -> ShareBucket | None:
        """Return the bucket of a caller and service that are entitled.

        :param pair: the caller and the service.
        """
        bucket = self._buckets.get(pair)
        if bucket is not None:
            return bucket
        entitled = self.entitlements.by_caller_service.get(pair)
        if entitled is None:
            return None
        if len(self._buckets) >= MAX_IDLE_BUCKETS:
            self._drop_idle()
        share = RateShare.from_entitlement(entitled, self._instances)
        # The bucket was empty when the pair became entitled, which is at
        # the start of the process at the earliest. A restart therefore
        # cannot spend the burst a second time.
        bucket = ShareBucket(share, self._since[pair])
        self._buckets[pair] = bucket
        return bucket

    def __len__(self) -> int:
        """Return the number of buckets in memory."""
        return len(self._buckets)

    def _drop_idle(self) -> None:
        # A dropped bucket is full, and so is the one that replaces it:
        # the pair has been entitled for longer than its burst takes.
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
                self._since[pair] = now
            elif old != entitled:
                self._change(pair, entitled, now)
        for gone in before.keys() - after.by_caller_service.keys():
            self._buckets.pop(gone, None)
            self._since.pop(gone)
        self.entitlements = after

    def _change(
        self, pair: CallerService, entitled: Entitlement, now: float
    ) -> None:
        bucket = self.bucket(pair)
        if bucket is not None:
            share = RateShare.from_entitlement(entitled, self._instances)
            bucket.change(share, now)

"""Counts the outcome of every request of one instance.

Other instances read the accounts as snapshots. The names that callers send are
not trusted: those that are not configured are counted under one name, and the
number of reasons is bounded, so that the accounts need bounded memory.
"""

from hdrh.histogram import HdrHistogram

from .account_records import (
    AccountLine,
    AccountSnapshot,
    AccountSource,
    LatencyLine,
    OpenedLine,
    Outcome,
    PromiseLine,
)
from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .entitlements import CallerService, Entitlements
from .exceptions import InvariantError
from .settings import Topology

#: Callers, services and kinds that are not configured are counted under this
#: name, so that arbitrary names in requests do not use memory.
OTHER_NAME = '(other)'
#: Latency is recorded in units of 0.1 ms, up to ten minutes, with 2
#: significant digits.
LATENCY_UNITS_PER_S = 10_000
MAX_LATENCY_UNITS = 600 * LATENCY_UNITS_PER_S
LATENCY_SIGNIFICANT_DIGITS = 2
#: Further reasons are counted under OTHER_NAME.
MAX_REASONS = 64


_LineKey = tuple[str, str, str, Outcome, str]


class _LineSum:
    """Number and total weight of the requests of one line."""

    __slots__ = ('count', 'weight')

    def __init__(self) -> None:
        self.count = 0
        self.weight = float(0)


class OpenRequest:
    """A request whose outcome is counted once.

    :param accounts: accounts that count it.
    :param names: caller, service and kind.
    :param weight: weight of the request's kind.
    :param opened_at: monotonic time of its arrival.
    """

    __slots__ = ('_accounts', 'is_open', 'names', 'opened_at', 'weight')

    def __init__(
        self,
        accounts: 'RequestAccounts',
        names: tuple[str, str, str],
        weight: float,
        opened_at: float,
    ) -> None:
        self._accounts = accounts
        self.names = names
        self.weight = weight
        self.opened_at = opened_at
        self.is_open = True

    def record_outcome(self, outcome: Outcome, reason: str = '') -> bool:
        """Count the outcome; calls after the first are ignored.

        :param outcome: how the request ended.
        :param reason: why it was refused or is unknown.
        :returns: whether the outcome was counted.
        """
        if not self.is_open:
            return False
        self.is_open = False
        self._accounts.on_closed(self, outcome, reason)
        return True


class RequestAccounts(AccountSource):
    """Counts the requests of one instance.

    :param clock: source of time.
    :param topology: services and kinds that are counted under their own names.
    :param in_force: callers that are counted under their own names, and the
        rates that their plans promise.
    :param instance: name of this instance.
    :param incarnation: identity of this process.
    """

    def __init__(
        self,
        clock: Clock,
        topology: Topology,
        in_force: ConfigInForce,
        instance: str,
        incarnation: str,
    ) -> None:
        self._clock = clock
        self._identity = (instance, incarnation)
        self._entry_count = max(len(topology.entry_instances()), 1)
        self._kinds = {
            (service.name, kind.name)
            for service in topology.services
            for kind in service.kinds
        }
        self._callers: frozenset[str] = frozenset()
        self._sums: dict[_LineKey, _LineSum] = {}
        self._reasons: set[str] = set()
        self._latencies: dict[CallerService, HdrHistogram] = {}
        self._open_count = 0
        self._opened_counts: dict[CallerService, int] = {}
        self._promised = _PromisedWeights(clock.now())
        in_force.subscribe(self._on_configuration)

    def open_request(
        self,
        caller: str,
        service: str,
        kind: str,
        weight: float = 1,
    ) -> OpenRequest:
        """Count a request that has arrived, and return it as open.

        :param caller: name of the caller, as given in the request.
        :param service: name of the service, as given in the request.
        :param kind: kind of the request, as given in the request.
        :param weight: weight of the kind.
        """
        if caller not in self._callers:
            caller = OTHER_NAME
        if (service, kind) not in self._kinds:
            service = OTHER_NAME
            kind = OTHER_NAME
        self._open_count += 1
        pair = (caller, service)
        self._opened_counts[pair] = self._opened_counts.get(pair, 0) + 1
        names = (caller, service, kind)
        return OpenRequest(self, names, weight, self._clock.now())

    def open_request_count(self) -> int:
        """Return the number of requests without an outcome yet."""
        return self._open_count

    def on_closed(
        self, request: OpenRequest, outcome: Outcome, reason: str
    ) -> None:
        """Count the outcome of an open request.

        :param request: the request.
        :param outcome: how the request ended.
        :param reason: why it was refused or is unknown.
        """
        self._open_count -= 1
        if self._open_count < 0:
            raise InvariantError('more requests closed than opened')
        key = (*request.names, outcome, self._bounded_reason(reason))
        line = self._sums.get(key)
        if line is None:
            line = _LineSum()
            self._sums[key] = line
        line.count += 1
        line.weight += request.weight
        if outcome == Outcome.answered:
            latency_s = self._clock.now() - request.opened_at
            self._record_latency(request.names[1:], latency_s)

    def latency_ms(self, service: str, kind: str, percentile: float) -> float:
        """Return a latency percentile of answered requests, 0 without any.

        :param service: name of the service.
        :param kind: kind of request.
        :param percentile: from 0 to 100.
        """
        histogram = self._latencies.get((service, kind))
        if histogram is None:
            return 0
        units: int = histogram.get_value_at_percentile(percentile)
        return units * 1000 / LATENCY_UNITS_PER_S

    def snapshot(self) -> AccountSnapshot:
        """Return a copy of all accounts."""
        instance, incarnation = self._identity
        return AccountSnapshot(
            instance=instance,
            incarnation=incarnation,
            lines=tuple(
                AccountLine(*key, line.count, line.weight)
                for key, line in self._sums.items()
            ),
            opened=tuple(
                OpenedLine(*pair, count)
                for pair, count in self._opened_counts.items()
            ),
            promises=self._promised.lines(self._clock.now()),
            latencies=tuple(
                LatencyLine(service, kind, histogram.encode())
                for (service, kind), histogram in self._latencies.items()
            ),
            open_tickets=self._open_count,
        )

    def _bounded_reason(self, reason: str) -> str:
        if reason not in self._reasons:
            if len(self._reasons) >= MAX_REASONS:
                return OTHER_NAME
            self._reasons.add(reason)
        return reason

    def _record_latency(self, pair: CallerService, latency_s: float) -> None:
        histogram = self._latencies.get(pair)
        if histogram is None:
            histogram = HdrHistogram(
                1, MAX_LATENCY_UNITS, LATENCY_SIGNIFICANT_DIGITS
            )
            self._latencies[pair] = histogram
        units = int(latency_s * LATENCY_UNITS_PER_S)
        histogram.record_value(min(max(units, 1), MAX_LATENCY_UNITS))

    def _on_configuration(self, cfg: Configuration) -> None:
        # Lines of removed callers are kept, since the accounts only grow.
        self._callers = frozenset(caller.name for caller in cfg.plans.callers)
        self._promised.switch_rates(
            Entitlements.from_config(cfg),
            self._entry_count,
            self._clock.now(),
        )


class _PromisedWeights:
    """Integrates the instance's share of promised rates over time."""

    def __init__(self, now: float) -> None:
        self._settled_at = now
        self._rates: dict[CallerService, float] = {}
        self._weights: dict[CallerService, float] = {}

    def switch_rates(
        self, entitlements: Entitlements, entry_count: int, now: float
    ) -> None:
        self._accrue(now)
        self._rates = {
            pair: entitled.rate_per_s / entry_count
            for pair, entitled in entitlements.by_caller_service.items()
        }

    def lines(self, now: float) -> tuple[PromiseLine, ...]:
        self._accrue(now)
        return tuple(
            PromiseLine(caller, service, weight)
            for (caller, service), weight in self._weights.items()
        )

    def _accrue(self, now: float) -> None:
        elapsed = now - self._settled_at
        self._settled_at = now
        for pair, rate_per_s in self._rates.items():
            weight = self._weights.get(pair, 0)
            self._weights[pair] = weight + rate_per_s * elapsed

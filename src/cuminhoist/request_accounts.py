"""Accounts of what became of every request."""

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

#: Callers, services and kinds that are not listed share this name, so
#: that invented names do not use memory.
OTHER_NAME = '(other)'
#: Latency is counted in steps of 0.1 ms up to ten minutes, to 2 digits.
LATENCY_UNITS_PER_S = 10_000
MAX_LATENCY_UNITS = 600 * LATENCY_UNITS_PER_S
LATENCY_DIGITS = 2
MAX_REASONS = 64


_LineKey = tuple[str, str, str, Outcome, str]


class _Sum:
    """Count and weight of one line."""

    __slots__ = ('count', 'weight')

    def __init__(self) -> None:
        self.count = 0
        self.weight = float(0)


class OpenRequest:
    """A request that has no outcome yet.

    :param accounts: where it is counted.
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
        """Count the outcome; only the first call counts.

        :param outcome: how the request ended.
        :param reason: why it was refused or is unknown.
        :returns: whether this call counted.
        """
        if not self.is_open:
            return False
        self.is_open = False
        self._accounts.on_closed(self, outcome, reason)
        return True


class RequestAccounts(AccountSource):
    """Counts the requests of one instance.

    :param clock: time source.
    :param topology: services and kinds with accounts of their own.
    :param in_force: callers with accounts of their own, and promises.
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
        self._instances = max(len(topology.entry_instances()), 1)
        self._kinds = {
            (service.name, kind.name)
            for service in topology.services
            for kind in service.kinds
        }
        self._callers: frozenset[str] = frozenset()
        self._sums: dict[_LineKey, _Sum] = {}
        self._reasons: set[str] = set()
        self._latencies: dict[CallerService, HdrHistogram] = {}
        self._open = 0
        self._opened: dict[CallerService, int] = {}
        self._promises = _Promises(clock.now())
        in_force.subscribe(self._on_change)

    def open_request(
        self,
        caller: str,
        service: str,
        kind: str,
        weight: float = 1,
    ) -> OpenRequest:
        """Return the ticket of a request that has arrived.

        :param caller: name of the caller, as the request says.
        :param service: name of the service, as the request says.
        :param kind: kind of the request, as it says.
        :param weight: weight of the kind.
        """
        if caller not in self._callers:
            caller = OTHER_NAME
        if (service, kind) not in self._kinds:
            service = OTHER_NAME
            kind = OTHER_NAME
        self._open += 1
        pair = (caller, service)
        self._opened[pair] = self._opened.get(pair, 0) + 1
        names = (caller, service, kind)
        return OpenRequest(self, names, weight, self._clock.now())

    def open_request_count(self) -> int:
        """Return how many requests have no outcome yet."""
        return self._open

    def on_closed(
        self, ticket: OpenRequest, outcome: Outcome, reason: str
    ) -> None:
        """Count a ticket that was closed.

        :param ticket: the ticket.
        :param outcome: how the request ended.
        :param reason: why it was refused or is unknown.
        """
        self._open -= 1
        if self._open < 0:
            raise InvariantError('more tickets closed than opened')
        key = (*ticket.names, outcome, self._known_reason(reason))
        line = self._sums.get(key)
        if line is None:
            line = _Sum()
            self._sums[key] = line
        line.count += 1
        line.weight += ticket.weight
        if outcome == Outcome.answered:
            latency_s = self._clock.now() - ticket.opened_at
            self._record(ticket.names[1:], latency_s)

    def latency_ms(self, service: str, kind: str, percentile: float) -> float:
        """Return a percentile of the latency of answered requests.

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
        """Return all accounts as they stand."""
        instance, incarnation = self._identity
        return AccountSnapshot(
            instance=instance,
            incarnation=incarnation,
            lines=tuple(
                AccountLine(*key, line.count, line.weight)
                for key, line in self._sums.items()
            ),
            opened=tuple(
                OpenedLine(*pair, count) for pair, count in self._opened.items()
            ),
            promises=self._promises.lines(self._clock.now()),
            latencies=tuple(
                LatencyLine(service, kind, histogram.encode())
                for (service, kind), histogram in self._latencies.items()
            ),
            open_tickets=self._open,
        )

    def _known_reason(self, reason: str) -> str:
        if reason not in self._reasons:
            if len(self._reasons) >= MAX_REASONS:
                return OTHER_NAME
            self._reasons.add(reason)
        return reason

    def _record(self, pair: CallerService, latency_s: float) -> None:
        histogram = self._latencies.get(pair)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_UNITS, LATENCY_DIGITS)
            self._latencies[pair] = histogram
        units = int(latency_s * LATENCY_UNITS_PER_S)
        histogram.record_value(min(max(units, 1), MAX_LATENCY_UNITS))

    def _on_change(self, cfg: Configuration) -> None:
        # Lines of callers that were removed stay: figures only grow.
        self._callers = frozenset(caller.name for caller in cfg.plans.callers)
        self._promises.change(
            Entitlements.from_config(cfg),
            self._instances,
            self._clock.now(),
        )


class _Promises:
    """Integrates the rate shares of callers over time."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._rates: dict[CallerService, float] = {}
        self._weights: dict[CallerService, float] = {}

    def change(self, after: Entitlements, instances: int, now: float) -> None:
        self._settle(now)
        self._rates = {
            pair: entitled.rate_per_s / instances
            for pair, entitled in after.by_caller_service.items()
        }

    def lines(self, now: float) -> tuple[PromiseLine, ...]:
        self._settle(now)
        return tuple(
            PromiseLine(caller, service, weight)
            for (caller, service), weight in self._weights.items()
        )

    def _settle(self, now: float) -> None:
        elapsed = now - self._at
        self._at = now
        for pair, rate_per_s in self._rates.items():
            before = self._weights.get(pair, 0)
            self._weights[pair] = before + rate_per_s * elapsed

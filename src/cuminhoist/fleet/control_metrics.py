"""Counters and histograms of a control instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

#: Upper bounds of the histogram of decisions, in seconds; the time of one is
#: to stay below 100 us.
DECISION_BUCKETS_S = (
    0.00002,
    0.00005,
    0.0001,
    0.0002,
    0.0005,
    0.001,
    0.002,
    0.005,
    0.02,
)
#: Upper bounds of the histogram of orders, in seconds; an order is to be
#: acknowledged within 4 s.
ORDER_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8)


class ControlMetrics:
    """Counts decisions, orders and links."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.decisions = Counter(
            'cuminhoist_decisions',
            'First decisions on asks by service and outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.decision_time = Histogram(
            'cuminhoist_decision_seconds',
            'Time that the decision on an ask took.',
            buckets=DECISION_BUCKETS_S,
            registry=self.registry,
        )
        self.orders = Counter(
            'cuminhoist_orders',
            'Orders of operators by kind and outcome.',
            ('kind', 'outcome'),
            registry=self.registry,
        )
        self.order_time = Histogram(
            'cuminhoist_order_seconds',
            'Time from the arrival of an order to its outcome.',
            ('kind',),
            buckets=ORDER_BUCKETS_S,
            registry=self.registry,
        )
        self.state_gauge = Gauge(
            'cuminhoist_belief',
            'Versions, ages and numbers of what decisions use.',
            ('name',),
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return everything in the exposition format."""
        return generate_latest(self.registry)

"""Prometheus metrics of a control instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

#: Bucket bounds of the decision time, in seconds; a decision should take
#: less than 100 us.
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
#: Bucket bounds of the order time, in seconds; an order should be
#: acknowledged within 4 s.
ORDER_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8)


class LearnedLimitMetrics:
    """Metrics of the learned limits of targets.

    :param registry: registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.quantiles = Gauge(
            'cuminhoist_learned_limit_ratio',
            'Learned limits of the targets as a fraction of their slots, by '
            'service and quantile.',
            ('service', 'quantile'),
            registry=registry,
        )
        self.limited_targets = Gauge(
            'cuminhoist_limited_targets',
            'Targets with a learned limit below their slots, by service.',
            ('service',),
            registry=registry,
        )
        self.lowest = Gauge(
            'cuminhoist_lowest_limit_ratio',
            'The lowest learned limits of each service as a fraction of the '
            'slots, by target.',
            ('service', 'target'),
            registry=registry,
        )


class QueueMetrics:
    """Metrics of the requests that wait for a slot or are refused.

    :param registry: registry of the metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.refusals = Counter(
            'cuminhoist_placement_refusals',
            'Refused placement requests by service, reason and priority.',
            ('service', 'reason', 'priority'),
            registry=registry,
        )
        self.displaced = Counter(
            'cuminhoist_displaced_requests',
            'Waiting requests that were refused, by service and priority.',
            ('service', 'priority'),
            registry=registry,
        )
        self.waiting = Gauge(
            'cuminhoist_waiting_requests',
            'Requests that wait for a slot, by service and priority.',
            ('service', 'priority'),
            registry=registry,
        )


class ControlMetrics:
    """Metrics for decisions, orders and the state that decisions use."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.decisions = Counter(
            'cuminhoist_decisions',
            'First decisions on placement requests by service and outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.queues = QueueMetrics(self.registry)
        self.decision_time = Histogram(
            'cuminhoist_decision_seconds',
            'Time to decide on a placement request.',
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
        self.leaving_notices = Counter(
            'cuminhoist_leaving_notices',
            'New notices of leaving targets by kind of the sending instance.',
            ('source',),
            registry=self.registry,
        )
        self.limit_changes = Counter(
            'cuminhoist_limit_changes',
            'Changes of the limits that targets name, by source.',
            ('source',),
            registry=self.registry,
        )
        self.target_ends = Counter(
            'cuminhoist_target_ends',
            'Ends of targets under requests, by kind of the sending instance.',
            ('source',),
            registry=self.registry,
        )
        self.changed_region = Gauge(
            'cuminhoist_changed_region_ratio',
            'Fraction of the requests of this region that changed the region '
            'in which they run from one window of 2 s to the next.',
            registry=self.registry,
        )
        self.allowance_requests = Counter(
            'cuminhoist_allowance_requests',
            'Requests of workspaces with a limit, by outcome.',
            ('workspace', 'outcome'),
            registry=self.registry,
        )
        self.allowance_share = Gauge(
            'cuminhoist_allowance_share_ratio',
            'Share of this region in the allowances of the busiest workspaces.',
            ('workspace',),
            registry=self.registry,
        )
        self.learned_limits = LearnedLimitMetrics(self.registry)
        self.state_gauge = Gauge(
            'cuminhoist_belief',
            'Versions, ages and sizes of the state that decisions use.',
            ('name',),
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)

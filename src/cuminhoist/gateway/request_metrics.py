"""Metrics of an entry instance, and the log line of each request."""

import functools

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from ..caller_memory import CallerMemory, Purpose
from ..logging_setup import logger
from ..types import Reason
from .busiest_names import BusiestNames

#: Upper bounds of the latency histograms, in seconds; objectives lie between
#: 0.2 and 1 s, timeouts between 1 and 7 s.
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.25,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    4.0,
    8.0,
)

_log = logger('request')


class RequestMetrics:
    """Metrics of requests, attempts and the state that decisions use."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            'cuminhoist_requests',
            'Requests by service and outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.workspace_requests = Counter(
            'cuminhoist_workspace_requests',
            'Requests by workspace and kind of outcome, for the busiest '
            'workspaces; the others are counted together.',
            ('workspace', 'outcome'),
            registry=self.registry,
        )
        self._busiest = BusiestNames()
        self.attempts = Counter(
            'cuminhoist_attempts',
            'Attempts at targets by service and ending.',
            ('service', 'ending'),
            registry=self.registry,
        )
        self.withdrawn = Counter(
            'cuminhoist_withdrawn_requests',
            'Requests withdrawn before they were answered, by cause and by '
            'whether they had been sent to a target or another instance.',
            ('service', 'cause', 'sent'),
            registry=self.registry,
        )
        self.pauses = Counter(
            'cuminhoist_target_pauses',
            'Pauses that targets asked for, by service and outcome.',
            ('service', 'outcome'),
            registry=self.registry,
        )
        self.odd_loads = Counter(
            'cuminhoist_invalid_load_headers',
            'Load headers of targets that could not be parsed, by service.',
            ('service',),
            registry=self.registry,
        )
        self.leaving_notices = Counter(
            'cuminhoist_leaving_notices',
            'New notices of leaving targets: from an answer, or from control '
            'instances.',
            ('source',),
            registry=self.registry,
        )
        self.latency = Histogram(
            'cuminhoist_request_seconds',
            'Time from the arrival of a request to its complete answer.',
            ('service',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.waited = Histogram(
            'cuminhoist_wait_seconds',
            'Time that a request waited for a target.',
            ('service',),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.state_gauge = Gauge(
            'cuminhoist_belief',
            'Versions and ages of the state that decisions use.',
            ('name',),
            registry=self.registry,
        )

    def count_workspace(self, name: str, outcome: str) -> None:
        """Count a request of a workspace.

        :param name: name of the workspace.
        :param outcome: how the request ended; its first word counts.
        """
        label = self._busiest.count(name)
        kind = outcome.partition('-')[0]
        self.workspace_requests.labels(label, kind).inc()
        for ended in self._busiest.review():
            self.workspace_requests.remove_by_labels({'workspace': ended})

    def watch_memory(self, memory: CallerMemory) -> None:
        """Report what the process holds for callers.

        :param memory: counts the held bytes.
        """
        held = Gauge(
            'cuminhoist_caller_memory_bytes',
            'Bytes held for callers, by purpose.',
            ('purpose',),
            registry=self.registry,
        )
        for purpose in Purpose:
            held.labels(purpose).set_function(
                functools.partial(memory.held.__getitem__, purpose)
            )
        closed = Gauge(
            'cuminhoist_connections_closed_for_memory',
            'Connections closed since the start because their callers did not '
            'read and memory was short.',
            registry=self.registry,
        )
        closed.set_function(lambda: memory.closed_connections)

    def count_refusal(self, reason: Reason) -> None:
        """Count a request that was refused before it was routed.

        :param reason: why it was refused.
        """
        self.requests.labels('', reason).inc()

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self.registry)


def log_request(**fields: object) -> None:
    """Write the line of one request.

    :param fields: its identity, its attempts and how it ended.
    """
    _log.bind(**fields).info('request')

"""Tells operators which workspaces their allowances limit."""

import heapq

from ..logging_setup import logger
from ..steering.allowances import Allowances, Bucket
from ..steering.region_allowances import RegionAllowances
from .control_metrics import ControlMetrics

#: Workspaces with a share of their own in the metrics, the busiest ones.
SHOWN_SHARES = 20
#: Most workspaces with counters of their own; the rest counts as 'other'.
MAX_COUNTED = 100
#: A workspace counts as limited until it has not been refused for this long,
#: in seconds, so that a steady excess causes one line.
LIMITED_S = 2.0
OTHER = 'other'

_log = logger('allowances')


class AllowanceReport:
    """Records used, refused and share by workspace.

    :param buckets: buckets of the dispatcher.
    :param allowances: shares of its region.
    :param metrics: the metrics.
    """

    def __init__(
        self,
        buckets: Allowances,
        allowances: RegionAllowances,
        metrics: ControlMetrics,
    ) -> None:
        #: Version of the configuration that names the limits.
        self.version = 0
        self._buckets = buckets
        self._allowances = allowances
        self._metrics = metrics
        self._counted: set[str] = set()
        # Used and refused requests at the last record, by workspace.
        self._totals: dict[str, tuple[int, int]] = {}
        self._refused_at: dict[str, float] = {}

    def record(self, now: float) -> None:
        """Record what has changed since the last call.

        :param now: monotonic time in seconds.
        """
        self._forget_unlimited()
        for workspace, bucket in self._buckets:
            totals = (bucket.used, bucket.refused)
            former = self._totals.get(workspace, (0, 0))
            if totals != former:
                self._totals[workspace] = totals
                self._count(workspace, totals, former)
            self._log_change(
                workspace, bucket, now, is_refused=totals[1] > former[1]
            )
        self._record_shares(now)

    def _forget_unlimited(self) -> None:
        """Forget workspaces without a limit; a new bucket counts from 0."""
        for workspace in list(self._totals):
            if self._buckets.find(workspace) is None:
                self._totals.pop(workspace)
                self._refused_at.pop(workspace, None)

    def _count(
        self, workspace: str, totals: tuple[int, int], former: tuple[int, int]
    ) -> None:
        if len(self._counted) < MAX_COUNTED:
            self._counted.add(workspace)
        name = workspace if workspace in self._counted else OTHER
        counter = self._metrics.allowance_requests
        for outcome, total, before in zip(
            ('used', 'refused'), totals, former, strict=True
        ):
            # Refunds lower the number of used requests.
            counter.labels(name, outcome).inc(max(total - before, 0))

    def _record_shares(self, now: float) -> None:
        busiest = heapq.nlargest(
            SHOWN_SHARES,
            self._buckets,
            key=lambda entry: entry[1].demand_per_s(now),
        )
        gauge = self._metrics.allowance_share
        gauge.clear()
        for workspace, _ in busiest:
            gauge.labels(workspace).set(self._allowances.share(workspace))

    def _log_change(
        self, workspace: str, bucket: Bucket, now: float, *, is_refused: bool
    ) -> None:
        if is_refused:
            if workspace not in self._refused_at:
                self._log('workspace limited', workspace, bucket)
            self._refused_at[workspace] = now
        elif now - self._refused_at.get(workspace, now) > LIMITED_S:
            self._refused_at.pop(workspace)
            self._log('workspace no longer limited', workspace, bucket)

    def _log(self, event: str, workspace: str, bucket: Bucket) -> None:
        _log.bind(
            workspace=workspace,
            share=round(self._allowances.share(workspace), 3),
            rate_per_s=round(bucket.size.rate_per_s, 2),
            refused=bucket.refused,
            version=self.version,
        ).info(event)

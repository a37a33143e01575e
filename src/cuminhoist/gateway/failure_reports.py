"""Reports how attempts ended, and failures only if a target is at fault.

A dispatcher ejects a target for all instances once attempts at it fail. The
failures of an instance that reaches no target at all are no evidence for that.
"""

import asyncio

import msgspec

from ..steering.decisions import AttemptReport, Ending
from .attempt import AttemptOutcome
from .placement_client import PlacementClient
from .reachability import TargetReachability


class FailureReports:
    """Sends attempt reports, those of failed connections after a check.

    :param reachability: tells whether this instance reaches targets.
    :param placement_client: sends the reports.
    """

    def __init__(
        self,
        reachability: TargetReachability,
        placement_client: PlacementClient,
    ) -> None:
        self._reachability = reachability
        self._placement_client = placement_client
        self._checks: set[asyncio.Task[None]] = set()

    def send(self, report: AttemptReport, outcome: AttemptOutcome) -> None:
        """Send a report, at once or after a check of the targets.

        :param report: the report.
        :param outcome: outcome of the attempt.
        """
        if not self._is_ambiguous(outcome):
            if outcome.answer is not None or not outcome.may_have_run:
                self._reachability.record_answer()
            self._placement_client.report_attempt_end(report)
            return
        check = asyncio.create_task(self._check_and_send(report))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def _is_ambiguous(self, outcome: AttemptOutcome) -> bool:
        """Tell whether an attempt may have failed by the path to the target."""
        if outcome.limit_per_s is not None:
            # The target has begun to answer.
            return False
        if outcome.ending is Ending.timeout:
            return self._reachability.is_silent
        return outcome.connection_lost or outcome.ending is Ending.unreachable

    async def _check_and_send(self, report: AttemptReport) -> None:
        if not await self._reachability.reaches_targets():
            report = msgspec.structs.replace(report, ending=Ending.withdrawn)
        self._placement_client.report_attempt_end(report)

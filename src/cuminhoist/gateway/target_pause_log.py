"""Counts and logs pauses that targets ask for, and invalid load headers."""

from collections.abc import Callable

from ..logging_setup import logger
from .attempt import AttemptOutcome
from .load_header_log import LoadHeaderLog
from .request_metrics import RequestMetrics

#: Interval between two lines about odd pauses, in seconds. A faulty target
#: sends the same one with each refusal; the metric counts them all.
ODD_PAUSE_LOG_INTERVAL_S = 10.0

_log = logger('pause')


class TargetPauseLog:
    """Counts and logs the pauses of targets for one entry instance.

    Load headers that can't be parsed are logged as well.

    :param metrics: counts the pauses and the headers.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self, metrics: RequestMetrics, now: Callable[[], float]
    ) -> None:
        self._metrics = metrics
        self._now = now
        self._odd_logged_at = float('-inf')
        self._load_headers = LoadHeaderLog(metrics)

    def record(
        self,
        request_id: str,
        service: str,
        target: str,
        outcome: AttemptOutcome,
        *,
        pausing: bool,
    ) -> None:
        """Record the pause and the invalid load of an attempt, if any.

        :param request_id: identity of the request.
        :param service: service of the target.
        :param target: name of the target.
        :param outcome: outcome of the attempt.
        :param pausing: whether the target paused before; only the answer that
            starts a pause is logged.
        """
        self._load_headers.record(request_id, service, target, outcome.odd_load)
        if outcome.odd_pause:
            self._count(service, 'bounded' if outcome.pause_s else 'ignored')
            self._log_odd(request_id, service, target, outcome)
        elif outcome.pause_s:
            self._count(service, 'kept')
        if outcome.pause_s and not pausing:
            log_pause(
                id=request_id,
                service=service,
                target=target,
                pause_s=outcome.pause_s,
            )

    def record_returned_grant(self, service: str) -> None:
        """Count a grant that arrived after the pause of its target began.

        :param service: service of the target.
        """
        self._count(service, 'grant-returned')

    def _count(self, service: str, outcome: str) -> None:
        self._metrics.pauses.labels(service, outcome).inc()

    def _log_odd(
        self,
        request_id: str,
        service: str,
        target: str,
        outcome: AttemptOutcome,
    ) -> None:
        now = self._now()
        if now - self._odd_logged_at < ODD_PAUSE_LOG_INTERVAL_S:
            return
        self._odd_logged_at = now
        log_odd_pause(
            id=request_id,
            service=service,
            target=target,
            text=outcome.odd_pause,
            pause_s=outcome.pause_s,
        )


def log_pause(**fields: object) -> None:
    """Write the line of an answer that starts a pause.

    :param fields: the request, the target and the length of the pause.
    """
    _log.bind(**fields).info('target asks for a pause')


def log_odd_pause(**fields: object) -> None:
    """Write the line of a pause that is ignored or bounded.

    :param fields: the request, the target, the text and what counts of it.
    """
    _log.bind(**fields).warning('pause of a target is out of range')

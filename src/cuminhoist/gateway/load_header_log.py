"""Counts and logs the load headers of targets that can't be parsed."""

import collections

from ..logging_setup import logger
from .request_metrics import RequestMetrics

#: Most targets whose lines are remembered. Beyond it, the target that was
#: logged first is forgotten and may be logged once more.
MAX_LOGGED_TARGETS = 1000

_log = logger('load')


class LoadHeaderLog:
    """Logs the first load header of each target that can't be parsed.

    Load pattern: a faulty target sends the same header with each answer, up
    to hundreds of times a second. The metric counts them all.

    :param metrics: counts the headers.
    """

    def __init__(self, metrics: RequestMetrics) -> None:
        self._metrics = metrics
        self._logged: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record(
        self, request_id: str, service: str, target: str, text: str
    ) -> None:
        """Record a load header that can't be parsed.

        :param request_id: identity of the request.
        :param service: service of the target.
        :param target: name of the target.
        :param text: the header; empty if it was parsed or there is none.
        """
        if not text:
            return
        self._metrics.odd_loads.labels(service).inc()
        if target in self._logged:
            return
        self._logged[target] = None
        if len(self._logged) > MAX_LOGGED_TARGETS:
            self._logged.popitem(last=False)
        log_odd_load(id=request_id, service=service, target=target, text=text)


def log_odd_load(**fields: object) -> None:
    """Write the line of a load header that is ignored.

    :param fields: the request, the target and the text.
    """
    _log.bind(**fields).warning('load header of a target is invalid')

"""Spreads the limits of targets over the fleet.

A target names its limit to the entry instances that it answers. Their
dispatcher learns it from attempt reports, tells all control instances, and
these tell their subscribers.
"""

from ..logging_setup import logger
from ..steering.dispatcher import Dispatcher
from ..steering.target_limits import TargetLimit
from .control_links import ControlLinks
from .control_metrics import ControlMetrics
from .link import Link
from .messages import LimitsNotice
from .peer import Peer

_log = logger('targets')


class LimitBroadcast:
    """Passes on the limits that are new to this control instance.

    :param links: links of this control instance.
    :param dispatcher: keeps the limits in force and learns new ones.
    :param metrics: counts the changes.
    """

    def __init__(
        self,
        links: ControlLinks,
        dispatcher: Dispatcher,
        metrics: ControlMetrics,
    ) -> None:
        self._links = links
        self._dispatcher = dispatcher
        self._metrics = metrics
        dispatcher.limits.on_limit = self._on_learned

    def handle_notice(self, peer: Peer, msg: LimitsNotice, now: float) -> None:
        """Apply a notice and pass on what is new.

        Each control instance is linked to all others, so what another one has
        passed on is not sent to them again.

        :param peer: the instance that sent it.
        :param msg: the notice.
        :param now: monotonic time in seconds.
        """
        added = self._dispatcher.limits.apply(msg.limits, now)
        if added:
            source = 'control' if peer.hello.control else 'entry'
            self._pass_on(added, source)

    def send_in_force(self, link: Link) -> None:
        """Send all limits in force, if there are any.

        :param link: link to an instance that may not know them.
        """
        limits = self._dispatcher.limits.in_force()
        if limits:
            link.send(LimitsNotice(limits=limits))

    def _on_learned(self, limit: TargetLimit) -> None:
        self._pass_on((limit,), 'answer')

    def _pass_on(self, limits: tuple[TargetLimit, ...], source: str) -> None:
        self._metrics.limit_changes.labels(source).inc(len(limits))
        _log.bind(
            limits={limit.target: limit.per_s for limit in limits},
            source=source,
        ).info('limits of targets')
        notice = LimitsNotice(limits=limits)
        self._links.send_to_subscribers(notice)
        if source != 'control':
            self._links.broadcast(notice)

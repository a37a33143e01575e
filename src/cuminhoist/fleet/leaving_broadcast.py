"""Spreads notices of leaving targets over the fleet.

A target announces its stop to the entry instances that it answers. Their
dispatcher tells all control instances, and these tell their subscribers.
"""

from ..logging_setup import logger
from .control_links import ControlLinks
from .control_metrics import ControlMetrics
from .link import Link
from .messages import LeavingNotice
from .peer import Peer
from .target_feed import TargetFeed

_log = logger('targets')


class LeavingBroadcast:
    """Passes notices on that are new to this control instance.

    :param links: links of this control instance.
    :param feed: keeps the notices in force.
    :param metrics: counts the notices.
    """

    def __init__(
        self, links: ControlLinks, feed: TargetFeed, metrics: ControlMetrics
    ) -> None:
        self._links = links
        self._feed = feed
        self._metrics = metrics

    def handle_notice(self, peer: Peer, msg: LeavingNotice) -> bool:
        """Apply a notice and pass on what is new; tell if anything is.

        Each control instance is linked to all others, so what another one has
        passed on is not sent to them again.

        :param peer: the instance that sent it.
        :param msg: the notice.
        """
        added = self._feed.add_leaving(msg.targets)
        if not added:
            return False
        source = 'control' if peer.hello.control else 'entry'
        self._metrics.leaving_notices.labels(source).inc(len(added))
        _log.bind(
            targets=[one.name for one in added],
            source=source,
            peer=peer.hello.name,
        ).info('targets leaving')
        notice = LeavingNotice(targets=added)
        self._links.send_to_subscribers(notice)
        if not peer.hello.control:
            self._links.broadcast(notice)
        return True

    def send_in_force(self, link: Link) -> None:
        """Send all notices in force, if there are any.

        :param link: link to an instance that may not know them.
        """
        notice = self._feed.leaving_notice()
        if notice.targets:
            link.send(notice)

"""Spreads the ends of targets under requests over the fleet.

An entry instance sees only the tries that it passed on itself. The tries of
one request come to all of them.
"""

from collections.abc import Callable

from ..steering.poison_requests import PoisonRequests
from .control_links import ControlLinks
from .control_metrics import ControlMetrics
from .link import Link
from .messages import PoisonNotice
from .peer import Peer


class PoisonBroadcast:
    """Passes on the ends of targets that are new to this control instance.

    :param links: links of this control instance.
    :param metrics: counts the ends.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        links: ControlLinks,
        metrics: ControlMetrics,
        now: Callable[[], float],
    ) -> None:
        self.poison_requests = PoisonRequests()
        self._links = links
        self._metrics = metrics
        self._now = now

    def handle_notice(self, peer: Peer, msg: PoisonNotice) -> None:
        """Apply a notice and pass on what is new.

        Each control instance is linked to all others, so what another one has
        passed on is not sent to them again.

        :param peer: the instance that sent it.
        :param msg: the notice.
        """
        added = self.poison_requests.record(msg.ends, self._now())
        if not added:
            return
        source = 'control' if peer.hello.control else 'entry'
        self._metrics.target_ends.labels(source).inc(len(added))
        notice = PoisonNotice(ends=added)
        self._links.send_to_subscribers(notice)
        if not peer.hello.control:
            self._links.broadcast(notice)

    def send_in_force(self, link: Link) -> None:
        """Send all ends that are remembered, if there are any.

        :param link: link to an instance that may not know them.
        """
        ends = self.poison_requests.in_force()
        if ends:
            link.send(PoisonNotice(ends=ends))

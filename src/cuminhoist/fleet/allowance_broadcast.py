"""Exchanges the shares of allowances with the fleet.

Load pattern: callers of a workspace that move between regions within seconds.
Control instances send each other requests for shares and transfers when they
arise. All of them keep all transfers, so that each can replace the dispatcher
of its region.
"""

from collections.abc import Mapping

import msgspec

from ..codec import Message
from ..gateway.routes import RouteTable
from ..steering.allowance_shares import WHOLE, ShareRequest
from ..steering.allowance_sizes import Allowance, AllowanceBounds
from ..steering.local_allowances import RegionShares
from ..steering.recent import RecentNames
from .allowance_limits import allowances_of
from .allowance_report import AllowanceReport
from .control_links import HEARTBEAT_INTERVAL_S, ControlLinks
from .control_metrics import ControlMetrics
from .fleet_view import dispatcher_of
from .link import Link
from .messages import (
    AllowanceNotice,
    AllowanceShares,
    ControlHeartbeat,
    Hello,
)
from .peer import Peer
from .region_dispatch import RegionDispatch

#: Most workspaces whose shares are sent to one entry instance, about 20 kB.
#: If more differ from the equal share, the others count as 0.
MAX_SHARES = 1000


class AllowanceBroadcast:
    """Passes on requests for shares, transfers, and a region's shares.

    :param links: links of this control instance.
    :param hello: identity of this control instance.
    :param dispatch: dispatcher of its region, or the replacement of it.
    :param metrics: metrics of the allowances.
    :param bounds: the tolerated excess.
    """

    def __init__(
        self,
        links: ControlLinks,
        hello: Hello,
        dispatch: RegionDispatch,
        metrics: ControlMetrics,
        bounds: AllowanceBounds,
    ) -> None:
        self._links = links
        self._hello = hello
        self._allowances = dispatch.allowances
        self._report = AllowanceReport(
            dispatch.dispatcher.allowances, dispatch.allowances, metrics
        )
        self._limits: Mapping[str, Allowance] = {}
        self._linked_fraction = float(1)
        self._entry_names = RecentNames(bounds.absent_s)
        # Workspaces whose shares have changed, and whether subscribers get
        # all shares with the next heartbeat.
        self._changed: set[str] = set()
        self._sends_all = False
        self._knew_transfers = False
        self._has_quorum = False
        self._may_be_replaced_at = float('inf')
        # All control instances of the region that this one has ever seen.
        self._regional_controls: set[str] = set()
        self._window_s = bounds.window_s
        dispatch.on_share_request = self._ask

    def replace_routes(self, routes: RouteTable, now: float) -> None:
        """Put the limits of a configuration in force.

        :param routes: the routes.
        :param now: monotonic time in seconds.
        """
        limits = allowances_of(routes)
        # Subscribers have no shares of workspaces that had no limit.
        self._sends_all = (
            self._sends_all or limits.keys() != self._limits.keys()
        )
        self._limits = limits
        self._allowances.apply_limits(self._limits, self._linked_fraction, now)
        self._report.version = routes.version

    def heartbeat(
        self, heartbeat: ControlHeartbeat, now: float
    ) -> ControlHeartbeat:
        """Keep the allowances; return the heartbeat with what is known.

        :param heartbeat: the heartbeat to send.
        :param now: monotonic time in seconds.
        """
        self._has_quorum = heartbeat.confirmed
        is_dispatcher = self._is_dispatcher()
        self._allowances.keep(now, HEARTBEAT_INTERVAL_S, decides=is_dispatcher)
        self._count_entries(now, confirmed=heartbeat.confirmed)
        self._suspend_if_replaced(now)
        self._allowances.apply_limits(self._limits, self._linked_fraction, now)
        self._send_changes()
        if is_dispatcher:
            self._report.record(now)
        return msgspec.structs.replace(
            heartbeat, knows_shares=self._allowances.knows_transfers
        )

    def handle_message(self, peer: Peer, msg: Message, now: float) -> None:
        """Process a message of another control instance.

        :param peer: the control instance.
        :param msg: the message.
        :param now: monotonic time in seconds.
        """
        if isinstance(msg, AllowanceNotice):
            self._handle_notice(msg, now)
        elif isinstance(msg, ControlHeartbeat):
            # All transfers that it knew were sent before its first heartbeat.
            self._allowances.hear_all(
                peer.hello.region, (), now, knows_transfers=msg.knows_shares
            )

    def replaces(self, peer: Peer) -> bool:
        """Tell whether entry instances must learn at once who decides now.

        Until they know their new dispatcher they decide by their parts of the
        allowances, with no burst, and refuse requests within a limit.

        :param peer: an instance whose link has ended.
        """
        return (
            bool(self._limits)
            and peer.hello.control
            and peer.hello.region == self._hello.region
            and self._is_dispatcher()
        )

    def send_in_force(self, link: Link) -> None:
        """Send what an instance must know of the shares.

        :param link: link to a control instance, or to a new subscriber.
        """
        peer = link.peer
        transfers = self._allowances.ledger.in_force()
        if not isinstance(peer, Peer):
            return
        if peer.hello.control:
            # Also without limits: they may be configured again later.
            if transfers:
                link.send(AllowanceNotice(transfers=transfers))
        elif self._limits:
            link.send(AllowanceShares(shares=self._shares(peer.hello.region)))

    def _handle_notice(self, msg: AllowanceNotice, now: float) -> None:
        """Apply transfers; answer requests as the region's dispatcher."""
        self._allowances.apply(msg.transfers, now)
        self._changed.update(transfer.workspace for transfer in msg.transfers)
        # Without a quorum another instance may have become the dispatcher.
        gives = self._has_quorum and self._is_dispatcher()
        requests = msg.requests if gives else ()
        answers = [
            self._allowances.answer(request, now) for request in requests
        ]
        given = tuple(transfer for transfer in answers if transfer is not None)
        if given:
            self._changed.update(transfer.workspace for transfer in given)
            self._links.broadcast(AllowanceNotice(transfers=given))

    def _is_dispatcher(self) -> bool:
        controls = self._links.fleet.controls()
        return dispatcher_of(self._hello.region, controls) == self._hello.name

    def _suspend_if_replaced(self, now: float) -> None:
        """Stop to use the share where another dispatcher may use it.

        If control instances of a region are split, the one with a quorum
        leaves out the entry instances of the other side for a window. A region
        that is cut off as a whole keeps its share.
        """
        linked = {
            control.name
            for control in self._links.fleet.controls()
            if control.region == self._hello.region
        }
        self._regional_controls |= linked
        if self._has_quorum or linked >= self._regional_controls:
            self._may_be_replaced_at = float('inf')
        else:
            self._may_be_replaced_at = min(
                self._may_be_replaced_at, now + self._window_s
            )
        self._allowances.suspend(
            now, is_suspended=now >= self._may_be_replaced_at
        )

    def _ask(self, request: ShareRequest) -> None:
        self._links.broadcast(AllowanceNotice(requests=(request,)))

    def _count_entries(self, now: float, *, confirmed: bool) -> None:
        """Find which part of the region's entry instances is linked here.

        Without a quorum those that are gone may be linked to another
        dispatcher, so they count until there is one.
        """
        region = self._hello.region
        linked = {
            peer.hello.name
            for peer in self._links.peers.values()
            if peer.ready
            and not peer.hello.control
            and peer.hello.region == region
        }
        known = {
            entry.name
            for entry in self._links.fleet.entries()
            if entry.region == region
        }
        count = self._entry_names.record(known | linked, now, expires=confirmed)
        self._linked_fraction = len(linked) / count if count else 1

    def _send_changes(self) -> None:
        """Send the changed shares of each region to its subscribers."""
        knows_transfers = self._allowances.knows_transfers
        sends_all = (
            self._sends_all
            or knows_transfers != self._knew_transfers
            or len(self._changed) > MAX_SHARES
        )
        if not self._limits or not (sends_all or self._changed):
            return
        ledger = self._allowances.ledger
        for region in ledger.regions:
            links = [
                peer.link
                for peer in self._links.peers.values()
                if peer.subscribed and peer.hello.region == region
            ]
            parts = {
                workspace: ledger.parts(workspace, region)
                for workspace in self._changed
            }
            shares = self._shares(region) if sends_all else RegionShares(parts)
            self._links.send_to_links(links, AllowanceShares(shares=shares))
        self._changed = set()
        self._sends_all = False
        self._knew_transfers = knows_transfers

    def _shares(self, region: str) -> RegionShares:
        """Return all shares of a region; 0 while they are not known."""
        ledger = self._allowances.ledger
        if not self._allowances.knows_transfers:
            return RegionShares({}, 0)
        equal = WHOLE // len(ledger.regions)
        parts = {
            workspace: ledger.parts(workspace, region)
            for workspace in ledger.workspaces()
            if workspace in self._limits
        }
        unequal = {name: own for name, own in parts.items() if own != equal}
        if len(unequal) <= MAX_SHARES:
            return RegionShares(unequal, equal)
        largest = sorted(unequal, key=unequal.__getitem__)[-MAX_SHARES:]
        return RegionShares({name: unequal[name] for name in largest}, 0)

"""Sends state and lists to the entry instances that subscribed here.

Load pattern: many entry instances on slow links, each linked to all control
instances of its region. One of these sends the declared state, the target
list, the roster and fleet summaries; views tell the others' versions, so that
an entry instance whose source falls behind subscribes elsewhere.
"""

from collections.abc import Callable

from ..register.declared_state import DeclaredState
from ..register.messages import Learned
from ..steering.targets import TargetEntry
from .control_links import ControlLinks
from .fleet_view import endpoint_changes
from .link import Link
from .list_changes import changes_between, list_digest
from .messages import (
    ControlEndpoint,
    EntryEndpoint,
    FleetSummary,
    ReadinessNotice,
    Roster,
    TargetList,
)
from .peer import Peer
from .target_feed import TargetFeed

#: Heartbeats between two fleet summaries; entry instances use the demand only
#: while they have no dispatcher.
HEARTBEATS_PER_SUMMARY = 6
#: Time after the start in which a control instance does not know all entry
#: instances yet, in seconds. Its roster then only adds to what the receiver
#: has, and replaces nothing.
ROSTER_DELAY_S = 2.0


class EntryUpdates:
    """What the subscribed entry instances get.

    :param links: links of this control instance.
    :param feed: the target list.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        links: ControlLinks,
        feed: TargetFeed,
        now: Callable[[], float],
    ) -> None:
        self._links = links
        self._feed = feed
        self._now = now
        self._created_at = now()
        self._sent_targets: tuple[TargetEntry, ...] = ()
        self._sent_roster: dict[str, EntryEndpoint] = {}
        self._is_roster_complete = False
        self._sent_controls: tuple[ControlEndpoint, ...] = ()
        self._summary: FleetSummary | None = None
        self._heartbeat_count = 0
        #: Sends notices in force on the link of a new subscriber.
        self.send_notices: Callable[[Link], None] = _send_nothing

    def handle_notice(
        self,
        peer: Peer,
        notice: ReadinessNotice,
        state: DeclaredState | None,
    ) -> None:
        """Send a new subscriber what it lacks.

        :param peer: the entry instance.
        :param notice: its notice.
        :param state: newest declared state.
        """
        is_new = notice.subscribed and not peer.subscribed
        peer.subscribed = notice.subscribed
        if not is_new:
            return
        if state is not None and state.index > notice.state_index:
            peer.link.send(Learned(state=state))
        # Later changes are relative to the list and the roster that were last
        # sent to all subscribers, so a new one starts from these.
        if notice.list_digest != list_digest(self._sent_targets):
            age_s = self._now() - self._feed.read_at
            peer.link.send(TargetList(age_s=age_s, targets=self._sent_targets))
        leaving = self._feed.leaving_notice()
        if leaving.targets:
            peer.link.send(leaving)
        self.send_notices(peer.link)
        peer.link.send(
            Roster(
                entries=tuple(self._sent_roster.values()),
                complete=self._is_roster_complete,
            )
        )
        if self._summary is not None:
            peer.link.send(self._summary)

    def send_targets(self) -> None:
        """Send the changes of the target list."""
        entries = self._feed.listed
        age_s = self._now() - self._feed.read_at
        changes = changes_between(self._sent_targets, entries, age_s)
        self._sent_targets = entries
        self._links.send_to_subscribers(changes)

    def send_heartbeat(self, summary: FleetSummary) -> None:
        """Send the changes of the roster, and the fleet summary when due.

        :param summary: the newest summary.
        """
        self._send_roster()
        self._summary = summary
        self._heartbeat_count += 1
        changed = summary.controls != self._sent_controls
        if changed or self._heartbeat_count % HEARTBEATS_PER_SUMMARY == 0:
            self._sent_controls = summary.controls
            self._links.send_to_subscribers(summary)

    def _send_roster(self) -> None:
        roster = {entry.name: entry for entry in self._links.fleet.entries()}
        added, gone = endpoint_changes(self._sent_roster, roster)
        self._sent_roster = roster
        knows_all = self._now() - self._created_at > ROSTER_DELAY_S
        if knows_all and not self._is_roster_complete:
            self._is_roster_complete = True
            msg = Roster(entries=tuple(roster.values()))
        elif not knows_all:
            msg = Roster(entries=added, complete=False)
        else:
            msg = Roster(entries=added, gone=gone, complete=False)
        if msg.complete or msg.entries or msg.gone:
            self._links.send_to_subscribers(msg)


def _send_nothing(_link: Link) -> None:
    """Send no notices: none are in force."""

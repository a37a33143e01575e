"""What a control instance knows of the other running instances.

Load pattern: hundreds of entry instances, of which few change at a time.
Control instances therefore send each other the changes, and the whole set
only on a new link; heartbeats stay small at any size of the fleet.
"""

from collections.abc import Callable, Iterable

from .instance_config import Address
from .lookups import nearest_entries
from .messages import (
    ControlEndpoint,
    EntryEndpoint,
    Hello,
    LinkedInstances,
    View,
)
from .peer import Peer

#: A heartbeat of another control instance is valid this long, in seconds: two
#: heartbeats may be late.
HEARTBEAT_VALID_S = 1.6
#: The merged entry instances are kept this long, in seconds; look-ups and
#: views use them many times a second.
ENTRIES_KEPT_S = 0.1


class FleetView:
    """Merges the linked instances with what the peers report.

    :param hello: identity of this instance.
    :param peers: linked instances by name.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        hello: Hello,
        peers: dict[str, Peer],
        now: Callable[[], float],
    ) -> None:
        self.leaving = False
        self._hello = hello
        self._peers = peers
        self._now = now
        self._entries: list[EntryEndpoint] = []
        self._entries_at = float('-inf')
        self._sent_entries: dict[str, EntryEndpoint] = {}
        self._sent_controls: tuple[ControlEndpoint, ...] = ()

    def invalidate(self) -> None:
        """Merge the entry instances anew when they are next needed."""
        self._entries_at = float('-inf')

    def fresh_peers(self) -> list[Peer]:
        """Return the control instances whose last heartbeat is valid."""
        limit = self._now() - HEARTBEAT_VALID_S
        return [
            peer for peer in self._peers.values() if peer.heartbeat_at >= limit
        ]

    def controls(self) -> list[ControlEndpoint]:
        """Return all running control instances that are not leaving."""
        endpoints = {
            _control_endpoint(peer.hello)
            for peer in self._peers.values()
            if peer.hello.control
            and not (peer.heartbeat is not None and peer.heartbeat.leaving)
        }
        if not self.leaving:
            endpoints.add(_control_endpoint(self._hello))
        return sorted(endpoints)

    def entries(self) -> list[EntryEndpoint]:
        """Return the entry instances of the fleet that accept requests.

        Ready ones with a link to this instance or to a control instance whose
        last heartbeat is valid.
        """
        now = self._now()
        if now - self._entries_at >= ENTRIES_KEPT_S:
            merged = self._linked_entries()
            for peer in self.fresh_peers():
                merged |= peer.entries
            self._entries = [merged[name] for name in sorted(merged)]
            self._entries_at = now
        return self._entries

    def nearest_entries(self, region: str, domain: str) -> list[Address]:
        """Return the entry instances that a caller may connect to.

        :param region: region of the caller.
        :param domain: failure domain of the caller.
        """
        return nearest_entries(self.entries(), region, domain)

    def view(
        self,
        region: str,
        index: int,
        list_age_s: float,
        *,
        confirmed: bool,
    ) -> View:
        """Return the view for the entry instances of a region.

        :param region: the region.
        :param index: index of the newest declared state; -1 for none.
        :param list_age_s: age of the target list, in seconds.
        :param confirmed: whether this instance reaches a quorum.
        """
        entries = self.entries()
        return View(
            index=index,
            confirmed=confirmed,
            dispatcher=dispatcher_of(region, self.controls()),
            entries=len(entries),
            region_entries=sum(entry.region == region for entry in entries),
            list_age_s=list_age_s,
        )

    def all_linked(self) -> LinkedInstances:
        """Return the first message for a newly linked control instance.

        Later changes are relative to it.
        """
        return LinkedInstances(
            entries=tuple(self._sent_entries.values()),
            gone=(),
            controls=tuple(self.controls()),
            complete=True,
        )

    def changes(self) -> LinkedInstances | None:
        """Return what changed since the last call, if anything."""
        linked = self._linked_entries()
        controls = tuple(self.controls())
        added, gone = endpoint_changes(self._sent_entries, linked)
        if not added and not gone and controls == self._sent_controls:
            return None
        self._sent_entries = linked
        self._sent_controls = controls
        return LinkedInstances(
            entries=added, gone=gone, controls=controls, complete=False
        )

    def apply(self, peer: Peer, msg: LinkedInstances) -> None:
        """Apply the message of another control instance.

        :param peer: the sender.
        :param msg: its linked instances.
        """
        if msg.complete:
            peer.entries = {}
        apply_changes(peer.entries, msg.entries, msg.gone)
        self.invalidate()

    def _linked_entries(self) -> dict[str, EntryEndpoint]:
        return {
            peer.hello.name: _entry_endpoint(peer.hello)
            for peer in self._peers.values()
            if peer.ready and not peer.hello.control
        }


def endpoint_changes(
    before: dict[str, EntryEndpoint], after: dict[str, EntryEndpoint]
) -> tuple[tuple[EntryEndpoint, ...], tuple[str, ...]]:
    """Return the added or changed entry instances, and the removed names.

    :param before: entry instances by name.
    :param after: newer entry instances by name.
    """
    added = tuple(
        entry for name, entry in after.items() if before.get(name) != entry
    )
    return added, tuple(before.keys() - after.keys())


def apply_changes(
    entries: dict[str, EntryEndpoint],
    added: Iterable[EntryEndpoint],
    gone: Iterable[str],
) -> None:
    """Apply changes to entry instances by name.

    :param entries: changed in place.
    :param added: added or changed entry instances.
    :param gone: names of removed ones.
    """
    for name in gone:
        entries.pop(name, None)
    entries.update({entry.name: entry for entry in added})


def dispatcher_of(region: str, controls: list[ControlEndpoint]) -> str:
    """Return the name of a region's dispatcher; empty if there is none.

    The control instance of the region with the lowest name is its dispatcher.

    :param region: name of the region.
    :param controls: running control instances.
    """
    return min(
        (control.name for control in controls if control.region == region),
        default='',
    )


def _control_endpoint(hello: Hello) -> ControlEndpoint:
    return ControlEndpoint(
        hello.name, hello.address, hello.domain, hello.region
    )


def _entry_endpoint(hello: Hello) -> EntryEndpoint:
    request_address = hello.request_address or hello.address
    return EntryEndpoint(
        hello.name, request_address, hello.domain, hello.region
    )

"""Sends the target list from the instance that reads it to all others.

Load pattern: hundreds of targets, of which few change within a second.
"""

import weakref

from ..steering.targets import TargetEntry
from .control_links import ControlLinks
from .link import Link
from .list_changes import changes_between
from .target_feed import TargetFeed


class ListBroadcast:
    """Sends each control instance the list once, and then its changes.

    :param links: links of this control instance.
    """

    def __init__(self, links: ControlLinks) -> None:
        self._links = links
        self._receivers: weakref.WeakSet[Link] = weakref.WeakSet()
        self._sent: tuple[TargetEntry, ...] = ()

    def send(self, feed: TargetFeed, age_s: float) -> None:
        """Send the newest list.

        :param feed: the target list.
        :param age_s: time since it was read, in seconds.
        """
        links = self._links.links_to_controls()
        known = [link for link in links if link in self._receivers]
        new = [link for link in links if link not in self._receivers]
        changes = changes_between(self._sent, feed.listed, age_s)
        self._links.send_to_links(known, changes)
        self._links.send_to_links(new, feed.to_message())
        self._receivers = weakref.WeakSet(links)
        self._sent = feed.listed

    def pause(self) -> None:
        """Start from complete lists again once this instance reads them."""
        self._receivers.clear()

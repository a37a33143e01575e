"""The lease under which an instance may dispatch to its targets."""

from .clock import Clock
from .membership import TAKEOVER_S, Membership

LEASE_S = 3.0

#: Longer than a round trip and a lost message, short enough that two
#: rounds fit before the lease ends when a peer crashes.
SILENT_S = 1.5

#: The process wakes at least every 0.5 s. A longer gap means that it was
#: paused, and silence of peers during a pause is no evidence.
PAUSE_S = 0.75


class Lease:
    """Tells until when peers take this instance for a possible owner.

    :param clock: time source.
    :param membership: when peers were heard.
    :param peers: names of the other instances of the cell.
    """

    def __init__(
        self,
        clock: Clock,
        membership: Membership,
        peers: tuple[str, ...],
    ) -> None:
        self._clock = clock
        self._membership = membership
        self._peers = peers
        self._until: float | None = None
        self._woke_at = clock.now()
        self._trying_since = clock.now()

    @property
    def is_valid(self) -> bool:
        """Whether the lease runs now."""
        if self._until is None:
            return False
        # Without peers nobody can take over, so a pause does no harm.
        return not self._peers or self._clock.now() < self._until

    def wake(self) -> None:
        """Note that the process runs; restart silences after a pause."""
        now = self._clock.now()
        if now - self._woke_at > PAUSE_S:
            self._trying_since = now
        self._woke_at = now

    def is_silent(self, peer: str, limit_s: float) -> bool:
        """Tell whether a peer was silent while this instance kept trying.

        :param peer: name of the peer.
        :param limit_s: for how long, in seconds.
        """
        heard_at = self._membership.heard_at(peer)
        since = self._trying_since
        if heard_at is not None:
            since = max(since, heard_at)
        return self._clock.now() - since >= limit_s

    def renew(self, started_at: float, responded: frozenset[str]) -> bool:
        """End a round; extend the lease if the round succeeded.

        :param started_at: when the round started.
        :param responded: names of the peers that responded.
        :returns: whether the round succeeded.
        """
        limit_s = SILENT_S if self.is_valid else TAKEOVER_S
        missing = set(self._peers) - responded
        if not all(self.is_silent(peer, limit_s) for peer in missing):
            return False
        # The lease counts from the start: peers may have heard this
        # instance for the last time right then.
        until = started_at + LEASE_S
        if self._peers and until <= self._clock.now():
            return False
        self._until = max(until, self._until or until)
        return True

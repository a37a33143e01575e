"""The lease under which an instance may dispatch to its targets."""

from .clock import Clock
from .membership import TAKEOVER_S, Membership

LEASE_S = 3.0

#: Counted from the first call that was not answered. Five calls fit into
#: it, and it ends 0.5 s before the lease when a peer crashes.
SILENT_S = 1.5

#: The process wakes every 0.1 s. Of a longer gap between two wakes only
#: this much counts as silence of peers.
RUN_STEP_S = 0.2

#: After a gap this long all silences count from zero: a peer that was
#: taken for crashed may have come back during the pause.
PAUSE_S = 0.5


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
        # Time that the process ran, without pauses.
        self._running_s: float = 0
        self._heard_at: dict[str, float | None] = {}
        self._heard_running_s: dict[str, float] = {}
        self._tried_running_s: dict[str, float] = {}

    @property
    def is_valid(self) -> bool:
        """Whether the lease runs now."""
        if self._until is None:
            return False
        # Without peers nobody can take over, so a pause does no harm.
        return not self._peers or self._clock.now() < self._until

    def wake(self) -> None:
        """Note that the process runs; count the time since the last call."""
        gap_s = self._clock.now() - self._woke_at
        self._woke_at += gap_s
        self._running_s += min(gap_s, RUN_STEP_S)
        if gap_s > PAUSE_S:
            self._heard_at.clear()
            self._tried_running_s.clear()
        for peer in self._peers:
            heard_at = self._membership.last_heartbeat_at(peer)
            if peer not in self._heard_at or heard_at != self._heard_at[peer]:
                self._heard_at[peer] = heard_at
                self._heard_running_s[peer] = self._running_s
                self._tried_running_s.pop(peer, None)

    def begin_round(self) -> None:
        """Note that each peer is called now."""
        self.wake()
        for peer in self._peers:
            self._tried_running_s.setdefault(peer, self._running_s)

    def is_silent(self, peer: str, limit_s: float) -> bool:
        """Tell whether a peer was silent while this process ran.

        :param peer: name of the peer.
        :param limit_s: for how long, in seconds.
        """
        self.wake()
        heard_s = self._heard_running_s.get(peer, 0)
        return self._running_s - heard_s >= limit_s

    def renew(self, started_at: float, responded: frozenset[str]) -> bool:
        """End a round; extend the lease if the round succeeded.

        :param started_at: when the round started.
        :param responded: names of the peers that responded.
        :returns: whether the round succeeded.
        """
        missing = set(self._peers) - responded
        if self.is_valid:
            is_alone = all(self._is_lost(peer) for peer in missing)
        else:
            is_alone = all(self.is_silent(peer, TAKEOVER_S) for peer in missing)
        if not is_alone:
            return False
        # The lease counts from the start: peers may have heard this
        # instance for the last time right then.
        until = started_at + LEASE_S
        if self._peers and until <= self._clock.now():
            return False
        self._until = max(until, self._until or until)
        return True

    def _is_lost(self, peer: str) -> bool:
        # The time since the peer was heard would count the pause between
        # two rounds, in which a single lost call can be the last one.
        self.wake()
        tried_s = self._tried_running_s.get(peer, self._running_s)
        return self._running_s - tried_s >= SILENT_S

"""The lease under which an entry instance may dispatch to its targets.

An instance renews its lease by a round of heartbeats to its domain peers. A
peer takes over targets only after silence that lasts longer than the lease,
so an instance that was paused or cut off stops dispatching before that.
"""

from .clock import Clock
from .membership import TAKEOVER_S, Membership

LEASE_S = 3.0

#: A peer whose calls stay unanswered this long, counted from the first of
#: them, doesn't prevent a renewal. Five calls fit into it; when a peer
#: crashes, it ends 0.5 s before the lease does.
UNANSWERED_LIMIT_S = 1.5

#: The run time is updated every 0.1 s. Of a longer gap between two updates
#: only this much counts as silence of peers.
MAX_COUNTED_GAP_S = 0.2

#: After a gap longer than this the silence of every peer counts from zero:
#: a peer that was silent before may have come back during the pause.
MIN_PAUSE_S = 0.5


class Lease:
    """Tracks until when this instance may own targets.

    :param clock: time source.
    :param membership: the times of the peers' heartbeats.
    :param peers: names of the domain peers.
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
        self._valid_until: float | None = None
        self._updated_at = clock.now()
        # Time for which the process ran, without pauses. The dictionaries
        # below whose names end in _s hold readings of it.
        self._running_s: float = 0
        self._heartbeat_at: dict[str, float | None] = {}
        self._heartbeat_running_s: dict[str, float] = {}
        self._unanswered_since_s: dict[str, float] = {}

    @property
    def is_valid(self) -> bool:
        """Whether the lease has been granted and has not ended."""
        if self._valid_until is None:
            return False
        # Without peers no other instance can take over the targets, so the
        # lease need not end in a pause.
        return not self._peers or self._clock.now() < self._valid_until

    def update_run_time(self) -> None:
        """Add the time since the last call to the run time.

        Also notes which peers have sent a heartbeat since.
        """
        gap_s = self._clock.now() - self._updated_at
        self._updated_at += gap_s
        self._running_s += min(gap_s, MAX_COUNTED_GAP_S)
        if gap_s > MIN_PAUSE_S:
            self._heartbeat_at.clear()
            self._unanswered_since_s.clear()
        for peer in self._peers:
            heartbeat_at = self._membership.last_heartbeat_at(peer)
            if (
                peer not in self._heartbeat_at
                or heartbeat_at != self._heartbeat_at[peer]
            ):
                self._heartbeat_at[peer] = heartbeat_at
                self._heartbeat_running_s[peer] = self._running_s
                self._unanswered_since_s.pop(peer, None)

    def begin_round(self) -> None:
        """Record that a heartbeat is sent to each peer now."""
        self.update_run_time()
        for peer in self._peers:
            self._unanswered_since_s.setdefault(peer, self._running_s)

    def is_silent(self, peer: str, limit_s: float) -> bool:
        """Return whether a peer has been silent for a limit of run time.

        :param peer: name of the peer.
        :param limit_s: the limit in seconds.
        """
        self.update_run_time()
        heartbeat_s = self._heartbeat_running_s.get(peer, 0)
        return self._running_s - heartbeat_s >= limit_s

    def renew(self, started_at: float, replied: frozenset[str]) -> bool:
        """End a round and extend the lease if the round succeeded.

        :param started_at: monotonic time at which the round started.
        :param replied: names of the peers that replied.
        :returns: whether the round succeeded.
        """
        missing = set(self._peers) - replied
        if self.is_valid:
            may_renew = all(
                self._leaves_calls_unanswered(peer) for peer in missing
            )
        else:
            may_renew = all(
                self.is_silent(peer, TAKEOVER_S) for peer in missing
            )
        if not may_renew:
            return False
        # The lease counts from the start of the round, which may be when
        # peers received the last heartbeat of this instance.
        valid_until = started_at + LEASE_S
        if self._peers and valid_until <= self._clock.now():
            return False
        self._valid_until = max(valid_until, self._valid_until or valid_until)
        return True

    def _leaves_calls_unanswered(self, peer: str) -> bool:
        # Counted from the first unanswered call. Counting from the last
        # heartbeat would include the pause between two rounds, and then a
        # single lost call could reach the limit.
        self.update_run_time()
        since_s = self._unanswered_since_s.get(peer, self._running_s)
        return self._running_s - since_s >= UNANSWERED_LIMIT_S

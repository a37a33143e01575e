"""Chooses the next voters when instances ask to join or are gone.

A new instance takes a silent voter's place where possible, so that the quorum
does not grow with each replaced instance. If the former instance fell silent
only later, it is dropped then.
"""

from collections.abc import Callable, Collection, Mapping, Sequence

from .declared_state import DeclaredState, Voter

#: Upper limit of voters; nine tolerate the failure of any four.
MAX_VOTERS = 9
#: A voter that was silent for this long may be replaced by an instance that
#: joins, in seconds; restarts take less.
REPLACE_SILENT_AFTER_S = 3.0
#: A voter that was silent for this long may be dropped if the others are
#: enough, in seconds; one that is dropped by mistake joins again.
DROP_SILENT_AFTER_S = 2.0
#: A voter whose last heartbeat is at most this old is running, in seconds: two
#: heartbeats may be late.
HEARD_WITHIN_S = 1.6
#: A request to join the voters is valid for this long, in seconds.
JOIN_VALID_S = 1.5


class VoterWatch:
    """Chooses the next voters by what one control instance hears.

    :param own_voter: this instance.
    :param silence_s: returns for how long a voter has been silent, in seconds.
    :param leaving: returns the names of the voters that say that they stop.
    :param tolerated_losses: number of control instances that may be lost at
        once.
    """

    def __init__(
        self,
        own_voter: Voter,
        silence_s: Callable[[str], float],
        leaving: Callable[[], Collection[str]],
        tolerated_losses: int,
    ) -> None:
        self._own_voter = own_voter
        self._silence_s = silence_s
        self._leaving = leaving
        #: Fewest voters of which a majority is left after the losses.
        self.least_voters = min(2 * tolerated_losses + 1, MAX_VOTERS)
        self._join_times: dict[Voter, float] = {}
        #: Loop time since which silences are evidence.
        self._listens_since = float('-inf')

    def record_join(self, voter: Voter, now: float) -> None:
        """Record that an instance asks to join.

        :param voter: the instance.
        :param now: loop time in seconds.
        """
        self._join_times[voter] = now

    def restart(self, now: float) -> None:
        """Take no silence and no request before a time as evidence.

        :param now: loop time in seconds.
        """
        self._join_times.clear()
        self._listens_since = max(self._listens_since, now)

    def next_voters(
        self, known: DeclaredState, now: float
    ) -> tuple[Voter, ...]:
        """Return the voters that the register should have.

        :param known: the newest chosen state.
        :param now: loop time in seconds.
        """
        self._join_times = {
            voter: requested_at
            for voter, requested_at in self._join_times.items()
            if now - requested_at < JOIN_VALID_S
        }
        joining = self._join_times.keys()
        silences = {
            voter: self._silence_s(voter.name)
            for voter in known.voters
            if voter != self._own_voter
        }
        leaving = self._leaving()
        running = {
            voter
            for voter, silent_s in silences.items()
            if silent_s <= HEARD_WITHIN_S and voter.name not in leaving
        }
        return without_gone(
            next_voters(
                known.voters,
                sorted(joining - set(known.voters)),
                self._silent(silences, REPLACE_SILENT_AFTER_S, now),
            ),
            [
                *self._silent(silences, DROP_SILENT_AFTER_S, now),
                *(voter for voter in silences if voter.name in leaving),
            ],
            running | joining | {self._own_voter},
            max(known.founding_size, self.least_voters),
        )

    def _silent(
        self, silences: Mapping[Voter, float], limit_s: float, now: float
    ) -> list[Voter]:
        """Return the voters whose silence is over a limit, in seconds."""
        if now - self._listens_since <= limit_s:
            return []
        return [
            voter for voter, silent_s in silences.items() if silent_s > limit_s
        ]


def next_voters(
    voters: tuple[Voter, ...],
    joining: Sequence[Voter],
    silent: Sequence[Voter],
) -> tuple[Voter, ...]:
    """Return the voters after the joining instances have been added.

    An instance that has lost its disk replaces the voter of its host. Any
    other instance replaces a silent voter, or is added if none is silent and
    the limit permits.

    :param voters: the present voters.
    :param joining: instances that ask to become voters.
    :param silent: voters that may be replaced.
    """
    updated = set(voters)
    replaceable = list(silent)
    for voter in joining:
        same_host = [
            other
            for other in updated
            if other.address.host == voter.address.host
        ]
        if same_host:
            updated -= set(same_host)
            replaceable = [
                other for other in replaceable if other not in same_host
            ]
        elif replaceable:
            updated.discard(replaceable.pop(0))
        if len(updated) < MAX_VOTERS:
            updated.add(voter)
    return tuple(sorted(updated))


def without_gone(
    voters: tuple[Voter, ...],
    gone: Collection[Voter],
    running: Collection[Voter],
    least: int,
) -> tuple[Voter, ...]:
    """Return the voters without those that have been replaced.

    A silent voter may be frozen or cut off only, and one that stops may start
    again, so that either is dropped only if the others are enough.

    :param voters: the present voters.
    :param gone: voters that have been silent for long, or stop.
    :param running: voters that are running and do not stop.
    :param least: number of voters that the deployment needs.
    """
    if len(set(voters) & set(running)) < least:
        return voters
    return tuple(voter for voter in voters if voter not in gone)

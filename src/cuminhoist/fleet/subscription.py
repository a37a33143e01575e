"""Chooses the control instance that sends an entry instance its updates.

Load pattern: many entry instances on slow links. Each gets state and lists
from one control instance, preferably of its own failure domain, and changes
to another as soon as that one is known to have something newer.
"""

from collections.abc import Iterable

import msgspec

from ..rendezvous import score

#: A source may be this much behind another one, in seconds; announcements
#: and lists reach the control instances at slightly different times.
BEHIND_LIMIT_S = 0.4
#: A target list that is older by at most this much counts as current, in
#: seconds; links delay it by less.
LIST_TOLERANCE_S = 0.5
#: Least time between two changes of the source, in seconds, so that a slow
#: link is not filled with complete lists.
MIN_STAY_S = 1.0


class Source(msgspec.Struct, frozen=True):
    """A linked control instance that could send updates.

    :param name: its name.
    :param domain: its failure domain.
    :param is_fresh: whether its last view is valid.
    :param confirmed: whether it reaches a quorum of the voters.
    :param state_index: index of its newest declared state; -1 for none.
    :param list_read_at: when its target list was read, in monotonic seconds
        of this instance.
    """

    name: str
    domain: str
    is_fresh: bool
    confirmed: bool
    state_index: int = -1
    list_read_at: float = float('-inf')


class Progress(msgspec.Struct, frozen=True):
    """What the entry instance has.

    :param state_index: index of its newest declared state; -1 for none.
    :param list_read_at: when its target list was read, in monotonic seconds.
    """

    state_index: int = -1
    list_read_at: float = float('-inf')


class SubscriptionChooser:
    """Decides from which control instance updates come.

    :param name: name of the entry instance.
    :param domain: its failure domain.
    :param returns_home: whether to return to a source of its own failure
        domain once there is one; otherwise the first source stays.
    """

    def __init__(
        self, name: str, domain: str, *, returns_home: bool = False
    ) -> None:
        self._name = name
        self._domain = domain
        self._returns_home = returns_home
        self._behind_since: float | None = None
        self._chosen_at = float('-inf')

    def choose(
        self,
        current: str,
        sources: Iterable[Source],
        own: Progress,
        now: float,
    ) -> str:
        """Return the name of the source to use; empty if there is none.

        :param current: name of the present source; empty for none.
        :param sources: all linked control instances.
        :param own: what the entry instance has.
        :param now: monotonic time in seconds.
        """
        by_name = {source.name: source for source in sources}
        ahead = [
            source for source in by_name.values() if _is_ahead(source, own)
        ]
        if not ahead:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        present = by_name.get(current)
        if present is not None and not self._must_change(present, ahead, now):
            home = self._home_source(present, by_name.values(), now)
            return home.name if home else current
        candidates = [
            source
            for source in ahead or by_name.values()
            if source is not present
        ]
        if not candidates:
            return current if present is not None else ''
        self._chosen_at = now
        self._behind_since = None
        return max(candidates, key=self._preference).name

    def _home_source(
        self, present: Source, sources: Iterable[Source], now: float
    ) -> Source | None:
        """Return a source of the own failure domain to change to, if any."""
        if not self._returns_home or present.domain == self._domain:
            return None
        if now - self._chosen_at < MIN_STAY_S:
            return None
        for source in sources:
            is_current = (
                source.is_fresh
                and source.confirmed
                and source.state_index >= present.state_index
                and source.list_read_at
                >= present.list_read_at - LIST_TOLERANCE_S
            )
            if source.domain == self._domain and is_current:
                self._chosen_at = now
                return source
        return None

    def _must_change(
        self, present: Source, ahead: list[Source], now: float
    ) -> bool:
        if now - self._chosen_at < MIN_STAY_S:
            return False
        behind_s = now - (self._behind_since or now)
        if ahead and behind_s > BEHIND_LIMIT_S:
            # The present source may announce the update and not deliver it.
            return True
        return not present.is_fresh

    def _preference(self, source: Source) -> tuple[bool, bool, bool, int]:
        return (
            source.is_fresh,
            source.confirmed,
            source.domain == self._domain,
            score(self._name, source.name),
        )


def _is_ahead(source: Source, own: Progress) -> bool:
    if not source.is_fresh:
        return False
    return (
        source.state_index > own.state_index
        or source.list_read_at > own.list_read_at + LIST_TOLERANCE_S
    )

"""Tracks how long ago the configuration in force was confirmed as current.

The age of a confirmation travels with the replies of the delivery tree. Only
durations are sent, since the clocks of instances may differ.
"""

import enum
from collections.abc import Callable

from .clock import Clock

#: A configuration whose last confirmation is younger than this is fresh.
FRESH_S = 5.0
MS_PER_S = 1000
#: Difference of two clocks over one poll that is tolerated.
CLOCK_TOLERANCE_S = 0.05
#: Value of ``age_ms`` where there is no confirmation.
NO_AGE_MS = -1


class Currency(enum.StrEnum):
    """How current the configuration of an instance is known to be."""

    #: There is no configuration in force.
    empty = 'empty'
    #: It was confirmed as current less than 5 s ago.
    fresh = 'fresh'
    #: It was confirmed before, but not in the last 5 s.
    stale = 'stale'
    #: It came from domain peers, or from the own disk, after a start without a
    #: fresh source.
    isolated = 'isolated'


def age_at_receipt(
    age_ms: int,
    held_ms: int,
    elapsed_s: float,
) -> float | None:
    """Return the age of a confirmation, in seconds, when its reply arrives.

    Time in which the parent did not hold the poll counts as age, since the
    network and both processes may have delayed the reply. A reply whose hold
    is longer than the poll took belongs to another poll and confirms nothing.

    :param age_ms: age when the parent replied, negative if there is none.
    :param held_ms: how long the parent held the poll.
    :param elapsed_s: time from sending the poll to receiving the reply.
    """
    if age_ms < 0:
        return None
    transit_s = elapsed_s - max(held_ms, 0) / MS_PER_S
    if transit_s < -CLOCK_TOLERANCE_S:
        return None
    return age_ms / MS_PER_S + max(transit_s, 0)


class Freshness:
    """Tracks the last confirmation of the configuration in force.

    :param clock: source of time.
    :param local_age_s: returns the age in seconds of the confirmation by the
        own control replica, None without one.
    """

    def __init__(
        self,
        clock: Clock,
        local_age_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._local_age_s = local_age_s
        self._confirmed_at: float | None = None
        self._isolated = False
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each newer confirmation by a parent.

        :param listener: called without arguments.
        """
        self._listeners.append(listener)

    def record_confirmation(self, age_s: float) -> None:
        """Record a confirmation from a parent.

        :param age_s: age of the confirmation now.
        """
        if age_s < FRESH_S:
            self._isolated = False
        confirmed_at = self._clock.now() - age_s
        if (
            self._confirmed_at is not None
            and confirmed_at <= self._confirmed_at
        ):
            return
        self._confirmed_at = confirmed_at
        for listener in self._listeners:
            listener()

    def mark_isolated(self) -> None:
        """Record that the configuration was applied without a confirmation."""
        self._isolated = True

    def age_s(self) -> float | None:
        """Return the age of the last confirmation, None without one."""
        ages = [self._local_age_s(), self._parent_confirmation_age_s()]
        available = [age_s for age_s in ages if age_s is not None]
        return min(available) if available else None

    def age_ms(self) -> int:
        """Return the age in whole milliseconds, rounded up; -1 without one."""
        age_s = self.age_s()
        return NO_AGE_MS if age_s is None else int(age_s * MS_PER_S) + 1

    def is_fresh(self) -> bool:
        """Return whether the last confirmation is less than 5 s old."""
        age_s = self.age_s()
        return age_s is not None and age_s < FRESH_S

    def is_confirmed_locally(self) -> bool:
        """Return whether the own control replica confirms its version."""
        age_s = self._local_age_s()
        is_fresh = age_s is not None and age_s < FRESH_S
        if is_fresh:
            self._isolated = False
        return is_fresh

    def currency(self, version: int) -> Currency:
        """Return how current the version in force is known to be.

        :param version: version in force, negative without one.
        """
        if version < 0:
            return Currency.empty
        if self.is_confirmed_locally() or self.is_fresh():
            return Currency.fresh
        return Currency.isolated if self._isolated else Currency.stale

    def _parent_confirmation_age_s(self) -> float | None:
        if self._confirmed_at is None:
            return None
        return self._clock.now() - self._confirmed_at

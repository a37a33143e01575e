"""Order of the waiting requests of one service under overload.

Load pattern: classes of requests of differing priority, and workspaces of
which one sends many times its usual, share a service that has fewer slots
than requests for seconds at a time. In order of arrival, requests with a
distant objective fill the queue, urgent ones with a near objective are
refused, and the workspace that sends most gets most.

The order applies while requests of more than one rank arrive. Otherwise
requests are served in order of arrival.
"""

import math
from collections.abc import Mapping
from typing import TypeVar

import msgspec

from .decisions import PlacementRequest

#: Time for which the order applies after requests of differing ranks, in
#: seconds. A rank of which no request arrives for so long has no demand.
MEMORY_S = 10.0
#: Time constant of the counts of requests, in seconds. Load peaks last 4 to
#: 7 s; a part of the requests must not starve for most of one.
COUNT_MEMORY_S = 3.0
#: Fraction of the mean served fraction that each part of the requests keeps.
#: It is more than the quarter that callers are promised, as the counts follow
#: the load late and refused callers are counted again when they return.
FLOOR_FRACTION = 0.4
#: Least decayed count of requests by which a part is judged. With fewer, one
#: refusal would decide.
MIN_COUNT = 4.0
#: Largest number of workspaces whose counts are kept. Beyond it, those
#: without recent requests are dropped.
MAX_WORKSPACES = 4096
#: Interval at which parts below their floor are looked for, in seconds.
REFRESH_S = 0.1
#: Callers wait for at most this fraction of the time they have left.
USABLE_FRACTION = 1 / 3
#: Earliest return of a refused caller, as a fraction of its time left.
FIRST_RETRY_FRACTION = 0.25
#: Step by which refused callers are spread over the time in which they may
#: return: the golden ratio keeps consecutive ones apart for any number of them.
SPREAD_STEP = (math.sqrt(5) - 1) / 2
#: Rank before all priorities, for parts of the requests below their floor.
FLOOR_PRIORITY = -1

_Rank = tuple[int, str]
_Part = TypeVar('_Part', int, str)


class ServedCounts(msgspec.Struct):
    """Recent requests of one part of the load and how many got a slot.

    :param arrived: decayed number of requests.
    :param served: decayed number of those that got a slot.
    :param counted_at: when the counts were last decayed, in monotonic
        seconds.
    """

    arrived: float = 0
    served: float = 0
    counted_at: float = float('-inf')

    def count(self, now: float, *, served: bool) -> None:
        """Count a request that arrives or gets a slot.

        :param now: monotonic time in seconds.
        :param served: whether it gets a slot.
        """
        self.decay(now)
        if served:
            self.served += 1
        else:
            self.arrived += 1

    def decay(self, now: float) -> None:
        """Apply the decay since the last call.

        :param now: monotonic time in seconds.
        """
        if now > self.counted_at:
            factor = math.exp((self.counted_at - now) / COUNT_MEMORY_S)
            self.arrived *= factor
            self.served *= factor
            self.counted_at = now

    def fraction(self, now: float) -> float:
        """Return the fraction of the requests that got a slot.

        :param now: monotonic time in seconds.
        :returns: 1 if there were too few requests to judge.
        """
        self.decay(now)
        if self.arrived < MIN_COUNT:
            return 1
        return min(self.served / self.arrived, 1)


class ServiceOrder:
    """Ranks the requests of one service by priority and workspace."""

    def __init__(self) -> None:
        self._last_rank: _Rank | None = None
        self._mixed_until = float('-inf')
        self._running: dict[str, int] = {}
        self._all = ServedCounts()
        self._by_priority: dict[int, ServedCounts] = {}
        self._by_workspace: dict[str, ServedCounts] = {}
        self._refresh_at = float('-inf')
        self._spread = float(0)
        # Priorities and workspaces below their floor, and priorities that
        # less urgent requests are ahead of.
        self._low_priorities: frozenset[int] = frozenset()
        self._low_workspaces: frozenset[str] = frozenset()
        self._behind: frozenset[int] = frozenset()

    @property
    def running(self) -> Mapping[str, int]:
        """Running requests by workspace; none at all for one without any."""
        return self._running

    def is_active(self, now: float) -> bool:
        """Tell whether requests of differing ranks have arrived of late.

        :param now: monotonic time in seconds.
        """
        return now < self._mixed_until

    def count_arrival(self, request: PlacementRequest, now: float) -> None:
        """Count a request that arrives.

        :param request: the placement request.
        :param now: monotonic time in seconds.
        """
        rank = (request.priority, request.workspace)
        if self._last_rank is not None and rank != self._last_rank:
            self._mixed_until = now + MEMORY_S
        self._last_rank = rank
        # Callers that return after a refusal mostly come past their
        # objective. They are left out, so that returning often gains nothing.
        if self.is_active(now) and request.objective_left_s > 0:
            self._count(request, now, served=False)
        if now >= self._refresh_at:
            self._refresh_at = now + REFRESH_S
            self._refresh(now)

    def start(self, request: PlacementRequest, now: float) -> None:
        """Count a request that gets a slot.

        :param request: the placement request.
        :param now: monotonic time in seconds.
        """
        workspace = request.workspace
        self._running[workspace] = self._running.get(workspace, 0) + 1
        if self.is_active(now):
            self._count(request, now, served=True)

    def end(self, workspace: str) -> None:
        """Count the end of a request that had a slot.

        :param workspace: its workspace.
        """
        running = self._running.get(workspace, 0) - 1
        if running > 0:
            self._running[workspace] = running
        else:
            self._running.pop(workspace, None)

    def priority(self, priority: int, workspace: str) -> int:
        """Return the priority that applies to a part of the requests.

        :param priority: its priority.
        :param workspace: its workspace.
        :returns: ``FLOOR_PRIORITY`` if the part is served too rarely.
        """
        if priority in self._low_priorities:
            return FLOOR_PRIORITY
        if workspace in self._low_workspaces:
            return FLOOR_PRIORITY
        return priority

    def is_behind(self, priority: int) -> bool:
        """Tell whether less urgent requests get a slot more often.

        :param priority: a priority.
        """
        return priority in self._behind

    def spread_retry_s(
        self, priority: int, soonest_s: float, left_s: float
    ) -> float:
        """Return when a refused caller may return, in seconds.

        The time from the first expected slot to the last at which callers
        return is divided among the priorities, urgent ones first. Within its
        part, callers are spread evenly.

        :param priority: priority of the refused request.
        :param soonest_s: time until a slot is expected, in seconds.
        :param left_s: time that the caller has left, in seconds.
        """
        self._spread = math.modf(self._spread + SPREAD_STEP)[0]
        known = sorted({*self._by_priority, priority})
        place = (known.index(priority) + self._spread) / len(known)
        first_s = max(soonest_s, FIRST_RETRY_FRACTION * left_s)
        span_s = max(USABLE_FRACTION * left_s - first_s, 0)
        return first_s + place * span_s

    def _refresh(self, now: float) -> None:
        _forget_idle(self._by_priority, now)
        _forget_idle(self._by_workspace, now)
        if not self.is_active(now):
            self._low_priorities = frozenset()
            self._low_workspaces = frozenset()
            self._behind = frozenset()
            return
        floor = FLOOR_FRACTION * self._all.fraction(now)
        fractions = {
            priority: counts.fraction(now)
            for priority, counts in self._by_priority.items()
        }
        self._low_priorities = frozenset(
            priority
            for priority, fraction in fractions.items()
            if fraction < floor
        )
        self._low_workspaces = frozenset(
            name
            for name, counts in self._by_workspace.items()
            if counts.fraction(now) < floor
        )
        self._behind = frozenset(
            priority
            for priority, fraction in fractions.items()
            if any(
                other > priority
                and other_fraction > fraction
                and self._by_priority[other].arrived >= MIN_COUNT
                for other, other_fraction in fractions.items()
            )
        )

    def _count(
        self, request: PlacementRequest, now: float, *, served: bool
    ) -> None:
        self._all.count(now, served=served)
        by_priority = self._by_priority.setdefault(
            request.priority, ServedCounts()
        )
        by_priority.count(now, served=served)
        workspace = request.workspace
        if not workspace:
            return
        if workspace not in self._by_workspace:
            self._make_room(now)
            self._by_workspace[workspace] = ServedCounts()
        self._by_workspace[workspace].count(now, served=served)

    def _make_room(self, now: float) -> None:
        if len(self._by_workspace) < MAX_WORKSPACES:
            return
        for name, counts in tuple(self._by_workspace.items()):
            if now - counts.counted_at > COUNT_MEMORY_S:
                self._by_workspace.pop(name)
        if len(self._by_workspace) >= MAX_WORKSPACES:
            self._by_workspace.pop(next(iter(self._by_workspace)))


def _forget_idle(counts: dict[_Part, ServedCounts], now: float) -> None:
    """Drop the counts of parts that no request has had for a while."""
    idle = [
        part
        for part, counted in counts.items()
        if now - counted.counted_at > MEMORY_S
    ]
    for part in idle:
        counts.pop(part)

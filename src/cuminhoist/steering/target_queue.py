"""Order of the requests that wait for one target."""

import heapq
from collections.abc import Iterator

from .service_order import ServiceOrder
from .tracked_target import SlotPool, TrackedTarget
from .waiting_request import WaitingRequest

#: Priority, lateness, slots of the workspace and position in the order of
#: arrival of a request; the lowest is served first.
Place = tuple[int, bool, int, int]
#: Workspace, and whether the requests joined as late ones.
_GroupKey = tuple[str, bool]


class _Group:
    """Requests of one priority and workspace that wait for one target."""

    def __init__(self) -> None:
        self.waiting: dict[int, WaitingRequest] = {}
        # Heaps of sequence numbers: of requests that could meet their
        # objective when looked at, and of others. Those of requests that
        # left stay until they come up.
        self._in_time: list[int] = []
        self._late: list[int] = []

    def add(self, sequence: int, waiting: WaitingRequest) -> None:
        """Add a request.

        :param sequence: its position in the order of arrival.
        :param waiting: the request.
        """
        self.waiting[sequence] = waiting
        heapq.heappush(self._in_time, sequence)

    def first(self, now: float) -> tuple[bool, int]:
        """Return whether the next request is late, and its sequence number.

        There must be a request. One that can meet its objective comes first.

        :param now: monotonic time in seconds; minus infinity for the order
            of arrival.
        """
        while self._in_time:
            sequence = self._in_time[0]
            waiting = self.waiting.get(sequence)
            if waiting is not None and waiting.can_be_in_time(now):
                return False, sequence
            heapq.heappop(self._in_time)
            if waiting is not None:
                heapq.heappush(self._late, sequence)
        while self._late[0] not in self.waiting:
            heapq.heappop(self._late)
        return True, self._late[0]


class _Level:
    """Requests of one priority that wait for one target."""

    def __init__(self) -> None:
        self.count = 0
        self._groups: dict[_GroupKey, _Group] = {}

    def requests(self) -> Iterator[WaitingRequest]:
        """Yield all requests."""
        for group in tuple(self._groups.values()):
            yield from tuple(group.waiting.values())

    def add(self, sequence: int, waiting: WaitingRequest) -> None:
        """Add a request.

        :param sequence: its position in the order of arrival.
        :param waiting: the request.
        """
        key = (waiting.request.workspace, waiting.is_late)
        if key not in self._groups:
            self._groups[key] = _Group()
        self._groups[key].add(sequence, waiting)
        self.count += 1

    def remove(self, sequence: int, waiting: WaitingRequest) -> None:
        """Remove a request.

        :param sequence: its position in the order of arrival.
        :param waiting: the request.
        """
        key = (waiting.request.workspace, waiting.is_late)
        group = self._groups[key]
        group.waiting.pop(sequence)
        self.count -= 1
        if not group.waiting:
            self._groups.pop(key)

    def first(self, order: ServiceOrder, now: float) -> tuple[bool, int, int]:
        """Return the place of the next request within its priority.

        :param order: order of the service.
        :param now: monotonic time in seconds.
        """
        running = order.running
        return min(
            (late, running.get(workspace, 0), sequence)
            for (workspace, _), group in self._groups.items()
            for late, sequence in (group.first(now),)
        )

    def count_before(self, order: ServiceOrder, workspace: str) -> int:
        """Return how many requests are served before one that arrives.

        Of each other workspace, as many count as it takes until it has as
        many slots as the own one. Late requests come after those in time.

        :param order: order of the service.
        :param workspace: workspace of the arriving request.
        """
        running = order.running
        own = self._groups.get((workspace, False))
        before = len(own.waiting) if own else 0
        slots = running.get(workspace, 0) + before + 1
        for (other, is_late), group in self._groups.items():
            if is_late or other == workspace:
                continue
            fewer = slots - running.get(other, 0)
            if fewer > 0:
                before += min(fewer, len(group.waiting))
        return before


class TargetQueue:
    """The requests that wait for one target.

    :param target: the target.
    """

    def __init__(self, target: TrackedTarget) -> None:
        self.target = target
        #: Pool under which the target is listed while it may have a free slot.
        self.listed_pool: SlotPool | None = None
        self._levels: dict[int, _Level] = {}

    def __bool__(self) -> bool:
        return bool(self._levels)

    def __iter__(self) -> Iterator[WaitingRequest]:
        for level in tuple(self._levels.values()):
            yield from level.requests()

    def add(self, sequence: int, waiting: WaitingRequest) -> None:
        """Add a request.

        :param sequence: its position in the order of arrival.
        :param waiting: the request.
        """
        if waiting.priority not in self._levels:
            self._levels[waiting.priority] = _Level()
        self._levels[waiting.priority].add(sequence, waiting)

    def remove(self, sequence: int, waiting: WaitingRequest) -> None:
        """Remove a request.

        :param sequence: its position in the order of arrival.
        :param waiting: the request.
        """
        level = self._levels[waiting.priority]
        level.remove(sequence, waiting)
        if not level.count:
            self._levels.pop(waiting.priority)

    def first(self, order: ServiceOrder, now: float) -> Place:
        """Return the place and number of the request that is served next.

        There must be a request.

        :param order: order of the service.
        :param now: monotonic time in seconds; minus infinity for the order
            of arrival.
        """
        priority = min(self._levels)
        return (priority, *self._levels[priority].first(order, now))

    def count_before(
        self, order: ServiceOrder, priority: int, workspace: str
    ) -> int:
        """Return how many requests are served before one that arrives.

        :param order: order of the service.
        :param priority: priority that applies to the arriving request.
        :param workspace: its workspace.
        """
        before = sum(
            level.count
            for other, level in self._levels.items()
            if other < priority
        )
        own = self._levels.get(priority)
        return before + own.count_before(order, workspace) if own else before

    def after(self, priority: int) -> Iterator[WaitingRequest]:
        """Yield the requests that are less urgent than a priority.

        :param priority: the priority.
        """
        for other, level in self._levels.items():
            if other > priority:
                yield from level.requests()

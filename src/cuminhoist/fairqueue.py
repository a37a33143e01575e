"""Weighted fair queueing of waiting requests of one service."""

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import msgspec

from .clock import Clock
from .dequeue_rate import DequeueRate

#: Requests that one caller may have waiting for one service.
MAX_PER_CALLER = 256
#: Requests that may wait for one service.
MAX_TOTAL = 2048
#: Removed entries stay in a heap until they are this many.
MAX_REMOVED = 64

_Item = TypeVar('_Item')
#: Virtual start, order and caller of a flow.
_Place = tuple[float, int, str]


class QueuedRequest(Generic[_Item]):
    """A waiting request.

    :param caller: name of the caller.
    :param cost: weight of the request's kind.
    :param deadline_at: monotonic time of its deadline.
    :param payload: what waits.
    """

    __slots__ = ('caller', 'cost', 'deadline_at', 'payload', 'queued')

    def __init__(
        self,
        caller: str,
        cost: float,
        deadline_at: float,
        payload: _Item,
    ) -> None:
        self.caller = caller
        self.cost = cost
        self.deadline_at = deadline_at
        self.payload = payload
        self.queued = False


class Full(msgspec.Struct, frozen=True):
    """There is no place for the request.

    :param retry_after_s: when the queue has drained far enough.
    """

    retry_after_s: float


class TooLate(msgspec.Struct, frozen=True):
    """The request would wait beyond its deadline.

    :param wait_s: estimated wait.
    :param retry_after_s: when the wait fits the same time to the deadline.
    """

    wait_s: float
    retry_after_s: float


class _Flow(Generic[_Item]):
    """The waiting requests of one caller.

    :param weight: share of the caller.
    :param start: virtual start time of the first request.
    """

    __slots__ = ('backlog', 'entries', 'live', 'order', 'start', 'weight')

    def __init__(self, weight: float, start: float) -> None:
        self.weight = weight
        self.start = start
        self.order = 0
        self.entries: deque[QueuedRequest[_Item]] = deque()
        self.live = 0
        self.backlog = float(0)


class FairQueue(Generic[_Item]):
    """Start-time fair queue with bounds and deadlines.

    :param clock: time source.
    :param max_per_caller: bound of each caller.
    :param max_total: bound of all callers together.
    """

    def __init__(
        self,
        clock: Clock,
        max_per_caller: int = MAX_PER_CALLER,
        max_total: int = MAX_TOTAL,
    ) -> None:
        self._clock = clock
        self._max_per_caller = max_per_caller
        self._max_total = max_total
        self._flows: dict[str, _Flow[_Item]] = {}
        self._active_weight = float(0)
        #: Flows in use and idle ones, by virtual start. An item counts
        #: only while its flow still has the same order.
        self._heads: list[_Place] = []
        self._idle: list[_Place] = []
        self._deadlines: list[tuple[float, int, QueuedRequest[_Item]]] = []
        self._virtual = float(0)
        self._order = 0
        self._size = 0
        self._backlog = float(0)
        self._drain = DequeueRate(clock.now())

    def __len__(self) -> int:
        """Return how many requests wait."""
        return self._size

    @property
    def flows(self) -> int:
        """How many callers the queue holds state for."""
        return len(self._flows)

    @property
    def drain_per_s(self) -> float | None:
        """Cost dispatched a second, or None if it is not known yet."""
        self._drain.pass_time(self._clock.now(), self._size > 0)
        return self._drain.per_s

    def push(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
        evict: Callable[[QueuedRequest[_Item]], None],
    ) -> Full | TooLate | None:
        """Add a request, or tell why it cannot wait.

        :param entry: the request.
        :param weight: share of its caller.
        :param evict: called with a request that loses its place to it.
        """
        refusal = self._check_wait(entry, weight) or self._check_bounds(
            entry,
            weight,
            evict,
        )
        if refusal is None:
            self._add(entry, weight)
        return refusal

    def head(self) -> QueuedRequest[_Item] | None:
        """Return the request to dispatch next, if any waits."""
        while self._heads:
            if self._is_current(self._heads[0]):
                return _first(self._flows[self._heads[0][2]])
            heapq.heappop(self._heads)
        return None

    def pop(self) -> QueuedRequest[_Item] | None:
        """Remove the request to dispatch next and return it, if any."""
        entry = self.head()
        if entry is None:
            return None
        flow = self._flows[entry.caller]
        self._drain.pass_time(self._clock.now(), busy=True)
        self._drain.add(entry.cost)
        heapq.heappop(self._heads)
        flow.entries.popleft()
        self._virtual = max(self._virtual, flow.start)
        flow.start += entry.cost / flow.weight
        self._removed(flow, entry)
        self._place(flow, entry.caller)
        self._forget_idle()
        return entry

    def remove(self, entry: QueuedRequest[_Item]) -> bool:
        """Take out a request that no longer waits.

        :param entry: the request.
        :returns: whether it was waiting.
        """
        if not entry.queued:
            return False
        self._drain.pass_time(self._clock.now(), busy=True)
        flow = self._flows[entry.caller]
        self._removed(flow, entry)
        # Removed entries are skipped at the head; they may not pile up
        # behind a head that waits for long.
        if len(flow.entries) > 2 * flow.live + MAX_REMOVED:
            flow.entries = deque(kept for kept in flow.entries if kept.queued)
        if not flow.live:
            flow.entries.clear()
            self._place(flow, entry.caller)
        self._forget_idle()
        return True

    def expired(self) -> Iterator[QueuedRequest[_Item]]:
        """Remove and return the requests whose deadline has passed."""
        now = self._clock.now()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, entry = heapq.heappop(self._deadlines)
            if self.remove(entry):
                yield entry

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting request."""
        while self._deadlines and not self._deadlines[0][2].queued:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def estimated_wait_s(
        self, caller: str, cost: float, weight: float
    ) -> float:
        """Return how long a new request would wait; 0 if not known.

        :param caller: name of the caller.
        :param cost: weight of the request.
        :param weight: share of the caller.
        """
        per_s = self.drain_per_s
        if per_s is None or not self._size:
            return 0
        flow = self._flows.get(caller)
        own = flow.backlog if flow else 0
        others = self._active_weight - (flow.weight if own and flow else 0)
        # What all others get served in the meantime, by their weights,
        # is at most all that they have waiting.
        ahead = min((own + cost) * others / weight, self._backlog - own)
        return (own + ahead + cost) / per_s if per_s else math.inf

    def _check_wait(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
    ) -> TooLate | None:
        wait_s = self.estimated_wait_s(entry.caller, entry.cost, weight)
        left_s = entry.deadline_at - self._clock.now()
        if wait_s <= left_s:
            return None
        return TooLate(wait_s, wait_s - max(left_s, 0))

    def _check_bounds(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
        evict: Callable[[QueuedRequest[_Item]], None],
    ) -> Full | None:
        flow = self._flows.get(entry.caller)
        live = flow.live if flow else 0
        if live < self._max_per_caller and self._size < self._max_total:
            return None
        longest = max(
            self._flows.values(),
            key=lambda other: other.live / other.weight,
        )
        # Callers that fill the queue may not keep others out of it.
        fits = (live + 1) / weight < longest.live / longest.weight
        if live >= self._max_per_caller or not fits:
            return Full(entry.cost / (self.drain_per_s or 1))
        victim = next(kept for kept in reversed(longest.entries) if kept.queued)
        self.remove(victim)
        evict(victim)
        return None

    def _add(self, entry: QueuedRequest[_Item], weight: float) -> None:
        self._drain.pass_time(self._clock.now(), self._size > 0)
        self._order += 1
        flow = self._flows.get(entry.caller)
        if flow is None:
            flow = _Flow(weight, self._virtual)
            self._flows[entry.caller] = flow
        self._active_weight += weight - (flow.weight if flow.live else 0)
        flow.weight = weight
        flow.entries.append(entry)
        flow.live += 1
        if flow.live == 1:
            self._place(flow, entry.caller)
        flow.backlog += entry.cost
        entry.queued = True
        self._size += 1
        self._backlog += entry.cost
        heapq.heappush(
            self._deadlines,
            (entry.deadline_at, self._order, entry),
        )

    def _place(self, flow: _Flow[_Item], caller: str) -> None:
        self._order += 1
        flow.order = self._order
        heap = self._heads if flow.live else self._idle
        if len(heap) > 2 * len(self._flows) + MAX_REMOVED:
            current = [place for place in heap if self._is_current(place)]
            heap.clear()
            heap.extend(current)
            heapq.heapify(heap)
        heapq.heappush(heap, (flow.start, flow.order, caller))

    def _is_current(self, place: _Place) -> bool:
        _, order, caller = place
        flow = self._flows.get(caller)
        return flow is not None and flow.order == order

    def _removed(self, flow: _Flow[_Item], entry: QueuedRequest[_Item]) -> None:
        entry.queued = False
        flow.live -= 1
        flow.backlog -= entry.cost
        self._size -= 1
        self._backlog -= entry.cost
        if not flow.live:
            flow.backlog = 0
            self._active_weight -= flow.weight
        if len(self._deadlines) > 2 * self._size + MAX_REMOVED:
            self._deadlines = [
                waiting for waiting in self._deadlines if waiting[2].queued
            ]
            heapq.heapify(self._deadlines)

    def _forget_idle(self) -> None:
        if not self._size:
            for kept in (self._flows, self._heads, self._idle, self._deadlines):
                kept.clear()
            self._virtual = float(0)
            self._active_weight = float(0)
            self._backlog = float(0)
        # A caller would gain a turn if its flow were forgotten before the
        # virtual time has passed the end of its last request.
        while self._idle and self._idle[0][0] <= self._virtual:
            _, order, caller = heapq.heappop(self._idle)
            if self._is_current((0, order, caller)):
                self._flows.pop(caller)


def _first(flow: _Flow[_Item]) -> QueuedRequest[_Item]:
    while not flow.entries[0].queued:
        flow.entries.popleft()
    return flow.entries[0]

"""Weighted fair queueing of the requests that wait for one service.

This is start-time fair queueing: each caller is a flow with a virtual start
time that advances by cost / weight for each dispatched request, and the flow
with the earliest virtual start is served next. Requests whose estimated wait
exceeds their deadline are refused at once instead of expiring in the queue.
"""

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

import msgspec

from .clock import Clock
from .dequeue_rate import DequeueRate

#: Requests that one caller may have queued for one service.
MAX_QUEUED_PER_CALLER = 256
#: Requests that may be queued for one service.
MAX_QUEUED = 2048
#: Removed items stay in a heap or flow until they outnumber the current
#: ones by this many; then they are dropped.
MIN_STALE_TO_COMPACT = 64

_Item = TypeVar('_Item')
#: Virtual start, order number and caller of a flow.
_HeapItem = tuple[float, int, str]


class QueuedRequest(Generic[_Item]):
    """A request in the queue.

    :param caller: name of the caller.
    :param cost: weight of the request's kind.
    :param deadline_at: monotonic time of its deadline.
    :param payload: data of the user of the queue.
    """

    __slots__ = ('caller', 'cost', 'deadline_at', 'is_queued', 'payload')

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
        self.is_queued = False


class QueueFull(msgspec.Struct, frozen=True):
    """The caller, or all callers together, reached the queue limit.

    :param retry_after_s: estimated time until there is space, in seconds.
    """

    retry_after_s: float


class WaitTooLong(msgspec.Struct, frozen=True):
    """The request would wait beyond its deadline.

    :param wait_s: estimated wait, in seconds.
    :param retry_after_s: time in seconds after which a request with an
        equally distant deadline would be dispatched in time.
    """

    wait_s: float
    retry_after_s: float


class _Flow(Generic[_Item]):
    """The queued requests of one caller.

    :param weight: weight of the caller's plan.
    :param virtual_start: virtual start time of its first request.
    """

    __slots__ = (
        'entries',
        'order',
        'queued_cost',
        'queued_count',
        'virtual_start',
        'weight',
    )

    def __init__(self, weight: float, virtual_start: float) -> None:
        self.weight = weight
        self.virtual_start = virtual_start
        self.order = 0
        self.entries: deque[QueuedRequest[_Item]] = deque()
        self.queued_count = 0
        self.queued_cost = float(0)


class FairQueue(Generic[_Item]):
    """Start-time fair queue with size limits and deadlines.

    :param clock: time source.
    :param max_per_caller: most queued requests of each caller.
    :param max_total: most queued requests of all callers together.
    """

    def __init__(
        self,
        clock: Clock,
        max_per_caller: int = MAX_QUEUED_PER_CALLER,
        max_total: int = MAX_QUEUED,
    ) -> None:
        self._clock = clock
        self._max_per_caller = max_per_caller
        self._max_total = max_total
        self._flows: dict[str, _Flow[_Item]] = {}
        self._active_weight = float(0)
        #: Heaps of flows with queued requests and of idle flows. An item
        #: is stale once its flow has a newer order number.
        self._heads: list[_HeapItem] = []
        self._idle: list[_HeapItem] = []
        self._deadlines: list[tuple[float, int, QueuedRequest[_Item]]] = []
        self._virtual_time = float(0)
        self._last_order = 0
        self._queued_count = 0
        self._queued_cost = float(0)
        self._dequeue_rate = DequeueRate(clock.now())

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return self._queued_count

    @property
    def flow_count(self) -> int:
        """Number of callers that the queue keeps state for."""
        return len(self._flows)

    @property
    def dequeue_per_s(self) -> float | None:
        """Cost dispatched per second; None while it is not known."""
        self._dequeue_rate.advance(self._clock.now(), self._queued_count > 0)
        return self._dequeue_rate.per_s

    def push(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
        evict: Callable[[QueuedRequest[_Item]], None],
    ) -> QueueFull | WaitTooLong | None:
        """Add a request, or return why it cannot wait.

        :param entry: the request.
        :param weight: weight of its caller's plan.
        :param evict: called with a request that is removed to make space.
        """
        refusal = self._check_wait(entry, weight) or self._check_bounds(
            entry,
            weight,
            evict,
        )
        if refusal is None:
            self._append(entry, weight)
        return refusal

    def head(self) -> QueuedRequest[_Item] | None:
        """Return the next request to dispatch, if any."""
        while self._heads:
            if self._is_current(self._heads[0]):
                return _first_queued(self._flows[self._heads[0][2]])
            heapq.heappop(self._heads)
        return None

    def pop(self) -> QueuedRequest[_Item] | None:
        """Remove and return the next request to dispatch, if any."""
        entry = self.head()
        if entry is None:
            return None
        flow = self._flows[entry.caller]
        self._dequeue_rate.advance(self._clock.now(), busy=True)
        self._dequeue_rate.count_dispatch(entry.cost)
        heapq.heappop(self._heads)
        flow.entries.popleft()
        self._virtual_time = max(self._virtual_time, flow.virtual_start)
        flow.virtual_start += entry.cost / flow.weight
        self._update_after_removal(flow, entry)
        self._push_flow(flow, entry.caller)
        self._drop_idle_flows()
        return entry

    def remove(self, entry: QueuedRequest[_Item]) -> bool:
        """Remove a request whose wait has ended.

        :param entry: the request.
        :returns: whether it was queued.
        """
        if not entry.is_queued:
            return False
        self._dequeue_rate.advance(self._clock.now(), busy=True)
        flow = self._flows[entry.caller]
        self._update_after_removal(flow, entry)
        # Removed entries are dropped when they reach the head. While the
        # head waits for long, they would accumulate behind it.
        if len(flow.entries) > 2 * flow.queued_count + MIN_STALE_TO_COMPACT:
            flow.entries = deque(
                queued for queued in flow.entries if queued.is_queued
            )
        if not flow.queued_count:
            flow.entries.clear()
            self._push_flow(flow, entry.caller)
        self._drop_idle_flows()
        return True

    def pop_expired(self) -> Iterator[QueuedRequest[_Item]]:
        """Remove and return the requests whose deadline has passed."""
        now = self._clock.now()
        while self._deadlines and self._deadlines[0][0] <= now:
            _, _, entry = heapq.heappop(self._deadlines)
            if self.remove(entry):
                yield entry

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a queued request, if any."""
        while self._deadlines and not self._deadlines[0][2].is_queued:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def estimated_wait_s(
        self, caller: str, cost: float, weight: float
    ) -> float:
        """Return how long a new request would wait, in seconds.

        It is 0 if the rate is not known yet, and infinite if nothing is
        dispatched.

        :param caller: name of the caller.
        :param cost: weight of the request.
        :param weight: weight of the caller's plan.
        """
        per_s = self.dequeue_per_s
        if per_s is None or not self._queued_count:
            return 0
        flow = self._flows.get(caller)
        own_cost = flow.queued_cost if flow else 0
        others_weight = self._active_weight - (
            flow.weight if own_cost and flow else 0
        )
        # In the meantime the other callers are served by their weights,
        # but at most all requests that they have queued.
        others_cost = min(
            (own_cost + cost) * others_weight / weight,
            self._queued_cost - own_cost,
        )
        return (own_cost + others_cost + cost) / per_s if per_s else math.inf

    def _check_wait(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
    ) -> WaitTooLong | None:
        wait_s = self.estimated_wait_s(entry.caller, entry.cost, weight)
        left_s = entry.deadline_at - self._clock.now()
        if wait_s <= left_s:
            return None
        return WaitTooLong(wait_s, wait_s - max(left_s, 0))

    def _check_bounds(
        self,
        entry: QueuedRequest[_Item],
        weight: float,
        evict: Callable[[QueuedRequest[_Item]], None],
    ) -> QueueFull | None:
        flow = self._flows.get(entry.caller)
        queued_count = flow.queued_count if flow else 0
        if (
            queued_count < self._max_per_caller
            and self._queued_count < self._max_total
        ):
            return None
        longest = max(
            self._flows.values(),
            key=lambda other: other.queued_count / other.weight,
        )
        # Evict from the caller with the longest queue by weight, so that
        # callers that fill the queue do not keep others out.
        fits = (
            queued_count + 1
        ) / weight < longest.queued_count / longest.weight
        if queued_count >= self._max_per_caller or not fits:
            return QueueFull(entry.cost / (self.dequeue_per_s or 1))
        victim = next(
            queued for queued in reversed(longest.entries) if queued.is_queued
        )
        self.remove(victim)
        evict(victim)
        return None

    def _append(self, entry: QueuedRequest[_Item], weight: float) -> None:
        self._dequeue_rate.advance(self._clock.now(), self._queued_count > 0)
        self._last_order += 1
        flow = self._flows.get(entry.caller)
        if flow is None:
            flow = _Flow(weight, self._virtual_time)
            self._flows[entry.caller] = flow
        self._active_weight += weight - (
            flow.weight if flow.queued_count else 0
        )
        flow.weight = weight
        flow.entries.append(entry)
        flow.queued_count += 1
        if flow.queued_count == 1:
            self._push_flow(flow, entry.caller)
        flow.queued_cost += entry.cost
        entry.is_queued = True
        self._queued_count += 1
        self._queued_cost += entry.cost
        heapq.heappush(
            self._deadlines,
            (entry.deadline_at, self._last_order, entry),
        )

    def _push_flow(self, flow: _Flow[_Item], caller: str) -> None:
        self._last_order += 1
        flow.order = self._last_order
        heap = self._heads if flow.queued_count else self._idle
        if len(heap) > 2 * len(self._flows) + MIN_STALE_TO_COMPACT:
            current = [item for item in heap if self._is_current(item)]
            heap.clear()
            heap.extend(current)
            heapq.heapify(heap)
        heapq.heappush(heap, (flow.virtual_start, flow.order, caller))

    def _is_current(self, item: _HeapItem) -> bool:
        _, order, caller = item
        flow = self._flows.get(caller)
        return flow is not None and flow.order == order

    def _update_after_removal(
        self, flow: _Flow[_Item], entry: QueuedRequest[_Item]
    ) -> None:
        entry.is_queued = False
        flow.queued_count -= 1
        flow.queued_cost -= entry.cost
        self._queued_count -= 1
        self._queued_cost -= entry.cost
        if not flow.queued_count:
            flow.queued_cost = 0
            self._active_weight -= flow.weight
        if len(self._deadlines) > 2 * self._queued_count + MIN_STALE_TO_COMPACT:
            self._deadlines = [
                waiting for waiting in self._deadlines if waiting[2].is_queued
            ]
            heapq.heapify(self._deadlines)

    def _drop_idle_flows(self) -> None:
        if not self._queued_count:
            for container in (
                self._flows,
                self._heads,
                self._idle,
                self._deadlines,
            ):
                container.clear()
            self._virtual_time = float(0)
            self._active_weight = float(0)
            self._queued_cost = float(0)
        # A flow is kept until the virtual time has passed the end of its
        # last request. Otherwise a caller that sends one request at a time
        # would get more than its share.
        while self._idle and self._idle[0][0] <= self._virtual_time:
            _, order, caller = heapq.heappop(self._idle)
            if self._is_current((0, order, caller)):
                self._flows.pop(caller)


def _first_queued(flow: _Flow[_Item]) -> QueuedRequest[_Item]:
    while not flow.entries[0].is_queued:
        flow.entries.popleft()
    return flow.entries[0]

"""Requests of one service that wait for a slot, and ways to find them.

Load pattern: thousands of requests wait for hundreds of targets while slots
are freed thousands of times a second. What a freed slot, a withdrawal, a
recheck or a lost entry instance costs must not grow with the number of
waiting requests.
"""

import collections
import heapq
import itertools
from collections.abc import Iterator

from .placement_options import Option
from .service_order import ServiceOrder
from .target_queue import Place, TargetQueue
from .tracked_target import SlotPool, TrackedTarget
from .waiting_request import WaitingRequest

#: Delay after the expected end of a wait until the request is placed anew,
#: in seconds.
RECHECK_DELAY_S = 0.015
#: Least time between rechecks of a request that others go before, as a
#: fraction of the time for which it has waited.
RECHECK_BACKOFF = 0.5
#: Largest number of overtaken requests that are looked at when another one
#: goes before them. The others are found late when they are rechecked.
MAX_OVERTAKEN = 64


class WaitingRequests:
    """All waiting requests of one service."""

    def __init__(self) -> None:
        self.order = ServiceOrder()
        self._sequences = itertools.count()
        self._all: dict[int, WaitingRequest] = {}
        self._by_sender: dict[str, dict[int, WaitingRequest]] = {}
        self._queues: dict[TrackedTarget, TargetQueue] = {}
        # Awaited targets that have fewer requests running than slots. Others
        # have no free slot for certain.
        self._open: dict[SlotPool, dict[TrackedTarget, TargetQueue]] = {}
        # Times of rechecks with sequence numbers; outdated ones stay until
        # they are due.
        self._due: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._all)

    def __iter__(self) -> Iterator[WaitingRequest]:
        return iter(tuple(self._all.values()))

    def join(self, waiting: WaitingRequest, option: Option, now: float) -> None:
        """Have a request wait for a slot of a target.

        :param waiting: the request; it need not wait yet.
        :param option: the target and the expected wait.
        :param now: monotonic time in seconds.
        """
        self.leave_target(waiting)
        sequence = self._register(waiting)
        target = option.target
        waiting.target = target
        target.queued += 1
        waiting.run_s = option.total_s - option.wait_s
        waiting.priority = self.priority(waiting)
        queue = self._queues.get(target)
        if queue is None:
            queue = TargetQueue(target)
            self._queues[target] = queue
        waiting.expected_start = now + option.wait_s
        if self.order.is_active(now):
            self._displace(queue, waiting, option, now)
        queue.add(sequence, waiting)
        self.update_slots(target)
        self.recheck(waiting, self._recheck_at(waiting, option, now))

    def wait_for_targets(self, waiting: WaitingRequest, until: float) -> None:
        """Have a request wait although no target is known.

        :param waiting: the request.
        :param until: when it is placed anew, in monotonic seconds.
        """
        self._register(waiting)
        self.recheck(waiting, until)

    def leave_target(self, waiting: WaitingRequest) -> None:
        """Have a request no longer wait for the slot of its target.

        :param waiting: the request; it need not wait for one.
        """
        target = waiting.target
        if target is None or waiting.sequence is None:
            return
        waiting.target = None
        target.queued -= 1
        queue = self._queues[target]
        queue.remove(waiting.sequence, waiting)
        if not queue:
            self._unlist(queue)
            self._queues.pop(target)

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request; nothing happens if it does not wait.

        :param waiting: the request.
        """
        self.leave_target(waiting)
        if waiting.sequence is None:
            return
        self._all.pop(waiting.sequence, None)
        sender = waiting.entry_instance
        numbers = self._by_sender.get(sender, {})
        if numbers.get(waiting.request.number) is waiting:
            numbers.pop(waiting.request.number)
        if not numbers:
            self._by_sender.pop(sender, None)

    def count_by_priority(self) -> collections.Counter[int]:
        """Return the number of waiting requests of each priority."""
        return collections.Counter(
            waiting.request.priority for waiting in self._all.values()
        )

    def find(self, entry_instance: str, number: int) -> WaitingRequest | None:
        """Return a waiting request.

        :param entry_instance: the entry instance that sent it.
        :param number: its number in that entry instance.
        """
        return self._by_sender.get(entry_instance, {}).get(number)

    def sent_by(self, entry_instance: str) -> tuple[WaitingRequest, ...]:
        """Return the waiting requests of an entry instance.

        :param entry_instance: the entry instance.
        """
        return tuple(self._by_sender.get(entry_instance, {}).values())

    def recheck(self, waiting: WaitingRequest, due_at: float) -> None:
        """Set when a waiting request is placed anew.

        :param waiting: the request.
        :param due_at: monotonic time in seconds.
        """
        if waiting.sequence is not None:
            waiting.recheck_at = due_at
            heapq.heappush(self._due, (due_at, waiting.sequence))

    def recheck_target(self, target: TrackedTarget, now: float) -> None:
        """Make all requests due that wait for a target.

        :param target: the target.
        :param now: monotonic time in seconds.
        """
        for waiting in self._queues.get(target, ()):
            self.recheck(waiting, now)

    def release_target(self, target: TrackedTarget, now: float) -> None:
        """Have no request wait for a target, and make those that did due.

        :param target: the target.
        :param now: monotonic time in seconds.
        """
        for waiting in self._queues.get(target, ()):
            self.leave_target(waiting)
            self.recheck(waiting, now)

    def take_due(self, now: float) -> list[WaitingRequest]:
        """Return the requests that are due, in order of arrival.

        Each must be removed, rechecked later or join a target.

        :param now: monotonic time in seconds.
        """
        due: dict[int, WaitingRequest] = {}
        while self._due and self._due[0][0] <= now:
            due_at, sequence = heapq.heappop(self._due)
            waiting = self._all.get(sequence)
            if waiting is not None and waiting.recheck_at == due_at:
                due[sequence] = waiting
        return [due[sequence] for sequence in sorted(due)]

    def awaited_targets(self) -> tuple[TrackedTarget, ...]:
        """Return the targets that requests wait for."""
        return tuple(self._queues)

    def update_slots(self, target: TrackedTarget) -> None:
        """Note that slots of a target were taken or freed.

        :param target: the target; it need not be awaited.
        """
        queue = self._queues.get(target)
        if queue is None:
            return
        is_open = target.running < target.slots
        if is_open and queue.listed_pool is target.pool:
            return
        self._unlist(queue)
        if is_open:
            queue.listed_pool = target.pool
            self._open.setdefault(target.pool, {})[target] = queue

    def update_all_slots(self) -> None:
        """Note that targets have other slots or pools."""
        for target in self._queues:
            self.update_slots(target)

    def next_for(self, pool: SlotPool, now: float) -> WaitingRequest | None:
        """Return the request that is sent next to a target of a pool.

        :param pool: the pool.
        :param now: monotonic time in seconds.
        :returns: None if no awaited target of it has a free slot.
        """
        open_targets = self._open.get(pool)
        if not open_targets or pool.is_full():
            return None
        order_at = now if self.order.is_active(now) else float('-inf')
        places: list[Place] = [
            queue.first(self.order, order_at)
            for target, queue in open_targets.items()
            if target.has_free_slot(now)
        ]
        return self._all[min(places)[-1]] if places else None

    def priority(self, waiting: WaitingRequest) -> int:
        """Return the priority that applies to a request.

        :param waiting: the request; it need not wait yet.
        """
        request = waiting.request
        return self.order.priority(request.priority, request.workspace)

    def count_before(
        self, target: TrackedTarget, priority: int, workspace: str
    ) -> int:
        """Return how many requests a target serves before one that arrives.

        :param target: the target.
        :param priority: priority that applies to the arriving request.
        :param workspace: its workspace.
        """
        queue = self._queues.get(target)
        if queue is None:
            return 0
        return queue.count_before(self.order, priority, workspace)

    def _displace(
        self,
        queue: TargetQueue,
        waiting: WaitingRequest,
        option: Option,
        now: float,
    ) -> None:
        """Make requests due that are late because another goes before them.

        Placed anew, they go to another target or are refused at once.
        """
        before = queue.count_before(
            self.order, waiting.priority, waiting.request.workspace
        )
        turn_s = option.wait_s / (before + 1)
        overtaken = queue.after(waiting.priority)
        for other in itertools.islice(overtaken, MAX_OVERTAKEN):
            if other.is_displaced(turn_s):
                self.recheck(other, now)

    def _recheck_at(
        self, waiting: WaitingRequest, option: Option, now: float
    ) -> float:
        """Return when a request that joins a target is placed anew.

        More urgent requests may go before it again and again. It is therefore
        placed anew ever more rarely, but once it can no longer be in time.
        """
        recheck_at = now + option.wait_s + RECHECK_DELAY_S
        if not self.order.is_active(now):
            return recheck_at
        waited_s = now - waiting.arrived_at
        recheck_at = max(recheck_at, now + waited_s * RECHECK_BACKOFF)
        if now < waiting.latest_start < recheck_at:
            return waiting.latest_start
        return recheck_at

    def _register(self, waiting: WaitingRequest) -> int:
        if waiting.sequence is None:
            waiting.sequence = next(self._sequences)
            self._all[waiting.sequence] = waiting
            numbers = self._by_sender.setdefault(waiting.entry_instance, {})
            numbers[waiting.request.number] = waiting
        return waiting.sequence

    def _unlist(self, queue: TargetQueue) -> None:
        pool = queue.listed_pool
        if pool is None:
            return
        queue.listed_pool = None
        listed = self._open[pool]
        listed.pop(queue.target)
        if not listed:
            self._open.pop(pool)

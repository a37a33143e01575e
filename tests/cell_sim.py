"""Simulated cell: real ownership and slots on a fake transport."""

import asyncio
import heapq
import itertools
import random

from returns.result import Failure, Success

from cuminhoist.clock import Clock
from cuminhoist.codec import ReceivedMessage
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.exceptions import TransportError
from cuminhoist.membership import Membership
from cuminhoist.ownership import (
    RETRY_INTERVAL_S,
    ROUND_INTERVAL_S,
    TICK_S,
    Ownership,
)
from cuminhoist.slot_table import SlotTable
from cuminhoist.slots import SlotOutcome
from cuminhoist.transport import Transport

PUMPS = 6


class RateClock(Clock):
    """A clock that runs faster or slower than the simulation's."""

    def __init__(self, cell, rate, offset):
        self._cell, self.rate, self._offset = cell, rate, offset

    def now(self):
        return self._offset + self._cell.now * self.rate

    def wall(self):
        return self.now()


class SimTransport(Transport):
    """Carries messages with delay and loss through the simulation."""

    def __init__(self, cell, node):
        super().__init__()
        self._cell, self._node = cell, node

    async def call(self, peer, msg, timeout_s):
        fut = asyncio.get_running_loop().create_future()
        cell, node = self._cell, self._node
        life = node.life
        node.on_send()

        def finish(outcome):
            if not fut.done():
                fut.set_result(outcome)

        def deliver():
            other = cell.nodes[peer]
            # A paused receiver gets it later, unless it is deaf.
            other.hear(lambda: cell.spawn(answer(other)))

        async def answer(other):
            received = ReceivedMessage(node.name, msg)
            reply = await other.transport.handle(received)
            if not cell.lost(node.name, peer):
                cell.after(cell.delay(), lambda: back(reply))

        def back(reply):
            if node.life == life:
                node.hear(lambda: finish(Success(reply)))

        if not cell.lost(node.name, peer):
            cell.after(cell.delay(), deliver)
        lost = Failure(TransportError(peer, 'timeout'))
        cell.after(
            timeout_s / node.clock.rate,
            lambda: node.when_running(lambda: finish(lost)),
        )
        return await fut


class SimNode:
    """One instance; `start` begins a new life of its process."""

    def __init__(self, cell, name, rate):
        self.cell, self.name = cell, name
        self.clock = RateClock(cell, rate, 1000 * rate)
        self.life, self.up, self.paused = 0, False, False
        self.pause_in_round = self.deaf = False
        self._waiting, self._task = [], None

    def start(self):
        self.life += 1
        self.up, self.paused, self._waiting = True, False, []
        self.pause_in_round = self.deaf = False
        self.transport = SimTransport(self.cell, self)
        self.membership = Membership(
            self.cell.topology,
            self.name,
            self.clock,
            ConfigInForce(),
        )
        self.table = SlotTable(
            self.cell.topology,
            self.membership,
            self.clock,
        )
        self.ownership = Ownership(
            self.cell.topology,
            self.membership,
            self.transport,
            self.clock,
            self.table,
        )
        self.table.attach_ownership(self.ownership)
        self._begin(self.life)
        self._tick(self.life)

    def crash(self):
        self.life += 1
        self.up = False
        if self._task is not None:
            self._task.cancel()

    def pause(self):
        self.paused = True

    def hear(self, action):
        if not (self.paused and self.deaf):
            self.when_running(action)

    def on_send(self):
        if self.pause_in_round:
            self.pause_in_round = False
            self.pause()

    def resume(self):
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for action in waiting:
            self.cell.after(0, lambda act=action: self.when_running(act))

    def when_running(self, action):
        life = self.life
        if self.up and self.paused:
            self._waiting.append(lambda: life == self.life and action())
        elif self.up:
            action()

    def _later(self, seconds, action):
        life = self.life
        self.cell.after(
            seconds / self.clock.rate,
            lambda: life == self.life and self.when_running(action),
        )

    def _begin(self, life):
        if life == self.life:
            self._task = self.cell.spawn(self._round(life))

    async def _round(self, life):
        due_at = self.clock.now()
        succeeded = await self.ownership.run_round()
        due_at += ROUND_INTERVAL_S if succeeded else RETRY_INTERVAL_S
        pause_s = max(0.001, due_at - self.clock.now())
        if life == self.life:
            self._later(pause_s, lambda: self._begin(life))

    def _tick(self, life):
        if life == self.life:
            self.ownership.tick()
            self._later(TICK_S, lambda: self._tick(life))


class Cell:
    """The simulation: true time, events, and work at the targets."""

    def __init__(self, topology, seed=0, rates=(1,)):
        self.topology = topology
        self.now = 0.0
        self.loss = 0.0
        self.max_delay_s = 0.01
        self._isolated = {}
        self.rng = random.Random(seed)
        self._loop = asyncio.new_event_loop()
        self._events, self._order = [], itertools.count()
        self._tasks = set()
        rate = itertools.cycle(rates)
        self.nodes = {
            entry.name: SimNode(self, entry.name, next(rate))
            for entry in topology.instances
        }
        # True end of each request that a target may work on.
        self.work = {target.name: [] for target in topology.targets}
        self._slots = {target.name: target.slots for target in topology.targets}

    def close(self):
        for task in tuple(self._tasks):
            task.cancel()
        self._loop.run_until_complete(_pump())
        self._loop.close()

    def isolate(self, name, seconds):
        """Lose all messages from and to an instance for a while."""
        self._isolated[name] = self.now + seconds

    def lost(self, *names):
        if any(self._isolated.get(name, -1) > self.now for name in names):
            return True
        return self.rng.random() < self.loss

    def delay(self):
        return self.rng.uniform(0.0005, self.max_delay_s)

    def after(self, seconds, action):
        event = (self.now + seconds, next(self._order), action)
        heapq.heappush(self._events, event)

    def spawn(self, coro):
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def run(self, seconds):
        """Let time pass; dispatch all that can be dispatched."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._loop.run_until_complete(_pump())
            self.check()
        self.now = end
        self.check()

    def check(self):
        """Check that the targets have one owner at most."""
        for target in self.work:
            owners = [
                node.name
                for node in self.nodes.values()
                if node.up and node.ownership.owns(target)
            ]
            assert len(owners) <= 1, (self.now, target, owners)

    def dispatch(self, node, service, seconds):
        """Take slots on one instance until it has none."""
        if not node.up or node.paused:
            return
        while True:
            slot = node.table.try_acquire(service, node.clock.now() + seconds)
            if slot is None:
                return
            self._start_work(node, slot, seconds)

    def _start_work(self, node, slot, seconds):
        name = slot.target.name
        choice = self.rng.random()
        length = seconds / node.clock.rate
        if choice < 0.5:
            length *= self.rng.random()
            outcome = SlotOutcome.answered
        else:
            outcome = SlotOutcome.unknown
        running = [end for end in self.work[name] if end > self.now]
        self.work[name] = [*running, self.now + length]
        assert len(self.work[name]) <= self._slots[name], (self.now, name)
        # A response arrives after the work ended; a time-out comes at any
        # time before the work ends.
        at = length if outcome == SlotOutcome.answered else length / 2
        life = node.life
        self.after(
            at + 0.001,
            lambda: (
                life == node.life
                and node.when_running(lambda: slot.release(outcome, length))
            ),
        )


async def _pump():
    for _ in range(PUMPS):
        await asyncio.sleep(0)

"""Simulates the entry instances of one failure domain.

Ownership, membership and slot table are real; clocks, transport and the work
of the targets are simulated, so that any pause or message loss can be had.
"""

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

#: Turns of the event loop after each event; enough for tasks to reach the
#: next simulated wait.
LOOP_TURNS = 6


class RateClock(Clock):
    """A clock that runs faster or slower than the simulated time.

    :param rate: seconds of this clock in one second of simulated time.
    """

    def __init__(self, domain, rate, offset):
        self._domain, self.rate, self._offset = domain, rate, offset

    def now(self):
        return self._offset + self._domain.now * self.rate

    def wall(self):
        return self.now()


class SimTransport(Transport):
    """Carries messages with delay and loss through the simulation."""

    def __init__(self, domain, node):
        super().__init__()
        self._domain, self._node = domain, node

    async def call(self, peer, msg, timeout_s):
        fut = asyncio.get_running_loop().create_future()
        domain, node = self._domain, self._node
        incarnation = node.incarnation
        node.on_send()

        def finish(outcome):
            if not fut.done():
                fut.set_result(outcome)

        def deliver():
            receiver = domain.nodes[peer]
            # A paused receiver gets it when it resumes, or never if it drops
            # messages while paused.
            receiver.receive(lambda: domain.spawn(answer(receiver)))

        async def answer(receiver):
            received = ReceivedMessage(node.name, msg)
            reply = await receiver.transport.handle(received)
            if not domain.is_lost(node.name, peer):
                domain.after(domain.delay(), lambda: deliver_reply(reply))

        def deliver_reply(reply):
            if node.incarnation == incarnation:
                node.receive(lambda: finish(Success(reply)))

        if not domain.is_lost(node.name, peer):
            domain.after(domain.delay(), deliver)
        timed_out = Failure(TransportError(peer, 'timeout'))
        domain.after(
            timeout_s / node.clock.rate,
            lambda: node.when_running(lambda: finish(timed_out)),
        )
        return await fut


class SimNode:
    """A simulated entry instance; `start` begins a new incarnation.

    ``pause_at_send`` pauses it when it sends its next message, that is in
    the middle of a round. With ``drops_while_paused`` it loses the messages
    that arrive in a pause; otherwise it gets them when it resumes.
    """

    def __init__(self, domain, name, rate):
        self.domain, self.name = domain, name
        self.clock = RateClock(domain, rate, 1000 * rate)
        self.incarnation, self.up, self.paused = 0, False, False
        self.pause_at_send = self.drops_while_paused = False
        self._deferred, self._task = [], None

    def start(self):
        self.incarnation += 1
        self.up, self.paused, self._deferred = True, False, []
        self.pause_at_send = self.drops_while_paused = False
        self.transport = SimTransport(self.domain, self)
        self.membership = Membership(
            self.domain.topology,
            self.name,
            self.clock,
            ConfigInForce(),
        )
        self.table = SlotTable(
            self.domain.topology,
            self.membership,
            self.clock,
        )
        self.ownership = Ownership(
            self.domain.topology,
            self.membership,
            self.transport,
            self.clock,
            self.table,
        )
        self.table.attach_ownership(self.ownership)
        self._begin_round(self.incarnation)
        self._tick(self.incarnation)

    def crash(self):
        self.incarnation += 1
        self.up = False
        if self._task is not None:
            self._task.cancel()

    def pause(self):
        self.paused = True

    def receive(self, action):
        """Run the action of an arriving message."""
        if not (self.paused and self.drops_while_paused):
            self.when_running(action)

    def on_send(self):
        if self.pause_at_send:
            self.pause_at_send = False
            self.pause()

    def resume(self):
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.domain.after(0, lambda act=action: self.when_running(act))

    def when_running(self, action):
        """Run an action now or, during a pause, at its end."""
        incarnation = self.incarnation
        if self.up and self.paused:
            self._deferred.append(
                lambda: incarnation == self.incarnation and action()
            )
        elif self.up:
            action()

    def _after(self, seconds, action):
        incarnation = self.incarnation
        self.domain.after(
            seconds / self.clock.rate,
            lambda: (
                incarnation == self.incarnation and self.when_running(action)
            ),
        )

    def _begin_round(self, incarnation):
        if incarnation == self.incarnation:
            self._task = self.domain.spawn(self._round(incarnation))

    async def _round(self, incarnation):
        due_at = self.clock.now()
        succeeded = await self.ownership.run_round()
        due_at += ROUND_INTERVAL_S if succeeded else RETRY_INTERVAL_S
        pause_s = max(0.001, due_at - self.clock.now())
        if incarnation == self.incarnation:
            self._after(pause_s, lambda: self._begin_round(incarnation))

    def _tick(self, incarnation):
        if incarnation == self.incarnation:
            self.ownership.tick()
            self._after(TICK_S, lambda: self._tick(incarnation))


class SimDomain:
    """A failure domain in simulated time.

    :param rates: rates of the instances' clocks, repeated in turn.
    """

    def __init__(self, topology, seed=0, rates=(1,)):
        self.topology = topology
        self.now = 0.0
        self.loss_fraction = 0.0
        self.max_delay_s = 0.01
        self._isolated_until = {}
        self.rng = random.Random(seed)
        self._loop = asyncio.new_event_loop()
        self._events, self._event_numbers = [], itertools.count()
        self._tasks = set()
        rate = itertools.cycle(rates)
        self.nodes = {
            entry.name: SimNode(self, entry.name, next(rate))
            for entry in topology.instances
        }
        # Simulated time of the end of each request that may run at a target.
        self.run_ends = {target.name: [] for target in topology.targets}
        self._slots = {target.name: target.slots for target in topology.targets}

    def close(self):
        for task in tuple(self._tasks):
            task.cancel()
        self._loop.run_until_complete(_run_ready_callbacks())
        self._loop.close()

    def isolate(self, name, seconds):
        """Lose all messages from and to an instance for some seconds."""
        self._isolated_until[name] = self.now + seconds

    def is_lost(self, *names):
        if any(self._isolated_until.get(name, -1) > self.now for name in names):
            return True
        return self.rng.random() < self.loss_fraction

    def delay(self):
        return self.rng.uniform(0.0005, self.max_delay_s)

    def after(self, seconds, action):
        event = (self.now + seconds, next(self._event_numbers), action)
        heapq.heappush(self._events, event)

    def spawn(self, coro):
        task = self._loop.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def run(self, seconds):
        """Let time pass and process the events of that time."""
        ends_at = self.now + seconds
        while self._events and self._events[0][0] <= ends_at:
            self.now, _, action = heapq.heappop(self._events)
            action()
            self._loop.run_until_complete(_run_ready_callbacks())
            self.check()
        self.now = ends_at
        self.check()

    def check(self):
        """Check that no target has more than one owner."""
        for target in self.run_ends:
            owners = [
                node.name
                for node in self.nodes.values()
                if node.up and node.ownership.owns(target)
            ]
            assert len(owners) <= 1, (self.now, target, owners)

    def dispatch(self, node, service, deadline_s):
        """Use all free slots of one instance.

        :param deadline_s: deadline of the requests, by the instance's clock.
        """
        if not node.up or node.paused:
            return
        while True:
            slot = node.table.try_acquire(
                service, node.clock.now() + deadline_s
            )
            if slot is None:
                return
            self._start_run(node, slot, deadline_s)

    def _start_run(self, node, slot, deadline_s):
        name = slot.target.name
        draw = self.rng.random()
        length_s = deadline_s / node.clock.rate
        if draw < 0.5:
            length_s *= self.rng.random()
            outcome = SlotOutcome.answered
        else:
            outcome = SlotOutcome.unknown
        running = [
            ends_at for ends_at in self.run_ends[name] if ends_at > self.now
        ]
        self.run_ends[name] = [*running, self.now + length_s]
        assert len(self.run_ends[name]) <= self._slots[name], (self.now, name)
        # An answer ends the attempt after the run; a timeout may end it
        # at any time before the run ends.
        ends_after_s = (
            length_s if outcome == SlotOutcome.answered else length_s / 2
        )
        incarnation = node.incarnation
        self.after(
            ends_after_s + 0.001,
            lambda: (
                incarnation == node.incarnation
                and node.when_running(lambda: slot.release(outcome, length_s))
            ),
        )


async def _run_ready_callbacks():
    for _ in range(LOOP_TURNS):
        await asyncio.sleep(0)

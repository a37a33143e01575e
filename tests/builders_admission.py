"""Fakes and builders for the tests of admission and rate limits."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from cuminhoist.admission import Admission, AdmissionRequest
from cuminhoist.borrowing import Borrower
from cuminhoist.clock import Clock, ManualClock
from cuminhoist.codec import Message, ReceivedMessage
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Configuration,
    Plan,
    Plans,
)
from cuminhoist.exceptions import TransportError
from cuminhoist.rates import RateLimiter
from cuminhoist.settings import Target
from cuminhoist.shift import ObservedCapacity, ShiftLimiter
from cuminhoist.slots import Slot, SlotOutcome, SlotSource
from cuminhoist.transport import Transport

from .builders import LoopClock, example_topology


def config_of(
    version: int = 1,
    rate_per_s: float = 80,
    burst_s: float = 2,
    weights: tuple[float, ...] = (1,),
) -> Configuration:
    """Return a configuration with callers c0, c1... on plans p0, p1..."""
    return Configuration(
        version=version,
        plans=Plans(
            plans=tuple(
                Plan(name=f'p{index}', weight=weight)
                for index, weight in enumerate(weights)
            ),
            callers=tuple(
                Caller(name=f'c{index}', plan=f'p{index}')
                for index, _ in enumerate(weights)
            ),
        ),
        allowances=Allowances(
            allowances=tuple(
                Allowance(
                    plan=f'p{index}',
                    service='catalogue',
                    rate_per_s=rate_per_s,
                    burst_s=burst_s,
                )
                for index, _ in enumerate(weights)
            ),
        ),
    )


class FakeTransport(Transport):
    """Calls peers of a shared network in memory.

    ``call_outcome`` returns for each call how many copies of the message the
    peer handles, and whether the reply arrives. Message and reply each take
    ``delay_s``; the second copy arrives after the caller has its reply.
    """

    def __init__(self, name: str, network: dict[str, 'FakeTransport']) -> None:
        super().__init__()
        self.name = name
        self.network = network
        self.delay_s: float = 0
        self.copies: list[asyncio.Task[Message]] = []
        self.call_outcome: Callable[[str, str], tuple[int, bool]] = lambda *_: (
            1,
            True,
        )
        network[name] = self

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        copies, reply_arrives = self.call_outcome(self.name, peer)
        delay_s = self.delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        reply: Message | None = None
        if copies:
            reply = await self._deliver(peer, msg)
        if copies > 1:
            second = self._deliver(peer, msg, 3 * delay_s)
            self.copies.append(asyncio.create_task(second))
        if delay_s:
            await asyncio.sleep(delay_s)
        timed_out = 2 * delay_s > timeout_s
        if reply is None or timed_out or not reply_arrives:
            return Failure(TransportError(peer, 'timeout'))
        return Success(reply)

    async def _deliver(
        self,
        peer: str,
        msg: Message,
        delay_s: float = 0,
    ) -> Message:
        if delay_s:
            await asyncio.sleep(delay_s)
        return await self.network[peer].handle(ReceivedMessage(self.name, msg))


class FakeSlot(Slot):
    """A slot that is free again at its source when it is released."""

    def __init__(self, source: 'FakeSlots', service: str, name: str) -> None:
        self._source = source
        self._service = service
        self._target = Target(
            name=name,
            service=service,
            domain='d1',
            host='127.0.0.1',
            port=1,
        )
        self.outcome: SlotOutcome | None = None

    @property
    def target(self) -> Target:
        return self._target

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self._source.free(self._service, self._target.name)


class FakeSlots(SlotSource):
    """Slots of targets t0, t1... of one service, one slot each."""

    def __init__(self, service: str = 'catalogue', slots: int = 2) -> None:
        self.usable = {service: slots}
        self.in_use: list[str] = []
        self.granted = 0
        self._listeners: list[Callable[[str], None]] = []

    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        names = {f't{index}' for index in range(self.usable_slots(service))}
        free_names = sorted(names - exclude - set(self.in_use))
        if not free_names:
            return None
        self.in_use.append(free_names[0])
        self.granted += 1
        return FakeSlot(self, service, free_names[0])

    def usable_slots(self, service: str) -> int:
        return self.usable.get(service, 0)

    def free_slots(self, service: str) -> int:
        return self.usable_slots(service) - len(self.in_use)

    def on_free(self, listener: Callable[[str], None]) -> None:
        self._listeners.append(listener)

    def free(self, service: str, name: str) -> None:
        self.in_use.remove(name)
        for listener in self._listeners:
            listener(service)


class AdmissionRig:
    """Admission with fake slots, on the clock of the event loop."""

    def __init__(
        self,
        slots: int = 2,
        weights: tuple[float, ...] = (1,),
        rate_per_s: float = 10000,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or LoopClock()
        self.slots = FakeSlots(slots=slots)
        self.in_force = ConfigInForce()
        self.in_force.replace_if_newer(config_of(1, rate_per_s, 2, weights))
        self.weights = weights
        self.rates = RateLimiter(self.clock, self.in_force, 1)
        capacity = ObservedCapacity(example_topology(), 'gogledd')
        self.shift = ShiftLimiter(self.clock, self.in_force, capacity, 3)
        self.admission = Admission(
            self.clock,
            self.slots,
            self.rates,
            self.shift,
            'gogledd',
        )

    def request(
        self,
        caller: int = 0,
        deadline_s: float = 5,
        **fields: Any,
    ) -> AdmissionRequest:
        values: dict[str, Any] = {
            'service': 'catalogue',
            'caller': f'c{caller}',
            'plan': f'p{caller}',
            'plan_weight': self.weights[caller],
            'deadline_at': self.clock.now() + deadline_s,
            'origin_region': 'gogledd',
        }
        return AdmissionRequest(**(values | fields))


class RateFleet:
    """Entry instances e0, e1... that share a clock and a network."""

    def __init__(
        self,
        size: int,
        rate_per_s: float = 80,
        burst_s: float = 2,
        calls_per_s: float = 5,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or ManualClock()
        self.network: dict[str, FakeTransport] = {}
        self.cfg = config_of(1, rate_per_s, burst_s)
        self.calls_per_s = calls_per_s
        self.rate_per_s = rate_per_s
        self._level: float = 0
        self._level_at: float = 0
        self.names = [f'e{index}' for index in range(size)]
        self.in_force: dict[str, ConfigInForce] = {}
        self.limiters: dict[str, RateLimiter] = {}
        self.borrowers: dict[str, Borrower] = {}
        self.admitted: list[tuple[float, float]] = []
        for name in self.names:
            self.start(name, '1')

    def start(self, name: str, incarnation: str) -> None:
        """Start an instance, or restart it with empty memory."""
        self.in_force[name] = ConfigInForce()
        self.in_force[name].replace_if_newer(self.cfg)
        limiter = RateLimiter(self.clock, self.in_force[name], len(self.names))
        self.limiters[name] = limiter
        self.borrowers[name] = Borrower(
            limiter,
            FakeTransport(name, self.network),
            self.clock,
            tuple(peer for peer in self.names if peer != name),
            incarnation,
            self.calls_per_s,
        )

    def send(self, name: str, cost: float = 1) -> None:
        """Send a request and record it if it is admitted."""
        if self.limiters[name].try_charge('c0', 'catalogue', cost):
            self.admitted.append((self.clock.now(), cost))
            self._update_level(self.rate_per_s)
            self._level += cost

    def spendable_tokens(self) -> float:
        """Return the tokens that all instances together can still spend.

        These are the tokens in the buckets, and those that borrowers have
        yet to receive from loans.
        """
        now = self.clock.now()
        total: float = 0
        for limiter in self.limiters.values():
            bucket = limiter.bucket(('c0', 'catalogue'))
            if bucket is None:
                continue
            bucket.settle(now)
            total += bucket._tokens + sum(
                loan.rate_per_s * max(loan.ends_at - now, 0)
                for loan in bucket._borrowed
            )
        return total

    def excess_if_all_spent(self, rate: float, burst: float) -> float:
        """Return the excess of a window if all tokens were spent now.

        :param rate: tokens per second over all instances.
        :param burst: burst in tokens over all instances.
        """
        self._update_level(rate)
        return self.spendable_tokens() + self._level - burst

    def _update_level(self, rate: float) -> None:
        """Lower the level of the leaky bucket of all admitted requests."""
        now = self.clock.now()
        self._level = max(self._level - (now - self._level_at) * rate, 0)
        self._level_at = now

    def restart_record(self, rate: float) -> None:
        """Drop the record of admitted requests when another rate applies."""
        self.admitted.clear()
        self.rate_per_s = rate
        self._level = 0
        self._level_at = self.clock.now()

    def max_excess(
        self,
        rate: float,
        burst: float,
        since: float = 0,
    ) -> float:
        """Return the most by which any window exceeds rate x window + burst.

        :param rate: tokens per second.
        :param burst: burst in tokens.
        :param since: time from which admitted requests count.
        """
        excess, level = -burst, 0.0
        last_at: float | None = None
        # The level of a leaky bucket exceeds the burst exactly if some
        # window exceeds rate x window + burst.
        for at, cost in self.admitted:
            if at < since:
                continue
            if last_at is not None:
                level = max(level - (at - last_at) * rate, 0)
            level, last_at = level + cost, at
            excess = max(excess, level - burst)
        return excess

    def send_load(
        self,
        names: list[str],
        seconds: float,
        per_s: float,
        seed: int = 1,
    ) -> float:
        """Send requests to some instances; return the admitted rate.

        :param names: the instances.
        :param seconds: duration.
        :param per_s: requests per second to each instance.
        :param seed: seed of the phases of their calls for loans.
        """
        rng = random.Random(seed)
        step_s = 0.01
        next_call_s = {name: rng.random() for name in self.names}
        admitted_before = len(self.admitted)
        clock = self.clock
        assert isinstance(clock, ManualClock)
        for _ in range(int(seconds / step_s)):
            clock.advance(step_s)
            for name in names:
                for _ in range(int(per_s * step_s)):
                    self.send(name)
                next_call_s[name] -= step_s
                if next_call_s[name] <= 0:
                    next_call_s[name] = 1 / self.calls_per_s
                    asyncio.run(self.borrowers[name].borrow_once())
        return (len(self.admitted) - admitted_before) / seconds

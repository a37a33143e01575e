"""Builders of test data for admission."""

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
    """Return a configuration with callers c0, c1... on a plan each."""
    return Configuration(
        version=version,
        plans=Plans(
            plans=tuple(
                Plan(name=f'p{turn}', weight=weight)
                for turn, weight in enumerate(weights)
            ),
            callers=tuple(
                Caller(name=f'c{turn}', plan=f'p{turn}')
                for turn, _ in enumerate(weights)
            ),
        ),
        allowances=Allowances(
            allowances=tuple(
                Allowance(
                    plan=f'p{turn}',
                    service='catalogue',
                    rate_per_s=rate_per_s,
                    burst_s=burst_s,
                )
                for turn, _ in enumerate(weights)
            ),
        ),
    )


class FakeTransport(Transport):
    """Calls peers of a shared network in memory.

    ``fate`` decides about each call: how many copies the peer handles, and
    whether the reply arrives. Request and reply each take ``delay_s``; the
    second copy arrives after the caller has its reply.
    """

    def __init__(self, name: str, network: dict[str, 'FakeTransport']) -> None:
        super().__init__()
        self.name = name
        self.network = network
        self.delay_s: float = 0
        self.copies: list[asyncio.Task[Message]] = []
        self.fate: Callable[[str, str], tuple[int, bool]] = lambda *_: (1, True)
        network[name] = self

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        copies, arrives = self.fate(self.name, peer)
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
        late = 2 * delay_s > timeout_s
        if reply is None or late or not arrives:
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
    """A slot that returns to its source when it is released."""

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
            self._source.put_back(self._service, self._target.name)


class FakeSlots(SlotSource):
    """Slots of targets t0, t1... of one service; counts those in use."""

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
        names = {f't{turn}' for turn in range(self.usable_slots(service))}
        free = sorted(names - exclude - set(self.in_use))
        if not free:
            return None
        self.in_use.append(free[0])
        self.granted += 1
        return FakeSlot(self, service, free[0])

    def usable_slots(self, service: str) -> int:
        return self.usable.get(service, 0)

    def free_slots(self, service: str) -> int:
        return self.usable_slots(service) - len(self.in_use)

    def on_free(self, listener: Callable[[str], None]) -> None:
        self._listeners.append(listener)

    def put_back(self, service: str, name: str) -> None:
        self.in_use.remove(name)
        for listener in self._listeners:
            listener(service)


class AdmissionRig:
    """An admission with fake slots, on the time of the event loop."""

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
    """Several instances on one clock and one network."""

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
        self._leaky: float = 0
        self._leaked_at: float = 0
        self.names = [f'e{turn}' for turn in range(size)]
        self.in_force: dict[str, ConfigInForce] = {}
        self.shares: dict[str, RateLimiter] = {}
        self.borrowers: dict[str, Borrower] = {}
        self.admitted: list[tuple[float, float]] = []
        for name in self.names:
            self.start(name, '1')

    def start(self, name: str, incarnation: str) -> None:
        """Start an instance, or restart it without its memory."""
        self.in_force[name] = ConfigInForce()
        self.in_force[name].replace_if_newer(self.cfg)
        shares = RateLimiter(self.clock, self.in_force[name], len(self.names))
        self.shares[name] = shares
        self.borrowers[name] = Borrower(
            shares,
            FakeTransport(name, self.network),
            self.clock,
            tuple(peer for peer in self.names if peer != name),
            incarnation,
            self.calls_per_s,
        )

    def send(self, name: str, cost: float = 1) -> None:
        """Offer a request; admitted ones are recorded."""
        if self.shares[name].try_charge('c0', 'catalogue', cost):
            self.admitted.append((self.clock.now(), cost))
            self._leak(self.rate_per_s)
            self._leaky += cost

    def level(self) -> float:
        """Return what all instances could admit at this moment.

        Tokens held, and loans that are still to be paid out.
        """
        now = self.clock.now()
        total: float = 0
        for shares in self.shares.values():
            bucket = shares.bucket(('c0', 'catalogue'))
            if bucket is None:
                continue
            bucket.settle(now)
            total += bucket._tokens + sum(
                loan.rate_per_s * max(loan.ends_at - now, 0)
                for loan in bucket._borrowed
            )
        return total

    def excess_if_drained(self, rate: float, burst: float) -> float:
        """Return the excess of a window if all tokens were used now.

        :param rate: rate that holds over all instances.
        :param burst: burst that holds over all instances.
        """
        self._leak(rate)
        return self.level() + self._leaky - burst

    def _leak(self, rate: float) -> None:
        now = self.clock.now()
        self._leaky = max(self._leaky - (now - self._leaked_at) * rate, 0)
        self._leaked_at = now

    def forget(self, rate: float) -> None:
        """Forget what was admitted, when another rate starts to hold."""
        self.admitted.clear()
        self.rate_per_s = rate
        self._leaky = 0
        self._leaked_at = self.clock.now()

    def worst_excess(
        self,
        rate: float,
        burst: float,
        since: float = 0,
    ) -> float:
        """Return by how much a window exceeds its bound at most."""
        worst, potential = -burst, 0.0
        last: float | None = None
        # The level of a virtual bucket that leaks at the rate: it exceeds
        # the burst exactly if some window exceeds rate x window + burst.
        for at, cost in self.admitted:
            if at < since:
                continue
            if last is not None:
                potential = max(potential - (at - last) * rate, 0)
            potential, last = potential + cost, at
            worst = max(worst, potential - burst)
        return worst

    def drive(
        self,
        names: list[str],
        seconds: float,
        per_s: float,
        seed: int = 1,
    ) -> float:
        """Offer a load at some instances; return the admitted rate."""
        rng = random.Random(seed)
        step = 0.01
        next_call = {name: rng.random() for name in self.names}
        before = len(self.admitted)
        clock = self.clock
        assert isinstance(clock, ManualClock)
        for _ in range(int(seconds / step)):
            clock.advance(step)
            for name in names:
                for _ in range(int(per_s * step)):
                    self.send(name)
                next_call[name] -= step
                if next_call[name] <= 0:
                    next_call[name] = 1 / self.calls_per_s
                    asyncio.run(self.borrowers[name].borrow_once())
        return (len(self.admitted) - before) / seconds

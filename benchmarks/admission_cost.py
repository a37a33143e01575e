"""Measures time and memory that admission takes per request.

Prints JSON. Run with ``PYTHONPATH=src python -m benchmarks.admission_cost``.
"""

import asyncio
import json
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

from cuminhoist.admission import Admission, AdmissionRequest
from cuminhoist.clock import SystemClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Configuration,
    Plan,
    Plans,
)
from cuminhoist.fairqueue import FairQueue, QueuedRequest
from cuminhoist.rates import RateLimiter
from cuminhoist.settings import Target
from cuminhoist.shift import CapacitySource, ShiftLimiter
from cuminhoist.slots import Slot, SlotOutcome, SlotSource

CALLS_PER_ROUND = 20_000
ROUNDS = 7
CALLERS = 1000
QUEUED_REQUESTS = 2000
SERVICE = 'catalogue'
#: So high that no request is refused for its rate.
RATE_PER_S = 1e9
DEADLINE_S = 60


class _SingleSlot(Slot):
    """The only slot of its source."""

    def __init__(self, source: '_SingleSlotSource') -> None:
        self._source = source

    @property
    def target(self) -> Target:
        """The target that the slot belongs to."""
        raise NotImplementedError

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """Free the slot and notify the listeners.

        :param outcome: not used.
        :param latency_s: not used.
        """
        self._source.free = True
        for listener in self._source.listeners:
            listener(SERVICE)


class _SingleSlotSource(SlotSource):
    """A slot source with a single slot."""

    def __init__(self) -> None:
        self.free = True
        self.listeners: list[Callable[[str], None]] = []

    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        """Return the slot if it is free.

        :param service: name of the service.
        :param deadline_at: not used.
        :param exclude: not used.
        """
        if not self.free:
            return None
        self.free = False
        return _SingleSlot(self)

    def usable_slots(self, service: str) -> int:
        """Return the number of slots.

        :param service: name of the service.
        """
        return 1

    def free_slots(self, service: str) -> int:
        """Return the number of free slots.

        :param service: name of the service.
        """
        return int(self.free)

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener when the slot becomes free.

        :param listener: called with the name of the service.
        """
        self.listeners.append(listener)


class _UnlimitedCapacity(CapacitySource):
    """Capacity of a region that never limits a shift."""

    def requests_per_s(self, service: str) -> float:
        """Return the capacity, in requests a second.

        :param service: name of the service.
        """
        return RATE_PER_S


def _config() -> Configuration:
    callers = tuple(
        Caller(name=_caller_name(number), plan='gold')  # type: ignore[arg-type]
        for number in range(CALLERS)
    )
    return Configuration(
        version=1,
        plans=Plans(
            plans=(Plan(name='gold'),),  # type: ignore[arg-type]
            callers=callers,
        ),
        allowances=Allowances(
            allowances=(
                Allowance(
                    plan='gold',  # type: ignore[arg-type]
                    service=SERVICE,  # type: ignore[arg-type]
                    rate_per_s=RATE_PER_S,
                ),
            ),
        ),
    )


def _caller_name(number: int) -> str:
    return f'caller-{number}'


class Bench:
    """An admission with a single slot, and the operations to measure."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.in_force = ConfigInForce()
        self.in_force.replace_if_newer(_config())
        self.slots = _SingleSlotSource()
        self.rates = RateLimiter(self.clock, self.in_force, 1)
        shift = ShiftLimiter(self.clock, self.in_force, _UnlimitedCapacity(), 1)
        self.admission = Admission(
            self.clock,
            self.slots,
            self.rates,
            shift,
            'north',
        )

    def request(self, number: int, origin: str = 'north') -> AdmissionRequest:
        """Return a request of one of the callers.

        :param number: number of the request; it selects the caller.
        :param origin: home region of the request.
        """
        return AdmissionRequest(
            service=SERVICE,
            caller=_caller_name(number % CALLERS),
            plan='gold',
            deadline_at=self.clock.now() + DEADLINE_S,
            origin_region=origin,
        )

    async def admit(self, number: int) -> None:
        """Admit a request that stays in its home region and release its slot.

        :param number: number of the request; it selects the caller.
        """
        admitted = await self.admission.admit(self.request(number))
        admitted.unwrap().release(SlotOutcome.answered, 0)

    async def admit_shifted(self, number: int) -> None:
        """Admit a shifted request and release its slot.

        :param number: number of the request; it selects the caller.
        """
        req = self.request(number, 'south')
        admitted = await self.admission.admit(req)
        admitted.unwrap().release(SlotOutcome.answered, 0)

    async def queued_us(self) -> float:
        """Return the microseconds per request when all queue for the slot."""
        started = time.perf_counter()
        await asyncio.gather(
            *(self.admit(number) for number in range(QUEUED_REQUESTS))
        )
        return (time.perf_counter() - started) / QUEUED_REQUESTS * 1e6


async def bytes_per_waiting_admit() -> float:
    """Return the bytes of a queued request with its task and future."""
    bench = Bench()
    occupied = (await bench.admission.admit(bench.request(0))).unwrap()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tasks = [
        asyncio.create_task(bench.admit(number))
        for number in range(QUEUED_REQUESTS)
    ]
    await asyncio.sleep(0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    occupied.release(SlotOutcome.answered, 0)
    await asyncio.gather(*tasks)
    return (after - before) / QUEUED_REQUESTS


async def do_nothing(number: int) -> None:
    """Do nothing; its cost is the reference for the others.

    :param number: not used.
    """


async def per_call_us(call: Callable[[int], Awaitable[None]]) -> float:
    """Return the time of a call in microseconds, the shortest of all rounds.

    :param call: the call to measure.
    """
    shortest_s = float('inf')
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for number in range(CALLS_PER_ROUND):
            await call(number)
        shortest_s = min(shortest_s, time.perf_counter() - started)
    return shortest_s / CALLS_PER_ROUND * 1e6


def bytes_per(count: int, build: Callable[[], Any]) -> float:
    """Return the memory per item, in bytes.

    :param count: number of items.
    :param build: builds the items and returns an object that contains them.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    container = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del container
    return (after - before) / count


def _full_queue() -> FairQueue[None]:
    queue: FairQueue[None] = FairQueue(
        SystemClock(), QUEUED_REQUESTS, QUEUED_REQUESTS
    )
    for number in range(QUEUED_REQUESTS):
        entry = QueuedRequest(_caller_name(number % 10), 1, number + 1e9, None)
        queue.push(entry, 1, lambda _: None)
    return queue


def _filled_rate_limiter() -> RateLimiter:
    bench = Bench()
    tracemalloc.clear_traces()
    for number in range(CALLERS):
        bench.rates.try_charge(_caller_name(number), SERVICE, 1)
    return bench.rates


async def measure() -> dict[str, float]:
    """Return all figures by name."""
    bench = Bench()
    await asyncio.sleep(0.01)
    base = await per_call_us(do_nothing)
    admit = await per_call_us(bench.admit)
    shifted = await per_call_us(bench.admit_shifted)
    return {
        'empty_coroutine_us': base,
        'admit_us': admit,
        'admit_per_s': 1e6 / admit,
        'admit_to_empty': admit / base,
        'admit_shifted_us': shifted,
        'admit_queued_us': await bench.queued_us(),
        'bytes_per_queued_entry': bytes_per(QUEUED_REQUESTS, _full_queue),
        'bytes_per_waiting_admit': await bytes_per_waiting_admit(),
        'bytes_per_rate_bucket': bytes_per(CALLERS, _filled_rate_limiter),
    }


def main() -> None:
    """Measure and print the figures as JSON."""
    figures = asyncio.run(measure())
    rounded = {name: round(value, 2) for name, value in figures.items()}
    print(json.dumps(rounded, indent=2))


if __name__ == '__main__':
    main()

"""Cost of admission: time per request, and memory. Prints JSON.

Run with ``PYTHONPATH=src python -m benchmarks.admission_cost``.
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

CALLS = 20_000
ROUNDS = 7
CALLERS = 1000
QUEUED = 2000
SERVICE = 'catalogue'
RATE_PER_S = 1e9
DEADLINE_S = 60


class _OneSlot(Slot):
    """The only slot of the source."""

    def __init__(self, source: '_Slots') -> None:
        self._source = source

    @property
    def target(self) -> Target:
        """The target that the slot belongs to."""
        raise NotImplementedError

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """End the use of the slot.

        :param outcome: how it ended.
        :param latency_s: time from dispatch to the end.
        """
        self._source.free = True
        for listener in self._source.listeners:
            listener(SERVICE)


class _Slots(SlotSource):
    """A source with one slot."""

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
        return _OneSlot(self)

    def usable_slots(self, service: str) -> int:
        """Return how many slots there are.

        :param service: name of the service.
        """
        return 1

    def free_slots(self, service: str) -> int:
        """Return how many slots are free.

        :param service: name of the service.
        """
        return int(self.free)

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener when the slot becomes free.

        :param listener: called with the name of the service.
        """
        self.listeners.append(listener)


class _Capacity(CapacitySource):
    """A region with much capacity."""

    def requests_per_s(self, service: str) -> float:
        """Return the capacity.

        :param service: name of the service.
        """
        return RATE_PER_S


def _config() -> Configuration:
    callers = tuple(
        Caller(name=_name(turn), plan='gold')  # type: ignore[arg-type]
        for turn in range(CALLERS)
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


def _name(turn: int) -> str:
    return f'caller-{turn}'


class Bench:
    """An admission with one slot, and what is measured on it."""

    def __init__(self) -> None:
        self.clock = SystemClock()
        self.in_force = ConfigInForce()
        self.in_force.replace_if_newer(_config())
        self.slots = _Slots()
        self.rates = RateLimiter(self.clock, self.in_force, 1)
        shift = ShiftLimiter(self.clock, self.in_force, _Capacity(), 1)
        self.admission = Admission(
            self.clock,
            self.slots,
            self.rates,
            shift,
            'north',
        )

    def request(self, turn: int, origin: str = 'north') -> AdmissionRequest:
        """Return a request of one of the callers.

        :param turn: chooses the caller.
        :param origin: home region of the request.
        """
        return AdmissionRequest(
            service=SERVICE,
            caller=_name(turn % CALLERS),
            plan='gold',
            deadline_at=self.clock.now() + DEADLINE_S,
            origin_region=origin,
        )

    async def admit(self, turn: int) -> None:
        """Admit a request of the own region.

        :param turn: chooses the caller.
        """
        admitted = await self.admission.admit(self.request(turn))
        admitted.unwrap().release(SlotOutcome.answered, 0)

    async def admit_shifted(self, turn: int) -> None:
        """Admit a request of another region.

        :param turn: chooses the caller.
        """
        req = self.request(turn, 'south')
        admitted = await self.admission.admit(req)
        admitted.unwrap().release(SlotOutcome.answered, 0)

    async def queued(self) -> float:
        """Return the microseconds of a request that waits for its slot."""
        started = time.perf_counter()
        await asyncio.gather(*(self.admit(turn) for turn in range(QUEUED)))
        return (time.perf_counter() - started) / QUEUED * 1e6


async def bytes_per_waiting_admit() -> float:
    """Return the memory of a waiting request with its task and future."""
    bench = Bench()
    held = (await bench.admission.admit(bench.request(0))).unwrap()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    tasks = [asyncio.create_task(bench.admit(turn)) for turn in range(QUEUED)]
    await asyncio.sleep(0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    held.release(SlotOutcome.answered, 0)
    await asyncio.gather(*tasks)
    return (after - before) / QUEUED


async def empty(turn: int) -> None:
    """Do nothing, as the base of comparison.

    :param turn: not used.
    """


async def per_call_us(call: Callable[[int], Awaitable[None]]) -> float:
    """Return the shortest of several measurements of a call.

    :param call: what is measured.
    """
    best = float('inf')
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for turn in range(CALLS):
            await call(turn)
        best = min(best, time.perf_counter() - started)
    return best / CALLS * 1e6


def bytes_per(count: int, build: Callable[[], Any]) -> float:
    """Return the memory that something takes, divided by a count.

    :param count: number of items that are built.
    :param build: builds them and returns what holds them.
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    held = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return (after - before) / count


def _full_queue() -> FairQueue[None]:
    queue: FairQueue[None] = FairQueue(SystemClock(), QUEUED, QUEUED)
    for turn in range(QUEUED):
        entry = QueuedRequest(_name(turn % 10), 1, turn + 1e9, None)
        queue.push(entry, 1, lambda _: None)
    return queue


def _used_buckets() -> RateLimiter:
    bench = Bench()
    tracemalloc.clear_traces()
    for turn in range(CALLERS):
        bench.rates.try_charge(_name(turn), SERVICE, 1)
    return bench.rates


async def measure() -> dict[str, float]:
    """Return all figures."""
    bench = Bench()
    await asyncio.sleep(0.01)
    base = await per_call_us(empty)
    admit = await per_call_us(bench.admit)
    shifted = await per_call_us(bench.admit_shifted)
    return {
        'empty_coroutine_us': base,
        'admit_us': admit,
        'admit_per_s': 1e6 / admit,
        'admit_to_empty': admit / base,
        'admit_shifted_us': shifted,
        'admit_queued_us': await bench.queued(),
        'bytes_per_queued_entry': bytes_per(QUEUED, _full_queue),
        'bytes_per_waiting_admit': await bytes_per_waiting_admit(),
        'bytes_per_rate_bucket': bytes_per(CALLERS, _used_buckets),
    }


def main() -> None:
    """Print the figures as JSON."""
    figures = asyncio.run(measure())
    rounded = {name: round(value, 2) for name, value in figures.items()}
    print(json.dumps(rounded, indent=2))


if __name__ == '__main__':
    main()

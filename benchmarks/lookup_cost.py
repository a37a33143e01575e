"""Measures the time of a look-up in the process by size of the deployment."""

import time

import msgspec

from cuminhoist.blocks import BlockMap
from cuminhoist.clock import SystemClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.lookup import DrainPlan, EntryView, Lookup

from .synthetic import PLANNED, SERVICE, TODAY, Size, build_topology

CALLERS = 2000


class LookupCost(msgspec.Struct, frozen=True):
    """Mean time of one look-up at one size of the deployment.

    :param first_us: first pass over the callers, which includes the first
        look-up of each bucket of callers.
    :param repeated_us: second pass over the callers.
    """

    domains: int
    entries: int
    first_us: float
    repeated_us: float


class _AllUsable(EntryView):
    def is_usable(self, name: str) -> bool:
        """Return True."""
        return True

    def ticket_of(self, name: str) -> str:
        """Return a ticket of realistic length."""
        return f'{name}.0123456789ab.1'


def measure(size: Size) -> LookupCost:
    """Measure look-ups of many callers.

    :param size: size of the deployment.
    """
    topology = build_topology(size)
    lookup = Lookup(
        topology,
        topology.entry_instances()[0],
        BlockMap(),
        _AllUsable(),
        DrainPlan(ConfigInForce(), SystemClock()),
    )
    return LookupCost(
        size.domains,
        size.domains * size.entries_per_domain,
        _mean_lookup_us(lookup),
        _mean_lookup_us(lookup),
    )


def _mean_lookup_us(lookup: Lookup) -> float:
    started = time.perf_counter()
    for number in range(CALLERS):
        lookup.find(SERVICE, f'caller-{number}', '')
    elapsed_s = time.perf_counter() - started
    return round(elapsed_s / CALLERS * 1e6, 1)


def main() -> tuple[LookupCost, ...]:
    """Return the cost at today's size and at that of the two-year plan."""
    return measure(TODAY), measure(PLANNED)


if __name__ == '__main__':
    print(msgspec.json.encode(main()).decode())  # noqa: WPS421

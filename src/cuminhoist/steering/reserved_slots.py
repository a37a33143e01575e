"""Computes which slots a region reserves for callers of other regions.

Some requests may not run in the region of their callers: their route or
workspace names other regions, or the region has no targets left. Lending takes
demand as free to run anywhere, so that a region lends only what it has to
spare. These requests would get no slot then although some are idle. A region
therefore reserves slots for them as it does for its own callers, and in the
same proportion once both need more than it has. What its own callers miss
after that is borrowed from other regions as usual.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from .demand import Demand, Homes

#: Headroom that a region keeps above a mean demand, as a multiple of the
#: square root of the demand. With random arrivals this makes waits rare.
HEADROOM_ROOTS = 2.0
#: A lender whose borrowers need fewer slots together reserves none, because a
#: fraction would cost it a whole one. Each may run one request at a time there.
MIN_RESERVED_DEMAND = 0.25

#: Slots by lender and borrower.
Loans = Mapping[tuple[str, str], float]
#: Mean demand in slots by borrower, for each lender.
Needs = Mapping[str, Mapping[str, float]]


class ServiceDemand(msgspec.Struct, frozen=True):
    """Demand of all regions for slots of one service.

    :param own: slots by region that requests of its callers keep busy which
        may run there.
    :param elsewhere: slots by region and homes that requests of its callers
        keep busy which may run in other regions only; homes are empty for all
        other regions.
    """

    own: Mapping[str, float]
    elsewhere: Mapping[tuple[str, Homes], float]


def split_demand(
    own_slots: Mapping[str, float],
    measured: Iterable[Demand],
    regions: Iterable[str],
    known_homes: Iterable[Homes] = (),
) -> ServiceDemand:
    """Separate the demand that a region cannot serve itself.

    :param own_slots: slots of the targets of each region.
    :param measured: measured demand of a service by region.
    :param regions: all regions.
    :param known_homes: regions that the configuration allows for requests to
        the service, also if there are none yet.
    """
    own: dict[str, float] = {}
    elsewhere: dict[tuple[str, Homes], float] = {
        (region, homes): 0
        for region in regions
        for homes in (frozenset[str](), *known_homes)
        if not _may_stay(region, homes, own_slots)
    }
    for demand in measured:
        region = demand.region
        parts = {
            frozenset(part.regions): part.slots for part in demand.by_homes
        }
        parts[frozenset()] = max(demand.slots - sum(parts.values()), 0)
        for homes, slots in parts.items():
            if _may_stay(region, homes, own_slots):
                own[region] = own.get(region, 0) + slots
            else:
                elsewhere[region, homes] = slots
    return ServiceDemand(own, elsewhere)


def needs_by_lender(
    own_slots: Mapping[str, float], demand: ServiceDemand
) -> Needs:
    """Return what each region needs at the regions that may serve it.

    A region that has not asked for anything yet needs 0 slots there.

    :param own_slots: slots of the targets of each region.
    :param demand: demand of all regions.
    """
    needs: dict[str, dict[str, float]] = {}
    for (borrower, homes), slots in demand.elsewhere.items():
        fractions = _fractions(borrower, homes, own_slots, demand.own)
        for lender, fraction in fractions.items():
            asked = needs.setdefault(lender, {})
            asked[borrower] = asked.get(borrower, 0) + slots * fraction
    return needs


def reserved_slots(
    own_slots: Mapping[str, float],
    own_demand: Mapping[str, float],
    needs: Needs,
) -> dict[tuple[str, str], float]:
    """Return the reserved slots by lender and borrower.

    :param own_slots: slots of the targets of each region.
    :param own_demand: slots that a region's callers keep busy in it.
    :param needs: needs of other regions.
    """
    reserved: dict[tuple[str, str], float] = {}
    for lender, asked in needs.items():
        shares = _shares(own_slots[lender], own_demand.get(lender, 0), asked)
        for borrower, slots in shares.items():
            reserved[lender, borrower] = slots
    return reserved


def _may_stay(
    region: str, homes: Homes, own_slots: Mapping[str, float]
) -> bool:
    """Tell whether requests of a region may run at its own targets."""
    return own_slots.get(region, 0) > 0 and (not homes or region in homes)


def _fractions(
    borrower: str,
    homes: Homes,
    own_slots: Mapping[str, float],
    own_demand: Mapping[str, float],
) -> dict[str, float]:
    """Return which part of a demand each lender serves, by idle slots."""
    lenders = [
        region
        for region, slots in own_slots.items()
        if slots > 0 and region != borrower and (not homes or region in homes)
    ]
    idle = {
        region: max(own_slots[region] - own_demand.get(region, 0), 0)
        for region in lenders
    }
    if not any(idle.values()):
        idle = {region: own_slots[region] for region in lenders}
    total = sum(idle.values())
    return {region: slots / total for region, slots in idle.items()}


def _shares(
    slots: float, own_demand: float, asked: Mapping[str, float]
) -> dict[str, float]:
    """Return the slots that a region reserves for each borrower."""
    if sum(asked.values()) < MIN_RESERVED_DEMAND:
        return {}
    total = own_demand + sum(asked.values())
    if total >= slots:
        return {name: slots * mean / total for name, mean in asked.items()}
    total_roots = sum(map(math.sqrt, (own_demand, *asked.values())))
    roots = min((slots - total) / total_roots, HEADROOM_ROOTS)
    return {
        name: mean + roots * math.sqrt(mean) for name, mean in asked.items()
    }

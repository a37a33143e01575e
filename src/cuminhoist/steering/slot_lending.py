"""Computes which slots each region lends to other regions.

The load peaks in one region after the other, and one region has far fewer
targets than its callers need. A region whose demand is below its own slots
lends the spare ones to regions whose demand is above theirs. The borrower may
use lent slots at any target of the lender, so that its requests go to the
targets that have cached their objects for the lender's own requests.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from .demand import Demand, Homes
from .reserved_slots import (
    HEADROOM_ROOTS,
    Loans,
    needs_by_lender,
    reserved_slots,
    split_demand,
)
from .targets import TargetEntry, TargetState
from .tracked_target import SlotPool, TrackedTarget

#: Fraction of its mean demand that a region may borrow even if its own slots
#: suffice, because its targets may not have cached all of its objects.
EXTRA_DEMAND_FRACTION = 0.5
#: Round-trip time to another region until any has been measured, in seconds.
UNMEASURED_ROUND_TRIP_S = 0.05
#: Slots of a pool in which one request at a time may run.
LEAST_SLOTS = 1e-9
#: Lower limit of the run time that scales borrowed slots, in seconds; it
#: bounds the scale for services with very short runs.
MIN_RUN_S = 0.02


class DispatchContext(msgspec.Struct, frozen=True):
    """Region and settings of a dispatcher that decide on its targets.

    :param region: region of the dispatcher.
    :param region_by_domain: region of each failure domain.
    :param drained_domains: failure domains whose targets get no requests.
    :param round_trips_s: measured round-trip times to other regions, in
        seconds.
    :param warmup_rate_by_service: requests per second that a target can take
        during its warm-up, by service.
    :param run_s_by_service: run time of requests, in seconds, by service.
    :param homes_by_service: sets of regions that the configuration allows for
        requests to a service, for each set that does not have all of them.
    """

    region: str
    region_by_domain: Mapping[str, str]
    drained_domains: frozenset[str]
    round_trips_s: Mapping[str, float]
    warmup_rate_by_service: Mapping[str, float]
    run_s_by_service: Mapping[str, float]
    homes_by_service: Mapping[str, frozenset[Homes]] = {}

    def extra_rtt_s(self, region: str) -> float:
        """Return the additional round-trip time to a region, in seconds.

        The longest measured one stands in for one that is not measured yet.

        :param region: the region.
        """
        if region == self.region:
            return 0
        longest_s = max(
            self.round_trips_s.values(), default=UNMEASURED_ROUND_TRIP_S
        )
        return self.round_trips_s.get(region, longest_s)

    def warmup_rate_limit(self, service: str) -> float:
        """Return the requests per second that a target takes in warm-up.

        :param service: service of the target.
        """
        per_s = self.warmup_rate_by_service.get(service, 0)
        return per_s if per_s > 0 else float('inf')


def usable_entries(
    entries: Iterable[TargetEntry],
    drained: frozenset[str],
) -> list[TargetEntry]:
    """Return the targets that may get requests.

    :param entries: targets of the target list.
    :param drained: failure domains whose targets get no requests.
    """
    return [
        entry
        for entry in entries
        if entry.state is TargetState.ready and entry.domain not in drained
    ]


def lent_slots(
    own: Mapping[str, float],
    demand: Mapping[str, float],
) -> dict[tuple[str, str], float]:
    """Return the lent slots by lender and borrower.

    :param own: slots of the targets of each region.
    :param demand: slots that the requests of each region keep busy.
    """
    spare: dict[str, float] = {}
    missing: dict[str, float] = {}
    roots = _affordable_headroom_roots(own, demand)
    regions = {*own, *demand}
    for region in sorted(regions):
        mean = demand.get(region, 0)
        needed = mean + roots * math.sqrt(mean)
        excess = own.get(region, 0) - needed
        spare[region] = max(excess, 0)
        missing[region] = max(-excess, 0)
    lent: dict[tuple[str, str], float] = {}
    _lend_proportionally(spare, missing, lent)
    # The remaining slots go to regions whose targets have not cached all of
    # their objects.
    requested = {
        name: EXTRA_DEMAND_FRACTION * mean for name, mean in demand.items()
    }
    _lend_proportionally(spare, requested, lent)
    return lent


def _lend_proportionally(
    spare: dict[str, float],
    requested: Mapping[str, float],
    lent: dict[tuple[str, str], float],
) -> None:
    """Lend spare slots in proportion to the requested slots.

    Reduces ``spare`` and adds to ``lent``.
    """
    total_spare = sum(spare.values())
    total_requested = sum(requested.values())
    if total_spare <= 0 or total_requested <= 0:
        return
    lent_fraction = min(total_spare, total_requested) / total_spare
    for lender, slots in tuple(spare.items()):
        others = total_requested - requested.get(lender, 0)
        if others <= 0 or slots <= 0:
            continue
        for borrower, wanted_slots in requested.items():
            if borrower != lender and wanted_slots > 0:
                lent_share = (
                    slots * lent_fraction * wanted_slots / total_requested
                )
                lent[lender, borrower] = (
                    lent.get((lender, borrower), 0) + lent_share
                )
                spare[lender] -= lent_share


def _affordable_headroom_roots(
    own: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    # When slots are scarce, all regions keep an equally reduced headroom. A
    # region never lends slots that its own mean demand needs.
    total_roots = sum(math.sqrt(mean) for mean in demand.values())
    if not total_roots:
        return HEADROOM_ROOTS
    total_spare = sum(own.values()) - sum(demand.values())
    return min(max(total_spare / total_roots, 0), HEADROOM_ROOTS)


def region_pools(
    entries: list[TargetEntry],
    measured: Iterable[Demand],
    context: DispatchContext,
    run_s: float,
) -> dict[str, SlotPool]:
    """Return the slots that one dispatcher may use in each region.

    :param entries: usable targets of one service.
    :param measured: demand for slots of the service by region.
    :param context: region and settings of the dispatcher.
    :param run_s: run time of requests of the service, in seconds.
    """
    own: dict[str, float] = {}
    for entry in entries:
        region = context.region_by_domain.get(entry.domain, '')
        own[region] = own.get(region, 0) + entry.slots
    service = entries[0].service if entries else ''
    demand = split_demand(
        own,
        measured,
        sorted({context.region, *context.region_by_domain.values()}),
        context.homes_by_service.get(service, ()),
    )
    needs = needs_by_lender(own, demand)
    reserved = reserved_slots(own, demand.own, needs)
    lent = lent_slots(_without_loans(own, reserved), demand.own)
    pools = {
        region: SlotPool(own_slots if region == context.region else 0)
        for region, own_slots in own.items()
    }
    _move_slots(pools, reserved, context, run_s)
    _move_slots(pools, lent, context, run_s)
    for lender in pools.keys() - {context.region}:
        pools[lender].is_reserved = (lender, context.region) not in lent
        if context.region in needs.get(lender, {}):
            pools[lender].slots = max(pools[lender].slots, LEAST_SLOTS)
    return pools


def _without_loans(
    own: Mapping[str, float], loans: Loans
) -> Mapping[str, float]:
    """Return the slots that are left to each lender."""
    left = dict(own)
    for (lender, _), slots in loans.items():
        left[lender] = max(left[lender] - slots, 0)
    return left


def _move_slots(
    pools: dict[str, SlotPool],
    loans: Loans,
    context: DispatchContext,
    run_s: float,
) -> None:
    """Move slots between the pools of one dispatcher.

    :param loans: slots by lender and borrower.
    """
    for (lender, borrower), slots in loans.items():
        pool = pools[lender]
        if lender == context.region:
            pool.slots = max(pool.slots - slots, 0)
        elif borrower == context.region:
            # Requests in transit to another region occupy no slot there, so
            # more of them may be open than slots are lent.
            in_transit = context.extra_rtt_s(lender) / max(run_s, MIN_RUN_S)
            pool.slots += slots * (1 + in_transit)


def make_tracked_targets(
    existing: Mapping[str, TrackedTarget],
    entries: list[TargetEntry],
    measured: Iterable[Demand],
    context: DispatchContext,
    now: float,
) -> dict[str, TrackedTarget]:
    """Return the tracked targets of one service for one dispatcher.

    :param existing: present tracked targets by name; they are reused unless
        the target has restarted.
    :param entries: usable targets of the service.
    :param measured: demand for slots of the service by region.
    :param context: region and settings of the dispatcher.
    :param now: monotonic time in seconds.
    """
    service = entries[0].service if entries else ''
    run_s = context.run_s_by_service.get(service, 0)
    pools = region_pools(entries, measured, context, run_s)
    targets: dict[str, TrackedTarget] = {}
    for entry in entries:
        region = context.region_by_domain.get(entry.domain, '')
        target = existing.get(entry.name)
        if target is None or target.entry.started_at_ms != entry.started_at_ms:
            target = TrackedTarget(entry, region)
        target.entry = entry
        target.extra_rtt_s = context.extra_rtt_s(region)
        target.slots = entry.slots
        target.pool = pools[region]
        target.pool.running += target.running
        target.warmup_rate_per_s = context.warmup_rate_limit(entry.service)
        if entry.warmup_left_s > 0:
            target.warmup_until = max(
                target.warmup_until, now + entry.warmup_left_s
            )
        targets[entry.name] = target
    return targets

"""Which targets, and how many of their slots, a region's dispatcher uses.

The load pattern that this answers: the regions peak one after the other, and
one region has far fewer targets than callers. A region whose demand is below
its own slots lends the rest to those above theirs. The borrower may use them
at any target of the lender, so that it finds each object where the lender's
own requests keep it.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from .targets import TargetEntry, TargetState
from .tracked_target import SlotPool, TrackedTarget

#: Slots that a region keeps beyond its mean demand, in terms of the square
#: root of it: with random arrivals, that many keep waiting rare.
HEADROOM_ROOTS = 2.0
#: Part of the mean demand for which a region may use slots of others even
#: with enough of its own: its targets may not hold all of its objects.
OBJECT_PART = 0.5
#: Shortest run that is reckoned with, in seconds.
MIN_RUN_S = 0.02


class DispatchContext(msgspec.Struct, frozen=True):
    """What a dispatcher knows beside the list of targets.

    :param region: its own region.
    :param region_by_domain: region of each failure domain.
    :param drained_domains: failure domains whose targets get nothing.
    :param inter_region_rtt_s: round trip to another region, in seconds.
    :param cold_rate_by_service: requests a second that a cold target
        tolerates, by service.
    :param run_s_by_service: how long requests run, in seconds, by service.
    """

    region: str
    region_by_domain: Mapping[str, str]
    drained_domains: frozenset[str]
    inter_region_rtt_s: float
    cold_rate_by_service: Mapping[str, float]
    run_s_by_service: Mapping[str, float]

    def cold_limit(self, service: str) -> float:
        """Return the requests a second that a cold target tolerates.

        :param service: service of the target.
        """
        per_s = self.cold_rate_by_service.get(service, 0)
        return per_s if per_s > 0 else float('inf')


def usable_entries(
    entries: Iterable[TargetEntry],
    drained: frozenset[str],
) -> list[TargetEntry]:
    """Return the targets that may get requests.

    :param entries: the listed targets.
    :param drained: failure domains whose targets get nothing.
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
    """Return how many slots each region lends to each other one.

    :param own: slots of each region's own targets.
    :param demand: slots that the requests of each region keep busy.
    """
    spare: dict[str, float] = {}
    missing: dict[str, float] = {}
    roots = _affordable_roots(own, demand)
    regions = {*own, *demand}
    for region in sorted(regions):
        mean = demand.get(region, 0)
        needed = mean + roots * math.sqrt(mean)
        excess = own.get(region, 0) - needed
        spare[region] = max(excess, 0)
        missing[region] = max(-excess, 0)
    lent: dict[tuple[str, str], float] = {}
    _share_out(spare, missing, lent)
    # What is left helps regions whose targets do not hold all objects.
    wishes = {name: OBJECT_PART * mean for name, mean in demand.items()}
    _share_out(spare, wishes, lent)
    return lent


def _share_out(
    spare: dict[str, float],
    wishes: Mapping[str, float],
    lent: dict[tuple[str, str], float],
) -> None:
    """Divide spare slots among regions in proportion to their wishes."""
    total_spare = sum(spare.values())
    total_wish = sum(wishes.values())
    if total_spare <= 0 or total_wish <= 0:
        return
    part = min(total_spare, total_wish) / total_spare
    for lender, slots in tuple(spare.items()):
        others = total_wish - wishes.get(lender, 0)
        if others <= 0 or slots <= 0:
            continue
        for borrower, wish in wishes.items():
            if borrower != lender and wish > 0:
                given = slots * part * wish / total_wish
                lent[lender, borrower] = lent.get((lender, borrower), 0) + given
                spare[lender] -= given


def _affordable_roots(
    own: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    # When slots are scarce, all regions keep the same smaller room, and a
    # region never lends what its own mean demand needs.
    wanted = sum(math.sqrt(mean) for mean in demand.values())
    if not wanted:
        return HEADROOM_ROOTS
    left = sum(own.values()) - sum(demand.values())
    return min(max(left / wanted, 0), HEADROOM_ROOTS)


def region_pools(
    entries: list[TargetEntry],
    demand: Mapping[str, float],
    terms: DispatchContext,
    run_s: float,
) -> dict[str, SlotPool]:
    """Return the slots that one region's dispatcher uses in each region.

    :param entries: usable targets of one service.
    :param demand: slots that the requests of each region keep busy.
    :param terms: what else the dispatcher knows.
    :param run_s: how long requests of the service run, in seconds.
    """
    own: dict[str, float] = {}
    for entry in entries:
        region = terms.region_by_domain.get(entry.domain, '')
        own[region] = own.get(region, 0) + entry.slots
    pools = {
        region: SlotPool(slots if region == terms.region else 0)
        for region, slots in own.items()
    }
    # Requests on their way to another region keep no slot busy there.
    travel = 1 + terms.inter_region_rtt_s / max(run_s, MIN_RUN_S)
    for (lender, borrower), slots in lent_slots(own, demand).items():
        pool = pools[lender]
        if lender == terms.region:
            pool.slots = max(pool.slots - slots, 0)
        elif borrower == terms.region:
            pool.slots = slots * travel
    return pools


def make_tracks(
    known: Mapping[str, TrackedTarget],
    entries: list[TargetEntry],
    demand: Mapping[str, float],
    terms: DispatchContext,
    now: float,
) -> dict[str, TrackedTarget]:
    """Return the tracks of one service for one region's dispatcher.

    :param known: present tracks by name; what they know is kept.
    :param entries: usable targets of the service.
    :param demand: slots that the requests of each region keep busy.
    :param terms: what else the dispatcher knows.
    :param now: monotonic time in seconds.
    """
    service = entries[0].service if entries else ''
    run_s = terms.run_s_by_service.get(service, 0)
    pools = region_pools(entries, demand, terms, run_s)
    tracks: dict[str, TrackedTarget] = {}
    for entry in entries:
        region = terms.region_by_domain.get(entry.domain, '')
        track = known.get(entry.name)
        if track is None or track.entry.started_at_ms != entry.started_at_ms:
            away = region != terms.region
            track = TrackedTarget(
                entry, region, terms.inter_region_rtt_s * away
            )
        track.entry = entry
        track.slots = entry.slots
        track.pool = pools[region]
        track.pool.running += track.running
        track.cold_per_s = terms.cold_limit(entry.service)
        if entry.warmup_left_s > 0:
            track.cold_until = max(track.cold_until, now + entry.warmup_left_s)
        tracks[entry.name] = track
    return tracks

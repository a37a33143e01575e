"""What a load allows at best, with all arrivals known in advance."""

import math

from .patterns import Pattern

#: Step of the integration over time, in seconds.
STEP_S = 0.1


def arrival_rate(pattern: Pattern, name: str, now: float) -> float:
    """Return the requests a second of one region's callers.

    :param pattern: the load.
    :param name: name of the region.
    :param now: time since the start, in seconds.
    """
    region = next(entry for entry in pattern.regions if entry.name == name)
    callers = pattern.callers
    angle = 2 * math.pi * (now / callers.period_s + region.phase)
    rate = region.per_s * (1 + callers.swing * math.sin(angle))
    for burst in pattern.bursts:
        inside = burst.at_s <= now < burst.at_s + burst.for_s
        if inside and burst.region in {'', name}:
            rate *= burst.factor
    return rate


def max_in_time_fraction(pattern: Pattern) -> float:
    """Return the part of the requests that could be in time.

    Every object is taken to be held wherever it is needed once any target has
    worked on it, and every slot to be used without a pause. Requests that a
    target declines come back once.

    :param pattern: the load.
    """
    return _capacity_fraction(pattern) - _unavoidable_late_fraction(pattern)


def _unavoidable_late_fraction(pattern: Pattern) -> float:
    """Return the part that is late as no target can hold its object yet.

    Work can begin on an object when the first request for it has arrived. A
    request is late that is a first one itself, or that comes so soon after
    it that work from the start and work on the held object are both late.
    Run times vary; only what is late at the mean of both is counted, and only
    as far as a run from the start is seldom short enough by chance.
    """
    work = pattern.work
    objective_s = pattern.callers.objective_s
    late_miss_fraction = 1 - _probability_below(
        objective_s / work.cold_s,
        work.spread,
    )
    gap_s = max(work.cold_s * (1 + work.warm_part) - objective_s, 0)
    requests = float(0)
    late = float(0)
    for step in range(round(pattern.length_s / STEP_S)):
        rate = (
            sum(
                arrival_rate(pattern, region.name, step * STEP_S)
                for region in pattern.regions
            )
            / work.object_count
        )
        # Part of the objects whose first request was within the gap.
        unrequested = math.exp(-requests)
        requests += rate * STEP_S
        late += unrequested - math.exp(-requests)
        late += rate * gap_s * (unrequested - math.exp(-requests))
    return late_miss_fraction * late / requests if requests else 0


def _probability_below(limit: float, spread: float) -> float:
    """Return how often a factor drawn around 1 is below a limit."""
    return 0.5 * (1 + math.erf((limit - 1) / (spread * math.sqrt(2))))


def _capacity_fraction(pattern: Pattern) -> float:
    requests = float(0)
    in_time = float(0)
    for step in range(round(pattern.length_s / STEP_S)):
        now = step * STEP_S
        rate = sum(
            arrival_rate(pattern, region.name, now)
            for region in pattern.regions
        )
        capacity = _capacity_per_s(pattern, now)
        requests += rate
        in_time += min(rate * _accepted_fraction(pattern, now), capacity)
    return in_time / requests if requests else 1


def _capacity_per_s(pattern: Pattern, now: float) -> float:
    work = pattern.work
    slots = sum(region.targets for region in pattern.regions) * work.slots
    working_fraction = float(1)
    for slow in pattern.slow:
        if slow.at_s <= now < slow.at_s + slow.for_s:
            working_fraction -= slow.part * (1 - 1 / slow.factor)
    return slots * working_fraction / (work.cold_s * work.warm_part)


def _accepted_fraction(pattern: Pattern, now: float) -> float:
    part = float(1)
    for declining in pattern.declining:
        if declining.at_s <= now < declining.at_s + declining.for_s:
            tries = 1 + pattern.callers.retries
            part = min(part, 1 - declining.part**tries)
    return part

"""Computes an upper bound for the fraction of answers in time.

The bound assumes that all arrivals are known in advance, so replays can be
compared with the best that any placement could reach.
"""

import math

from .mix import RequestMix
from .patterns import Pattern, UnevenTargets

#: Time step of the numerical integration, in seconds.
STEP_S = 0.1


def arrival_rate(pattern: Pattern, name: str, now: float) -> float:
    """Return the requests per second of the callers of one region.

    :param pattern: the load pattern.
    :param name: name of the region.
    :param now: time since the start of the pattern, in seconds.
    """
    region = next(entry for entry in pattern.regions if entry.name == name)
    callers = pattern.callers
    angle = 2 * math.pi * (now / callers.period_s + region.phase)
    rate = region.per_s * (1 + callers.swing * math.sin(angle))
    for burst in pattern.bursts:
        inside = burst.at_s <= now < burst.at_s + burst.for_s
        of_all = not (burst.request_class or burst.workspace)
        if inside and of_all and burst.region in {'', name}:
            rate *= burst.factor
    return rate * RequestMix(pattern).rate_factor(now)


def max_in_time_fraction(pattern: Pattern) -> float:
    """Return the fraction of the requests that could be answered in time.

    It is assumed that an object is cached wherever it is needed once any
    target has processed a request for it, and that slots are never idle.
    Requests that a target declines are retried as often as the pattern says.
    Leaving targets serve until they stop, and overloaded ones never get more
    requests than they run.

    :param pattern: the load pattern.
    """
    in_time = _capacity_fraction(pattern) - _unavoidable_late_fraction(pattern)
    return in_time * (1 - _late_tail_fraction(pattern))


def _late_tail_fraction(pattern: Pattern) -> float:
    """Return the fraction that is late because its run takes much longer.

    Each request runs once. A cache hit at the fastest target is assumed.
    """
    uneven = pattern.uneven
    if uneven is None:
        return 0
    hit_s = pattern.work.cold_s * pattern.work.warm_part
    shortest_s = hit_s * uneven.min_factor * uneven.tail_factor
    in_time = _probability_below(
        pattern.callers.objective_s / shortest_s, pattern.work.spread
    )
    return uneven.tail_part * (1 - in_time)


def _unavoidable_late_fraction(pattern: Pattern) -> float:
    """Return the fraction that is late because no object is cached yet.

    A target can start to cache an object when the first request for it
    arrives. That first request is late if a cache miss takes longer than the
    objective. A request soon after it is late if neither a miss of its own
    nor waiting for the first run and then a cache hit meets the objective.
    Run times vary. Lateness is computed from mean run times, and is weighted
    by the probability that the run of a cache miss exceeds the objective.
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
        # Fraction of the objects without a request so far; the decrease is
        # the fraction whose first request arrives in this step.
        unrequested = math.exp(-requests)
        requests += rate * STEP_S
        late += unrequested - math.exp(-requests)
        late += rate * gap_s * (unrequested - math.exp(-requests))
    return late_miss_fraction * late / requests if requests else 0


def _probability_below(limit: float, spread: float) -> float:
    """Return the probability that a normal factor around 1 is below a limit."""
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
    for leaving in pattern.leaving:
        if now >= leaving.at_s + leaving.stop_after_s:
            working_fraction -= leaving.part
    for overloaded in pattern.overloaded:
        if overloaded.at_s <= now < overloaded.at_s + overloaded.for_s:
            unused_fraction = 1 - overloaded.slots / work.slots
            working_fraction -= overloaded.part * unused_fraction
    speed = _mean_speed(pattern.uneven) if pattern.uneven else 1
    return slots * working_fraction * speed / (work.cold_s * work.warm_part)


def _mean_speed(uneven: UnevenTargets) -> float:
    """Return the speed of all targets relative to usual ones.

    Beyond the knee, more requests at a target get no more work done. The mean
    of the speeds is that of factors whose logarithms are spread evenly.
    """
    span = math.log(uneven.max_factor / uneven.min_factor)
    speed = float(1) / uneven.min_factor
    if span:
        speed = (1 / uneven.min_factor - 1 / uneven.max_factor) / span
    noisy = 1 - uneven.noise_part * (1 - 1 / uneven.noise_factor)
    tail = 1 + uneven.tail_part * (uneven.tail_factor - 1)
    return uneven.knee * speed * noisy / tail


def _accepted_fraction(pattern: Pattern, now: float) -> float:
    accepted = float(1)
    for declining in pattern.declining:
        if declining.at_s <= now < declining.at_s + declining.for_s:
            attempts = 1 + pattern.callers.retries
            accepted = min(accepted, 1 - declining.part**attempts)
    return accepted

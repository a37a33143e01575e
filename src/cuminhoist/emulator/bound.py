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


def best_part(pattern: Pattern) -> float:
    """Return the part of the requests that could be in time.

    Every object is taken to be held wherever it is needed, and every slot to
    be used without a pause. Requests that a target declines come back once.

    :param pattern: the load.
    """
    asked = float(0)
    good = float(0)
    for step in range(round(pattern.length_s / STEP_S)):
        now = step * STEP_S
        rate = sum(
            arrival_rate(pattern, region.name, now)
            for region in pattern.regions
        )
        capacity = _capacity(pattern, now)
        asked += rate
        good += min(rate * _accepted_part(pattern, now), capacity)
    return good / asked if asked else 1


def _capacity(pattern: Pattern, now: float) -> float:
    work = pattern.work
    slots = sum(region.targets for region in pattern.regions) * work.slots
    useful = float(1)
    for slow in pattern.slow:
        if slow.at_s <= now < slow.at_s + slow.for_s:
            useful -= slow.part * (1 - 1 / slow.factor)
    return slots * useful / (work.cold_s * work.warm_part)


def _accepted_part(pattern: Pattern, now: float) -> float:
    part = float(1)
    for declining in pattern.declining:
        if declining.at_s <= now < declining.at_s + declining.for_s:
            tries = 1 + pattern.callers.retries
            part = min(part, 1 - declining.part**tries)
    return part

"""Schedules what a load pattern does to its targets."""

import random
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from .patterns import Pattern
from .targets import EmulatedTarget

_ScheduleAt = Callable[[float, Callable[[], None]], None]
#: Chooses a fraction of all targets at random.
_Choose = Callable[[float], list[EmulatedTarget]]
#: Time, in seconds, at which a target's attribute gets a value.
_Change = tuple[float, EmulatedTarget, str, Any]


def schedule_disturbances(
    pattern: Pattern,
    targets: list[EmulatedTarget],
    rng: random.Random,
    schedule_at: _ScheduleAt,
) -> None:
    """Schedule all changes of the targets' behaviour.

    :param pattern: the load pattern.
    :param targets: all targets, in the order of their names.
    :param rng: random numbers that choose targets.
    :param schedule_at: calls a function at a simulated time in seconds.
    """

    def choose(part: float) -> list[EmulatedTarget]:
        count = round(part * len(targets))
        return rng.sample(targets, count) if count < len(targets) else targets

    for list_changes in (
        _slow,
        _declining,
        _leaving,
        _overloaded,
        _limiting,
    ):
        for due_at, target, attribute, content in list_changes(pattern, choose):
            schedule_at(due_at, partial(setattr, target, attribute, content))


def _slow(pattern: Pattern, choose: _Choose) -> Iterator[_Change]:
    for slow in pattern.slow:
        for target in choose(slow.part):
            yield slow.at_s, target, 'slowdown', slow.factor
            yield slow.at_s + slow.for_s, target, 'slowdown', float(1)


def _declining(pattern: Pattern, choose: _Choose) -> Iterator[_Change]:
    for declining in pattern.declining:
        end_s = declining.at_s + declining.for_s
        for target in choose(1):
            yield declining.at_s, target, 'declined_fraction', declining.part
            yield end_s, target, 'declined_fraction', float(0)


def _leaving(pattern: Pattern, choose: _Choose) -> Iterator[_Change]:
    for leaving in pattern.leaving:
        for target in choose(leaving.part):
            yield leaving.at_s, target, 'leaving', True
            yield leaving.at_s + leaving.stop_after_s, target, 'stopped', True
            yield leaving.at_s + leaving.silent_for_s, target, 'listed', False


def _overloaded(pattern: Pattern, choose: _Choose) -> Iterator[_Change]:
    for overloaded in pattern.overloaded:
        end_s = overloaded.at_s + overloaded.for_s
        for target in choose(overloaded.part):
            yield overloaded.at_s, target, 'overload', overloaded
            yield end_s, target, 'overload', None


def _limiting(pattern: Pattern, choose: _Choose) -> Iterator[_Change]:
    for limiting in pattern.limiting:
        end_s = limiting.at_s + limiting.for_s
        for target in choose(limiting.part):
            yield limiting.at_s, target, 'limit_per_s', limiting.per_s
            yield end_s, target, 'limit_per_s', None

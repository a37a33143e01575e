"""Schedules how the machines of emulated targets slow down for moments."""

import random
from collections.abc import Callable, Mapping

from .machines import Machine, run_time_factors
from .patterns import Pattern
from .targets import EmulatedTarget

_ScheduleAt = Callable[[float, Callable[[], None]], None]
_ChangeNoise = Callable[[EmulatedTarget, Machine, bool], None]


def add_machines(
    pattern: Pattern, targets: Mapping[str, EmulatedTarget], seed: int
) -> None:
    """Give each target a machine, if the pattern has uneven targets.

    :param pattern: the load pattern.
    :param targets: the targets by name.
    :param seed: seed of the random numbers.
    """
    uneven = pattern.uneven
    if uneven is None:
        return
    rng = random.Random(seed)  # noqa: S311
    factors = run_time_factors(uneven, len(targets), rng)
    for name, factor in zip(sorted(targets), factors, strict=True):
        targets[name].machine = Machine(uneven, factor, pattern.work.slots)


def schedule_noise(
    pattern: Pattern,
    targets: Mapping[str, EmulatedTarget],
    change: _ChangeNoise,
    schedule_at: _ScheduleAt,
    seed: int,
) -> None:
    """Schedule the times at which others use the machines.

    Lengths of these times and of those between them are exponential.

    :param pattern: the load pattern.
    :param targets: the targets by name.
    :param change: changes the noise of a machine.
    :param schedule_at: calls a function at a simulated time in seconds.
    :param seed: seed of the random numbers.
    """
    uneven = pattern.uneven
    if uneven is None or not uneven.noise_part:
        return
    rng = random.Random(seed)  # noqa: S311
    quiet_s = uneven.noise_s * (1 - uneven.noise_part) / uneven.noise_part
    ends_at = pattern.length_s + pattern.callers.left_s
    for _, target in sorted(targets.items()):
        if target.machine is None:
            continue
        at_s = float(0)
        noisy = rng.random() < uneven.noise_part
        while at_s < ends_at:
            schedule_at(at_s, _change(change, target, target.machine, noisy))
            at_s += rng.expovariate(1 / (uneven.noise_s if noisy else quiet_s))
            noisy = not noisy
        schedule_at(ends_at, _change(change, target, target.machine, False))


def _change(
    change: _ChangeNoise,
    target: EmulatedTarget,
    machine: Machine,
    noisy: bool,  # noqa: FBT001
) -> Callable[[], None]:
    return lambda: change(target, machine, noisy)

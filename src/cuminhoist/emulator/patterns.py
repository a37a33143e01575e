"""Load patterns: regions, targets, callers and what goes wrong."""

import pathlib

import msgspec
from returns.result import Result

from ..exceptions import FieldError
from ..settings import load_struct


class RegionLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One region and its callers.

    :param targets: targets in the region.
    :param per_s: mean requests a second of its callers.
    :param phase: place in the wave, as a part of its period.
    """

    name: str
    targets: int
    per_s: float
    phase: float = 0


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """The work of one request at a target.

    :param cold_s: mean time on an object that the target does not hold.
    :param warm_part: part of it on one that the target holds.
    :param spread: standard deviation as a part of the mean.
    :param object_count: how many objects there are.
    :param kept: objects that a target holds.
    :param slots: requests that a target runs at once.
    :param queue: requests that wait at a target; further ones are shed.
    """

    cold_s: float
    warm_part: float = 0.3
    spread: float = 0.15
    object_count: int = 50
    kept: int = 40
    slots: int = 3
    queue: int = 9


class Callers(msgspec.Struct, frozen=True, kw_only=True):
    """How callers ask.

    :param objective_s: an answer within this time is of full use.
    :param left_s: how long a caller waits for the final answer.
    :param retries: further requests after a refusal.
    :param swing: height of the wave, as a part of the mean.
    :param period_s: length of the wave.
    """

    objective_s: float
    left_s: float
    retries: int = 1
    swing: float = 0.55
    period_s: float = 36


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A time with more requests.

    :param factor: times as many requests.
    :param region: where; empty for everywhere.
    """

    at_s: float
    for_s: float
    factor: float
    region: str = ''


class SlowTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Targets that work longer for some time.

    :param part: part of all targets.
    :param factor: times as long.
    """

    at_s: float
    for_s: float
    part: float
    factor: float


class Declining(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which targets decline requests although they have room.

    :param part: part of the requests that are declined.
    """

    at_s: float
    for_s: float
    part: float


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A load to replay.

    :param answers: the situation that it stands for.
    :param length_s: how long requests arrive.
    :param region_s: time between two regions, one way.
    """

    name: str
    answers: str
    regions: tuple[RegionLoad, ...]
    work: Work
    callers: Callers
    length_s: float = 32
    region_s: float = 0.035
    bursts: tuple[Burst, ...] = ()
    slow: tuple[SlowTargets, ...] = ()
    declining: tuple[Declining, ...] = ()


def load_pattern(path: pathlib.Path) -> Result[Pattern, FieldError]:
    """Read a pattern from a JSON file.

    :param path: the file.
    """
    return load_struct(path, Pattern)

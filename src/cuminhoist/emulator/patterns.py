"""Load patterns: regions, targets, callers and injected faults."""

import enum
import pathlib

import msgspec
from returns.result import Result

from ..exceptions import FieldError
from ..settings import load_struct


class RegionLoad(msgspec.Struct, frozen=True, kw_only=True):
    """One region and its callers.

    :param targets: number of targets in the region.
    :param per_s: mean requests per second of its callers.
    :param phase: phase of the load wave, as a fraction of its period.
    :param entries: number of entry instances in the region.
    """

    name: str
    targets: int
    per_s: float
    phase: float = 0
    entries: int = 1


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """Run times, objects and limits of targets.

    :param cold_s: mean run time after a cache miss, in seconds.
    :param warm_part: run time after a cache hit, as a fraction of ``cold_s``.
    :param spread: standard deviation of run times, as a fraction of the mean.
    :param object_count: number of objects.
    :param kept: cache capacity of a target, in objects.
    :param slots: number of requests that a target runs concurrently.
    :param queue: number of requests that may wait at a target; more are shed.
    """

    cold_s: float
    warm_part: float = 0.3
    spread: float = 0.15
    object_count: int = 50
    kept: int = 40
    slots: int = 3
    queue: int = 9


class Callers(msgspec.Struct, frozen=True, kw_only=True):
    """Deadlines and retries of callers, and the wave of their load.

    :param objective_s: objective of a request, in seconds.
    :param left_s: how long a caller waits for the final answer, in seconds.
    :param retries: number of retries after refusals.
    :param swing: amplitude of the load wave, as a fraction of the mean.
    :param period_s: period of the load wave, in seconds.
    """

    objective_s: float
    left_s: float
    retries: int = 1
    swing: float = 0.55
    period_s: float = 36


class RequestClass(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of request, with an objective of its own.

    :param part: usual fraction of the requests.
    :param priority: rank of its requests, 0 for the most urgent.
    :param objective_s: objective of a request, in seconds.
    :param left_s: how long a caller waits for the final answer, in seconds.
    :param homes: regions that may serve its requests; empty for all.
    """

    name: str
    part: float
    priority: int
    objective_s: float
    left_s: float
    homes: tuple[str, ...] = ()


class Workspaces(msgspec.Struct, frozen=True, kw_only=True):
    """Workspaces named ``w0``, ``w1`` and so on; the first ones are large.

    :param count: number of workspaces; 0 for requests without one.
    :param large: number of large workspaces.
    :param large_factor: how many times the requests of another one each of
        them usually sends.
    """

    count: int = 0
    large: int = 0
    large_factor: float = 1


class Burst(msgspec.Struct, frozen=True, kw_only=True):
    """A period with more requests.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param factor: factor of the request rate.
    :param region: name of the region; empty for all regions.
    :param request_class: name of the request class; empty for all.
    :param workspace: name of the workspace; empty for all.
    """

    at_s: float
    for_s: float
    factor: float
    region: str = ''
    request_class: str = ''
    workspace: str = ''


class SlowTargets(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which some targets are slow.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param part: fraction of all targets that are slow.
    :param factor: factor of their run times.
    """

    at_s: float
    for_s: float
    part: float
    factor: float


class Declining(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which targets decline requests despite free slots.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param part: fraction of the requests that are declined.
    """

    at_s: float
    for_s: float
    part: float


class LeavingTargets(msgspec.Struct, frozen=True, kw_only=True):
    """Targets that say in their answers that they leave, and then stop.

    :param at_s: time of the first answer that says so, in seconds.
    :param part: fraction of all targets that leave.
    :param stop_after_s: time until they stop, in seconds.
    :param silent_for_s: time until the target list drops them, in seconds.
    """

    at_s: float
    part: float
    stop_after_s: float = 4
    silent_for_s: float = 10


class Overloaded(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which some targets run fewer requests than listed.

    Requests beyond that get a 503 with a pause, during which the target
    refuses all requests of that region.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param part: fraction of all targets that are overloaded.
    :param slots: number of requests that each of them runs concurrently.
    :param min_pause_s: shortest pause, in seconds.
    :param max_pause_s: longest pause, in seconds.
    """

    at_s: float
    for_s: float
    part: float
    slots: int = 1
    min_pause_s: float = 0.5
    max_pause_s: float = 3


class Limiting(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which some targets name a limit on their requests.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param part: fraction of all targets that name a limit.
    :param per_s: requests per second that each of them takes from all
        instances together.
    """

    at_s: float
    for_s: float
    part: float
    per_s: float


class PoisonRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that ends each target that begins to run it.

    :param at_s: time of its first try, in seconds.
    :param for_s: how long it comes again, in seconds.
    :param every_s: time between two tries, in seconds.
    :param down_s: time until a target that has ended starts again, in
        seconds.
    """

    at_s: float
    for_s: float
    every_s: float
    down_s: float


class CutConnections(enum.StrEnum):
    """What a cut does to connections between an entry instance and targets."""

    #: Open and new ones get no answer.
    hang = 'hang'
    #: Open and new ones are reset.
    reset = 'reset'
    #: Open ones work on, new ones are refused.
    refuse_new = 'refuse-new'


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """A period in which entry instances of a region reach no target.

    :param at_s: start of the period, in seconds.
    :param for_s: length of the period, in seconds.
    :param region: name of the region.
    :param entries: number of its entry instances that are cut off.
    """

    at_s: float
    for_s: float
    region: str
    entries: int
    connections: CutConnections


class UnevenTargets(msgspec.Struct, frozen=True, kw_only=True):
    """How the run times of targets differ and vary.

    :param min_factor: run time of the fastest target relative to the usual
        one.
    :param max_factor: run time of the slowest target relative to the usual
        one.
    :param knee: fraction of the slots from which run times grow in proportion
        to the number of requests that run.
    :param noise_part: fraction of the targets that are noisy at any moment,
        as others use their machines.
    :param noise_factor: factor of the run time of noisy targets.
    :param noise_s: mean time for which a target is noisy, in seconds.
    :param tail_part: fraction of the runs that take much longer.
    :param tail_factor: factor of the run time of these.
    """

    min_factor: float = 1
    max_factor: float = 1
    knee: float = 1
    noise_part: float = 0
    noise_factor: float = 2.5
    noise_s: float = 0.6
    tail_part: float = 0
    tail_factor: float = 7


class Pattern(msgspec.Struct, frozen=True, kw_only=True):
    """A load pattern to replay.

    :param answers: situation that the pattern represents.
    :param length_s: how long requests arrive, in seconds.
    :param region_s: one-way network delay between regions, in seconds.
    :param uneven: how the run times of targets differ; None for targets that
        are alike and do not tell their speed.
    :param classes: kinds of requests; empty for one kind without priority.
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
    leaving: tuple[LeavingTargets, ...] = ()
    overloaded: tuple[Overloaded, ...] = ()
    limiting: tuple[Limiting, ...] = ()
    poison: tuple[PoisonRequest, ...] = ()
    cuts: tuple[Cut, ...] = ()
    uneven: UnevenTargets | None = None
    classes: tuple[RequestClass, ...] = ()
    workspaces: Workspaces = Workspaces()


def load_pattern(path: pathlib.Path) -> Result[Pattern, FieldError]:
    """Read a pattern from a JSON file.

    :param path: path of the JSON file.
    """
    return load_struct(path, Pattern)

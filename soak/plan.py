"""Draws the faults of one soak, with their times, from a seed."""

import enum
import random
from typing import Self

import msgspec

#: Time for the processes to connect before the first fault, in seconds.
STARTUP_S = 4.0
#: Time without faults at the end, in seconds: instances are connected again
#: after 4 s, and the requests sent after that show whether service recovers.
FAULT_FREE_S = 10.0
#: Mean time between the starts of two series of faults, in seconds.
SERIES_INTERVAL_S = 1.2
#: Most control instances that lose their disks at the same time: with two of
#: three disks, acknowledged changes could be lost.
MAX_WIPED_CONTROLS = 1
#: Time that a control instance needs after its start to catch up, seconds.
CATCH_UP_S = 4.0


#: Version of the plans that are drawn unless another one is asked for. The
#: plan of a seed stays the same within a version.
PLAN_VERSION = 5
#: Factor of the durations of ``target_announces``: the target list has to be
#: silent for longer than leaving targets may get requests.
SILENT_LIST_FACTOR = 2.0
#: Factor of the durations of ``target_limits``: instances have 4 s to react.
LIMIT_FACTOR = 4.0
#: Factor of the durations of ``poison_request``: instances have 4 s to react.
POISON_FACTOR = 4.0
#: Factor of the durations of ``TARGET_CUTS``: instances have 4 s to react.
CUT_FACTOR = 3.0


class FaultKind(enum.StrEnum):
    """Kind of a fault in a process, link, target, list or configuration."""

    kill = 'kill'
    terminate = 'terminate'
    pause = 'pause'
    kill_controls = 'kill_controls'
    wipe = 'wipe'
    torn_write = 'torn_write'
    disk_full = 'disk_full'
    link_delay = 'link_delay'
    link_reset = 'link_reset'
    link_one_way = 'link_one_way'
    link_silent = 'link_silent'
    target_down = 'target_down'
    target_replaced = 'target_replaced'
    target_slow = 'target_slow'
    target_failing = 'target_failing'
    target_silent = 'target_silent'
    target_leaves = 'target_leaves'
    list_down = 'list_down'
    configure = 'configure'
    configure_race = 'configure_race'
    configure_invalid = 'configure_invalid'
    drain = 'drain'
    settings = 'settings'
    links_cut = 'links_cut'
    target_announces = 'target_announces'
    target_pauses = 'target_pauses'
    target_reassigned = 'target_reassigned'
    target_limits = 'target_limits'
    poison_request = 'poison_request'
    targets_cut_hang = 'targets_cut_hang'
    targets_cut_reset = 'targets_cut_reset'
    targets_cut_live_on = 'targets_cut_live_on'


#: Kinds that cut an entry instance, the only one of its domain, off from all
#: targets.
TARGET_CUTS = frozenset(
    (
        FaultKind.targets_cut_hang,
        FaultKind.targets_cut_reset,
        FaultKind.targets_cut_live_on,
    ),
)

#: Kinds that are not part of version 1, by the first version that draws them.
KINDS_BY_VERSION = {
    2: frozenset(
        (
            FaultKind.links_cut,
            FaultKind.target_announces,
            FaultKind.target_pauses,
            FaultKind.target_reassigned,
        ),
    ),
    3: frozenset((FaultKind.target_limits,)),
    4: frozenset((FaultKind.poison_request,)),
    5: TARGET_CUTS,
}

#: Kinds that are injected into control instances.
CONTROL_KINDS = frozenset(
    (
        FaultKind.wipe,
        FaultKind.torn_write,
        FaultKind.disk_full,
        FaultKind.link_delay,
        FaultKind.link_reset,
        FaultKind.link_one_way,
        FaultKind.link_silent,
    ),
)
#: Kinds that are injected into control or entry instances.
PROCESS_KINDS = frozenset(
    (FaultKind.kill, FaultKind.terminate, FaultKind.pause, FaultKind.settings),
)
#: Kinds that are injected into targets.
TARGET_KINDS = frozenset(
    (
        FaultKind.target_down,
        FaultKind.target_replaced,
        FaultKind.target_slow,
        FaultKind.target_failing,
        FaultKind.target_silent,
        FaultKind.target_leaves,
        FaultKind.target_announces,
        FaultKind.target_pauses,
        FaultKind.target_reassigned,
        FaultKind.target_limits,
    ),
)
_DURATION_FACTORS = {
    FaultKind.target_announces: SILENT_LIST_FACTOR,
    FaultKind.target_limits: LIMIT_FACTOR,
    FaultKind.poison_request: POISON_FACTOR,
    **dict.fromkeys(TARGET_CUTS, CUT_FACTOR),
}


class Fault(msgspec.Struct, frozen=True):
    """One planned fault.

    :param at_s: its begin, in seconds after the start of the traffic.
    :param for_s: its duration, in seconds.
    :param on: name of the instance, target or domain that it is injected
        into; empty if the kind has no single subject.
    """

    at_s: float
    kind: FaultKind
    for_s: float
    on: str = ''


class FaultPlan(msgspec.Struct, frozen=True):
    """All faults of one soak, in the order of their begin.

    :param seed: seed that the faults were drawn from.
    :param length_s: length of the traffic, in seconds.
    """

    seed: int
    length_s: float
    faults: tuple[Fault, ...]

    @classmethod
    def from_seed(
        cls,
        seed: int,
        length_s: float,
        controls: tuple[str, ...],
        entries: tuple[str, ...],
        targets: tuple[str, ...],
        domains: tuple[str, ...],
        version: int = PLAN_VERSION,
    ) -> Self:
        """Draw the faults of a seed.

        Equal arguments give equal plans.

        :param seed: seed of the random numbers.
        :param length_s: length of the traffic, in seconds.
        :param controls: names of control instances.
        :param entries: names of entry instances.
        :param targets: names of targets.
        :param domains: names of failure domains.
        :param version: version of the plan; 1 has fewer kinds of faults.
        """
        rng = random.Random(seed)  # noqa: S311
        choices = {
            **dict.fromkeys(CONTROL_KINDS, controls),
            **dict.fromkeys(PROCESS_KINDS, controls + entries),
            **dict.fromkeys(TARGET_KINDS, targets),
            **dict.fromkeys(TARGET_CUTS, entries),
            FaultKind.drain: domains,
        }
        kinds = [kind for kind in FaultKind if _first_version(kind) <= version]
        faults: list[Fault] = []
        at_s = STARTUP_S
        last_end_s = length_s - FAULT_FREE_S
        while at_s < last_end_s:
            kind = rng.choice(kinds)
            # Two of five draws give a series of two or three faults.
            for repeat in range(rng.choice((1, 1, 1, 2, 3))):
                fault = Fault(
                    at_s + repeat * rng.uniform(0.1, 1.5),
                    kind,
                    rng.uniform(0.3, 4.0) * _duration_factor(kind),
                    rng.choice(choices.get(kind, ('',))),
                )
                if (
                    fault.at_s + fault.for_s < last_end_s
                    and _respects_wipe_limit(faults, fault)
                ):
                    faults.append(fault)
            at_s += rng.expovariate(1 / SERIES_INTERVAL_S)
        faults.sort(key=lambda fault: fault.at_s)
        return cls(seed, length_s, tuple(faults))


def _first_version(kind: FaultKind) -> int:
    return next(
        (
            version
            for version, kinds in KINDS_BY_VERSION.items()
            if kind in kinds
        ),
        1,
    )


def _duration_factor(kind: FaultKind) -> float:
    return _DURATION_FACTORS.get(kind, 1)


def _respects_wipe_limit(faults: list[Fault], new: Fault) -> bool:
    """Tell whether a fault keeps to the limit of disks lost at a time.

    Only wiped disks count: a control instance that stops in another way
    restarts with its disk.
    """
    if new.kind is not FaultKind.wipe:
        return True
    span_s = new.for_s + CATCH_UP_S
    overlapping = [
        fault
        for fault in faults
        if abs(fault.at_s - new.at_s) < max(span_s, fault.for_s + CATCH_UP_S)
    ]
    wiped = {fault.on for fault in overlapping if fault.kind is FaultKind.wipe}
    return not wiped and len(wiped | {new.on}) <= MAX_WIPED_CONTROLS

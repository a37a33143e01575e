"""What goes wrong in one soak, and when, drawn from a seed."""

import enum
import random
from typing import Self

import msgspec

#: Time for the processes to find each other before the first fault, seconds.
START_S = 4.0
#: Undisturbed time at the end, seconds: instances are in touch again after
#: 4 s, and what is served then is judged.
FAULT_FREE_S = 10.0
#: Mean time between the starts of two series of faults, seconds.
GAP_S = 1.2
#: Controls that may be lost with their disk at the same time.
MOST_WIPED = 1
#: A control instance counts as back this long after its start, seconds.
CATCH_UP_S = 4.0


class FaultKind(enum.StrEnum):
    """What happens to a process, a link, a target or the configuration."""

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


#: What each kind is done to.
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
PROCESS_KINDS = frozenset(
    (FaultKind.kill, FaultKind.terminate, FaultKind.pause, FaultKind.settings),
)
TARGET_KINDS = frozenset(
    (
        FaultKind.target_down,
        FaultKind.target_replaced,
        FaultKind.target_slow,
        FaultKind.target_failing,
        FaultKind.target_silent,
        FaultKind.target_leaves,
    ),
)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param at_s: when it begins, after the start of the traffic.
    :param for_s: how long it lasts.
    :param on: name of what it is done to; empty for all or none.
    """

    at_s: float
    kind: FaultKind
    for_s: float
    on: str = ''


class FaultPlan(msgspec.Struct, frozen=True):
    """All faults of one soak.

    :param length_s: length of the traffic.
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
    ) -> Self:
        """Draw the faults of a seed.

        :param seed: the seed.
        :param length_s: length of the traffic, in seconds.
        :param controls: names of control instances.
        :param entries: names of entry instances.
        :param targets: names of targets.
        :param domains: names of failure domains.
        """
        rng = random.Random(seed)  # noqa: S311
        choices = {
            **dict.fromkeys(CONTROL_KINDS, controls),
            **dict.fromkeys(PROCESS_KINDS, controls + entries),
            **dict.fromkeys(TARGET_KINDS, targets),
            FaultKind.drain: domains,
        }
        faults: list[Fault] = []
        at_s = START_S
        last_s = length_s - FAULT_FREE_S
        while at_s < last_s:
            kind = rng.choice(list(FaultKind))
            # Some faults come in series.
            for repeat in range(rng.choice((1, 1, 1, 2, 3))):
                fault = Fault(
                    at_s + repeat * rng.uniform(0.1, 1.5),
                    kind,
                    rng.uniform(0.3, 4.0),
                    rng.choice(choices.get(kind, ('',))),
                )
                if fault.at_s + fault.for_s < last_s and _is_borne(
                    faults, fault
                ):
                    faults.append(fault)
            at_s += rng.expovariate(1 / GAP_S)
        faults.sort(key=lambda fault: fault.at_s)
        return cls(seed, length_s, tuple(faults))


def _is_borne(faults: list[Fault], new: Fault) -> bool:
    """Tell whether no more disks are lost at once than may be.

    A control instance that is lost in another way does not count: its disk
    comes back with it.
    """
    if new.kind is not FaultKind.wipe:
        return True
    span_s = new.for_s + CATCH_UP_S
    near = [
        fault
        for fault in faults
        if abs(fault.at_s - new.at_s) < max(span_s, fault.for_s + CATCH_UP_S)
    ]
    wiped = {fault.on for fault in near if fault.kind is FaultKind.wipe}
    return not wiped and len(wiped | {new.on}) <= MOST_WIPED

"""Checks entry instances that are cut off from all targets."""

from collections.abc import Iterator

from .evidence import Call, Evidence, InjectedFault
from .plan import TARGET_CUTS
from .separations import REACTION_S, out_of_touch

#: Least fraction of requests that a cut instance serves, relative to others.
MIN_SERVED_RATIO = 2 / 3
#: Failed requests at cut instances that are tolerated, and as a fraction of
#: all their requests.
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
_OK = 200


def callers_of_cut_instances(evidence: Evidence) -> Iterator[str]:
    """Check that callers of cut instances are served nearly as often.

    :param evidence: the evidence of one soak.
    """
    cut: list[Call] = []
    others: list[Call] = []
    cuts = [
        fault for fault in evidence.injected_faults if fault.kind in TARGET_CUTS
    ]
    for call in evidence.calls:
        running = [one for one in cuts if _runs(one, call)]
        if not running or out_of_touch(call.instance, call.sent_at, evidence):
            continue
        at_cut = any(one.on == call.instance for one in running)
        (cut if at_cut else others).append(call)
    failed = [one for one in cut if one.status != _OK]
    tolerated = MAX_FAILED + MAX_FAILED_FRACTION * len(cut)
    wanted = MIN_SERVED_RATIO * _served_fraction(others)
    if len(failed) > tolerated and _served_fraction(cut) < wanted:
        yield (
            f'{len(cut) - len(failed)} of {len(cut)} requests were served at '
            f'instances that were cut off from all targets, the others served '
            f'{_served_fraction(others):.2f}'
        )


def _runs(cut: InjectedFault, call: Call) -> bool:
    return cut.began + REACTION_S < call.sent_at and call.ended_at < cut.ended


def _served_fraction(calls: list[Call]) -> float:
    served = sum(call.status == _OK for call in calls)
    return served / len(calls) if calls else 1

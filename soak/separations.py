"""Tells when faults may keep an instance out of touch with the others."""

from .evidence import Evidence
from .plan import CONTROL_KINDS, PROCESS_KINDS, FaultKind

#: Time after a fault until an instance is in touch again, and time that all
#: instances have to react to an event, in seconds.
REACTION_S = 4.0
#: Kinds of faults that take instances out of touch with each other.
SEPARATIONS = (
    CONTROL_KINDS
    | PROCESS_KINDS
    | {FaultKind.kill_controls, FaultKind.links_cut}
)


def out_of_touch(instance: str, at: float, evidence: Evidence) -> bool:
    """Tell whether a fault may have kept an instance out of touch.

    :param instance: name of the instance.
    :param at: the time, in seconds of the monotonic clock.
    :param evidence: the evidence of one soak.
    """
    return any(
        fault.kind in SEPARATIONS
        and (fault.on in {'', instance} or fault.on.startswith('control'))
        and fault.began < at
        and fault.ended > at - REACTION_S
        for fault in evidence.injected_faults
    )

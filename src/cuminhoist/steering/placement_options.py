"""Options of a request: the targets that could serve it, with estimates."""

import msgspec

from .tracked_target import TrackedTarget


class Option(msgspec.Struct, frozen=True):
    """One target that could serve a request.

    :param wait_s: estimated time until the request can be sent, in seconds; 0
        if the target has a free slot.
    :param total_s: estimated time until the answer, in seconds.
    """

    target: TrackedTarget
    wait_s: float
    total_s: float

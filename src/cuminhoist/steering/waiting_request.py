"""A placement request that waits for a decision."""

from .decisions import PlacementRequest
from .tracked_target import TrackedTarget


class WaitingRequest:
    """A request that waits for a decision.

    :param entry_instance: entry instance that sent the placement request.
    :param request: the placement request.
    :param now: time of its arrival, in monotonic seconds.
    """

    def __init__(
        self, entry_instance: str, request: PlacementRequest, now: float
    ) -> None:
        self.entry_instance = entry_instance
        self.request = request
        self.arrived_at = now
        self.objective_ends_at = now + request.objective_left_s
        #: The target whose slot the request waits for.
        self.target: TrackedTarget | None = None
        #: When the request is placed anew, in monotonic seconds.
        self.recheck_at = now
        #: Position in the order of arrival; None until it waits.
        self.sequence: int | None = None
        #: Expected time from the end of the wait to the answer, in seconds.
        self.run_s = float(0)
        #: When it is expected to be sent, in monotonic seconds.
        self.expected_start = now
        #: Whether its answer is late by the estimate of its last placement.
        self.is_late = False
        #: Priority by which it waits; parts of the requests that are served
        #: too rarely have a priority of their own.
        self.priority = request.priority

    @property
    def ends_at(self) -> float:
        """Deadline of the request, in monotonic seconds."""
        return self.arrived_at + self.request.left_s

    @property
    def latest_start(self) -> float:
        """Latest time to send it in time, in monotonic seconds."""
        return self.objective_ends_at - self.run_s

    def is_displaced(self, delay_s: float) -> bool:
        """Delay the expected start; tell whether that makes the answer late.

        :param delay_s: the delay in seconds.
        """
        self.expected_start += delay_s
        return not self.is_late and self.expected_start > self.latest_start

    def can_be_in_time(self, now: float) -> bool:
        """Tell whether the answer meets the objective if sent now.

        :param now: monotonic time in seconds.
        """
        return now <= self.latest_start

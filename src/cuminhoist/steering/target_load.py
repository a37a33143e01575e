"""Load of a target, as one of its answers tells it."""

import msgspec


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target at the time of an answer.

    :param running: number of requests that run.
    :param waiting: number of requests that wait for a slot.
    :param slots: number of requests that may run concurrently.
    :param slowdown: how long runs take at this moment, as a multiple of the
        usual time; None if the target does not tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None

    @property
    def has_free_slots(self) -> bool:
        """Whether the target could run another request at once."""
        return not self.waiting and self.running < self.slots

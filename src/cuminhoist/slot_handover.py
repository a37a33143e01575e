"""Interface between ownership and the slots of targets."""

import abc

from .heartbeats import Handover, ServiceSlots

#: A target may work on a request a little longer than its deadline.
DEADLINE_MARGIN_S = 0.5


class SlotHandover(abc.ABC):
    """What ownership needs to know and to change at the slot table."""

    @abc.abstractmethod
    def handover_state(self, target: str) -> Handover:
        """Return what may still run at a target.

        :param target: name of the target.
        """

    @abc.abstractmethod
    def take_over(self, target: str, handover: Handover) -> None:
        """Take over a target whose former owner left requests running.

        :param target: name of the target.
        :param handover: slots to leave unused, and for how long.
        """

    @abc.abstractmethod
    def slots_by_service(self) -> dict[str, ServiceSlots]:
        """Return the slots of each service at targets that are owned."""

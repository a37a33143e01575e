"""Interface through which ownership hands over the slots of targets."""

import abc

from .heartbeats import Handover, ServiceSlots

#: A target may work on a request a little longer than its deadline.
DEADLINE_MARGIN_S = 0.5


class SlotHandover(abc.ABC):
    """The part of the slot table that ownership reads and changes."""

    @abc.abstractmethod
    def handover_state(self, target: str) -> Handover:
        """Return the slots of a target whose requests may still run.

        :param target: name of the target.
        """

    @abc.abstractmethod
    def take_over(self, target: str, handover: Handover) -> None:
        """Take over a target at which the former owner's requests may run.

        :param target: name of the target.
        :param handover: slots to quarantine, and for how long.
        """

    @abc.abstractmethod
    def slots_by_service(self) -> dict[str, ServiceSlots]:
        """Return the slots of the owned targets, by service."""

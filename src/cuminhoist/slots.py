"""Interface through which admission acquires slots of targets."""

import abc
import enum
from collections.abc import Callable

from .settings import Target


class SlotOutcome(enum.StrEnum):
    """How the attempt that used a slot ended."""

    #: The whole answer arrived; the target has finished the request.
    answered = 'answered'
    #: The target answered with a server error and has finished the request.
    failed = 'failed'
    #: The request was not sent, or the target refused it before it ran.
    not_run = 'not-run'
    #: The request may still run: cancelled, timed out or connection failed.
    unknown = 'unknown'


class Slot(abc.ABC):
    """The right to have one request in flight at one target."""

    @property
    @abc.abstractmethod
    def target(self) -> Target:
        """The target that the slot belongs to."""

    @abc.abstractmethod
    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """Free the slot; further calls do nothing.

        :param outcome: how the attempt ended.
        :param latency_s: time from dispatch to the end, in seconds.
        """


class SlotSource(abc.ABC):
    """Slots of the targets that this instance owns."""

    @abc.abstractmethod
    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        """Acquire a slot of the best target; None if none is free.

        :param service: name of the service.
        :param deadline_at: monotonic time of the request's deadline.
        :param exclude: names of targets not to use.
        """

    @abc.abstractmethod
    def usable_slots(self, service: str) -> int:
        """Return the number of usable slots of a service, free or in use.

        :param service: name of the service.
        """

    @abc.abstractmethod
    def free_slots(self, service: str) -> int:
        """Return the number of free slots of a service.

        :param service: name of the service.
        """

    @abc.abstractmethod
    def on_free(self, listener: Callable[[str], None]) -> None:
        """Register a listener that is called when a slot becomes free.

        :param listener: called with the name of the service.
        """

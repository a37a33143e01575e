"""Interface between admission and the targets' slots."""

import abc
import enum
from collections.abc import Callable

from .settings import Target


class SlotOutcome(enum.StrEnum):
    """How the use of a slot ended."""

    #: The whole answer arrived; the target is done with the request.
    answered = 'answered'
    #: The target answered with a server error; it is done with it.
    failed = 'failed'
    #: The request was not sent, or the target refused it before it ran.
    not_run = 'not-run'
    #: The request may still run: cancelled, timed out or connection lost.
    unknown = 'unknown'


class Slot(abc.ABC):
    """The right to have one request in flight at one target."""

    @property
    @abc.abstractmethod
    def target(self) -> Target:
        """The target that the slot belongs to."""

    @abc.abstractmethod
    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """End the use of the slot; further calls do nothing.

        :param outcome: how it ended.
        :param latency_s: time from dispatch to the end, in seconds.
        """


class SlotSource(abc.ABC):
    """Gives out the slots of targets that this instance owns."""

    @abc.abstractmethod
    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        """Return a slot of the best target, or None if none is free.

        :param service: name of the service.
        :param deadline_at: monotonic time of the request's deadline.
        :param exclude: names of targets not to use.
        """

    @abc.abstractmethod
    def usable_slots(self, service: str) -> int:
        """Return how many slots of a service may be used, free or not.

        :param service: name of the service.
        """

    @abc.abstractmethod
    def free_slots(self, service: str) -> int:
        """Return how many slots of a service are free now.

        :param service: name of the service.
        """

    @abc.abstractmethod
    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the service when a slot becomes free.

        :param listener: called with the name of the service.
        """

"""Emulated targets: slots, a queue, objects that are kept."""

import collections
import random

import msgspec

from ..fleet.instance_config import Address
from ..steering.targets import TargetEntry, TargetState
from .patterns import Pattern, Work

SERVICE = 'service'


class Job(msgspec.Struct):
    """One request at a target.

    :param region: region whose dispatcher granted it.
    """

    number: int
    region: str
    key: str
    sent_at: float


class EmulatedTarget:
    """One target.

    :param name: its name.
    :param region: its region.
    :param pattern: the load with its work.
    :param rng: source of run times.
    """

    def __init__(
        self,
        name: str,
        region: str,
        pattern: Pattern,
        rng: random.Random,
    ) -> None:
        self.entry = TargetEntry(
            name=name,
            service=SERVICE,
            address=Address(name, 1),
            domain=region,
            slots=pattern.work.slots,
            state=TargetState.ready,
        )
        self.region = region
        self.work: Work = pattern.work
        self.slowdown = float(1)
        self.declined_fraction = float(0)
        self._rng = rng
        self._running = 0
        self._waiting: collections.deque[Job] = collections.deque()
        self._cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def declines(self) -> bool:
        """Tell whether it declines a request although it has room."""
        return self._rng.random() < self.declined_fraction

    def arrive(self, job: Job) -> bool | None:
        """Take a request.

        :param job: the request.
        :returns: whether it runs at once; None if it is shed.
        """
        if self._running < self.work.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.work.queue:
            return None
        self._waiting.append(job)
        return False

    def run_s(self, key: str) -> float:
        """Return how long a request runs that starts now.

        :param key: identity of its object.
        """
        mean = self.work.cold_s
        if key in self._cached:
            mean *= self.work.warm_part
        run_factor = self._rng.gauss(1, self.work.spread)
        return mean * self.slowdown * max(run_factor, 0.1)

    def finish(self, key: str) -> Job | None:
        """End a request and return the next one that starts, if any.

        :param key: identity of the object of the ended request.
        """
        self._cached[key] = None
        self._cached.move_to_end(key)
        if len(self._cached) > self.work.kept:
            self._cached.popitem(last=False)
        if self._waiting:
            return self._waiting.popleft()
        self._running -= 1
        return None

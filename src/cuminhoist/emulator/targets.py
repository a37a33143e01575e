"""Emulated targets with slots, a queue and a cache of objects."""

import collections
import random

import msgspec

from ..fleet.instance_config import Address
from ..steering.targets import TargetEntry, TargetState
from .patterns import Pattern, Work

SERVICE = 'service'


class Job(msgspec.Struct):
    """One attempt at a target.

    :param number: number of the placement request.
    :param region: region whose dispatcher granted it.
    :param key: identity of the object that the request uses.
    :param sent_at: simulated time of sending, in seconds.
    """

    number: int
    region: str
    key: str
    sent_at: float


class EmulatedTarget:
    """Emulates one target.

    :param name: name of the target.
    :param region: region of the target.
    :param pattern: load pattern that sets run times and limits.
    :param rng: random numbers for run times and declined requests.
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
        """Decide at random whether it declines a request."""
        return self._rng.random() < self.declined_fraction

    def arrive(self, job: Job) -> bool | None:
        """Run, queue or shed an arriving request.

        :param job: the request.
        :returns: True if it runs now, False if it is queued, None if it is
            shed.
        """
        if self._running < self.work.slots:
            self._running += 1
            return True
        if len(self._waiting) >= self.work.queue:
            return None
        self._waiting.append(job)
        return False

    def run_s(self, key: str) -> float:
        """Draw the run time of a request that starts now, in seconds.

        :param key: identity of the object that the request uses.
        """
        mean = self.work.cold_s
        if key in self._cached:
            mean *= self.work.warm_part
        run_factor = self._rng.gauss(1, self.work.spread)
        return mean * self.slowdown * max(run_factor, 0.1)

    def finish(self, key: str) -> Job | None:
        """End a run and return the queued request that starts next, if any.

        :param key: identity of the object that the ended request used.
        """
        self._cached[key] = None
        self._cached.move_to_end(key)
        if len(self._cached) > self.work.kept:
            self._cached.popitem(last=False)
        if self._waiting:
            return self._waiting.popleft()
        self._running -= 1
        return None

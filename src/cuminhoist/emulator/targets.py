"""Emulated targets with slots, a queue and a cache of objects."""

import collections
import random

import msgspec

from ..fleet.instance_config import Address
from ..steering.target_load import TargetLoad
from ..steering.targets import TargetEntry, TargetState
from .emulated_entry import EmulatedEntry
from .limits import LimitedArrivals
from .machines import Machine
from .patterns import Overloaded, Pattern, Work

SERVICE = 'service'
MS_PER_S = 1000
#: Time that a region has to react to a pause, in seconds.
PAUSE_REACTION_S = 0.5
#: Most requests of a region that a target tolerates in a pause after that.
MAX_ARRIVALS_IN_PAUSE = 2


class Job(msgspec.Struct):
    """One attempt at a target.

    :param number: number of the placement request.
    :param entry: entry instance that sends it.
    :param key: identity of the object that the request uses.
    :param sent_at: simulated time of sending, in seconds.
    """

    number: int
    entry: EmulatedEntry
    key: str
    sent_at: float
    #: Time until the target starts again that ends under the attempt, in
    #: seconds; 0 if none does.
    down_s: float = 0

    @property
    def region(self) -> str:
        """Region whose dispatcher granted it."""
        return self.entry.region


class _Pause(msgspec.Struct):
    """A time for which a target wants no requests of a region.

    :param began_at: simulated time of its begin, in seconds.
    :param ends_at: simulated time of its end, in seconds.
    :param arrivals: requests that came once the region had time to react.
    """

    began_at: float
    ends_at: float
    arrivals: int = 0


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
        #: Runs its requests; None if run times are known when they start.
        self.machine: Machine | None = None
        self._uneven = pattern.uneven
        self.work: Work = pattern.work
        self.slowdown = float(1)
        self.declined_fraction = float(0)
        self.leaving = False
        self.stopped = False
        self.listed = True
        self.overload: Overloaded | None = None
        #: Requests per second that it takes; None for no limit.
        self.limit_per_s: float | None = None
        self.limited_arrivals = LimitedArrivals()
        #: Requests beyond the tolerated ones that came in pauses.
        self.unwanted_arrivals = 0
        self._pauses: dict[str, _Pause] = {}
        self._rng = rng
        self._running: dict[int, Job] = {}
        self._waiting: collections.deque[Job] = collections.deque()
        self._cached: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def declines(self) -> bool:
        """Decide at random whether it declines a request."""
        return self._rng.random() < self.declined_fraction

    def refuse_for_s(self, region: str, now: float) -> float:
        """Return how long it wants no requests of a region, in seconds.

        :param region: region of the dispatcher that granted a request.
        :param now: simulated time, in seconds.
        :returns: 0 if it takes the request.
        """
        if self.overload is None:
            return 0
        pause = self._pauses.get(region)
        if pause is not None and now < pause.ends_at:
            if now > pause.began_at + PAUSE_REACTION_S:
                pause.arrivals += 1
                self.unwanted_arrivals += pause.arrivals > MAX_ARRIVALS_IN_PAUSE
            return pause.ends_at - now
        if len(self._running) < self.overload.slots:
            return 0
        pause_s = self._rng.uniform(
            self.overload.min_pause_s, self.overload.max_pause_s
        )
        self._pauses[region] = _Pause(now, now + pause_s)
        return pause_s

    def arrive(self, job: Job) -> bool | None:
        """Run, queue or shed an arriving request.

        :param job: the request.
        :returns: True if it runs now, False if it is queued, None if it is
            shed.
        """
        if len(self._running) < self.work.slots:
            self._running[job.number] = job
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
        uneven = self._uneven
        if uneven is not None and self._rng.random() < uneven.tail_part:
            run_factor *= uneven.tail_factor
        return mean * self.slowdown * max(run_factor, 0.1)

    def load(self) -> TargetLoad | None:
        """Return the load that its answers tell; None if they do not."""
        if self.machine is None:
            return None
        return TargetLoad(
            len(self._running),
            len(self._waiting),
            self.work.slots,
            self.machine.slowdown,
        )

    def runs(self, job: Job) -> bool:
        """Tell whether a request still runs, as the target has not ended.

        :param job: the request.
        """
        return job.number in self._running

    def job(self, number: int) -> Job | None:
        """Return a request that runs; None if it has ended.

        :param number: number of the placement request.
        """
        return self._running.get(number)

    def finish(self, job: Job) -> Job | None:
        """End a run and return the queued request that starts next, if any.

        :param job: the request that ended.
        """
        self._cached[job.key] = None
        self._cached.move_to_end(job.key)
        if len(self._cached) > self.work.kept:
            self._cached.popitem(last=False)
        self._running.pop(job.number)
        if not self._waiting:
            return None
        following = self._waiting.popleft()
        self._running[following.number] = following
        return following

    def crash(self) -> list[Job]:
        """End at once; return all requests that run or wait."""
        lost = [*self._running.values(), *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self._cached.clear()
        self.stopped = True
        return lost

    def restart(self, now: float) -> None:
        """Start again after an end.

        :param now: simulated time, in seconds.
        """
        self.stopped = False
        self.entry = msgspec.structs.replace(
            self.entry, started_at_ms=round(now * MS_PER_S)
        )

"""Cap on traffic that moves here from other regions."""

import abc
import itertools
from collections import deque

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration, ShiftCap
from .settings import Topology

#: A window is counted in this number of parts. The check rounds against
#: the request by up to two parts, 1% of the traffic of a window. With 50
#: parts, bursts of 30 requests a second halved a growth of 25 a window.
PARTS = 200
#: Weight of a new observation in the smoothed service time.
SMOOTHING = 0.01
#: The service time that is assumed before any was observed, as a part of
#: the longest deadline. A long time means a small cap.
ASSUMED_PART = 0.25
#: Fast answers of a failing target may not raise the cap without bound.
MIN_SERVICE_S = 0.01
#: Names of a service and of the region that its requests come from.
ServiceRegion = tuple[str, str]


class WindowCount:
    """Admissions of one service from one region in a sliding window.

    In every window, at any position, at most as many requests are
    admitted as in the window before it plus the growth. An admission
    counts in all windows that contain it, those that end later included,
    so it is checked against each of them.

    :param window_s: length of a window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._part_s = window_s / PARTS
        self._counts: deque[int] = deque(
            itertools.repeat(0, 2 * PARTS + 2),
        )
        self._newest = 0
        self._headroom: int | None = None

    def headroom(self, now: float) -> int:
        """Return how far the tightest window is below the one before it.

        :param now: monotonic time.
        :returns: the difference; negative if the window is already larger.
        """
        self._move(now)
        if self._headroom is None:
            self._headroom = self._tightest()
        return self._headroom

    def add(self, now: float) -> None:
        """Count an admission.

        :param now: monotonic time.
        """
        self._headroom = self.headroom(now) - 1
        self._counts[-1] += 1

    def uncount(self, admitted_at: float, now: float) -> None:
        """Forget an admission that did not run, if it is recent.

        Only the newest part is corrected: older ones may already have
        been the base of other admissions.

        :param admitted_at: monotonic time of the admission.
        :param now: monotonic time.
        """
        room = self.headroom(now)
        if int(admitted_at / self._part_s) == self._newest:
            self._counts[-1] -= 1
            self._headroom = room + 1

    def _move(self, now: float) -> None:
        part = int(now / self._part_s)
        passed = part - self._newest
        if passed <= 0:
            return
        self._newest = part
        self._headroom = None
        for _ in range(min(passed, len(self._counts))):
            self._counts.popleft()
            self._counts.append(0)

    def _tightest(self) -> int:
        """Compare each window that contains now with the one before it.

        A window may start anywhere inside a part. It is counted with the
        whole of that part, and the window before it without.
        """
        # Sums of all counts before each part, so that a sum is a difference.
        before = list(itertools.accumulate(self._counts, initial=0))
        last = len(before) - 1
        return min(
            before[start]
            - before[start - PARTS + 1]
            - (before[last] - before[start])
            for start in range(last - PARTS - 1, last)
        )


class CapacitySource(abc.ABC):
    """Tells how many requests a region can serve."""

    @abc.abstractmethod
    def requests_per_s(self, service: str) -> float:
        """Return the capacity of the own region.

        :param service: name of the service.
        """


class ObservedCapacity(CapacitySource):
    """Configured slots of the region by the observed service time.

    :param topology: the deployment.
    :param region: region of this instance.
    """

    def __init__(self, topology: Topology, region: str) -> None:
        self._slots: dict[str, int] = {}
        self._service_s: dict[str, float] = {
            service.name: service.longest_deadline_s * ASSUMED_PART
            for service in topology.services
        }
        for target in topology.targets:
            if topology.region_of(target.domain) == region:
                slots = self._slots.get(target.service, 0) + target.slots
                self._slots[target.service] = slots

    def record_latency(self, service: str, latency_s: float) -> None:
        """Learn from one answered request.

        :param service: name of the service.
        :param latency_s: time from dispatch to the end.
        """
        known = self._service_s.get(service)
        if known is not None:
            step = SMOOTHING * (latency_s - known)
            self._service_s[service] = max(known + step, MIN_SERVICE_S)

    def requests_per_s(self, service: str) -> float:
        """Return the capacity of the own region.

        :param service: name of the service.
        """
        slots = self._slots.get(service, 0)
        return slots / self._service_s[service] if slots else 0


class ShiftRefused(msgspec.Struct, frozen=True):
    """The cap of the window is reached.

    :param retry_after_s: when the window has moved on by a part.
    """

    retry_after_s: float


class ShiftLimiter:
    """Limits what this instance admits from each other region.

    :param clock: time source.
    :param in_force: configuration in force.
    :param capacity: capacity of the own region.
    :param instances: configured entry instances of the own region.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: ConfigInForce,
        capacity: CapacitySource,
        instances: int,
    ) -> None:
        self._clock = clock
        self._capacity = capacity
        self._instances = instances
        self._caps: dict[str, ShiftCap] = {}
        self._windows: dict[ServiceRegion, WindowCount] = {}
        in_force.subscribe(self._on_change)

    def growth(self, service: str) -> float:
        """Return by how much a window may exceed the one before it.

        :param service: name of the service.
        """
        cap = self._cap(service)
        per_window = self._capacity.requests_per_s(service) * cap.window_s
        return per_window * cap.percent / 100 / self._instances

    def try_admit(self, service: str, origin: str) -> ShiftRefused | None:
        """Count a shifted request, or refuse it.

        :param service: name of the service.
        :param origin: home region of the request.
        """
        now = self._clock.now()
        window = self._window(service, origin, now)
        if window.headroom(now) + self.growth(service) < 1:
            return ShiftRefused(window.window_s / PARTS)
        window.add(now)
        return None

    def give_back(self, service: str, origin: str, admitted_at: float) -> None:
        """Uncount a request that did not run.

        :param service: name of the service.
        :param origin: home region of the request.
        :param admitted_at: monotonic time at which it was admitted.
        """
        window = self._windows.get((service, origin))
        if window is not None:
            window.uncount(admitted_at, self._clock.now())

    def _cap(self, service: str) -> ShiftCap:
        cap = self._caps.get(service)
        return cap or ShiftCap(service=service)  # type: ignore[arg-type]

    def _window(self, service: str, origin: str, now: float) -> WindowCount:
        window = self._windows.get((service, origin))
        if window is None:
            window = WindowCount(self._cap(service).window_s)
            window.headroom(now)
            self._windows[service, origin] = window
        return window

    def _on_change(self, cfg: Configuration) -> None:
        self._caps = {cap.service: cap for cap in cfg.allowances.shift_caps}
        # Counts of another window length cannot be converted; the traffic
        # starts small again, as after a quiet period.
        self._windows = {
            pair: window
            for pair, window in self._windows.items()
            if window.window_s == self._cap(pair[0]).window_s
        }

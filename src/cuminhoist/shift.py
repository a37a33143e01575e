"""Cap on the growth of traffic that shifts here from other regions.

When a region fails, its requests arrive here at once. The cap lets them grow
by a percentage of the own region's capacity in each time window, so that they
do not overload this region too.
"""

import abc
import itertools
from collections import deque

import msgspec

from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration, ShiftCap
from .settings import Topology

#: Admissions are counted in slices of the window. The check rounds against
#: the request by up to two slices, 1% of the traffic of a window. With 50
#: slices, bursts of 30 requests a second halved a growth of 25 a window.
SLICES_PER_WINDOW = 200
#: Weight of a new observation in the averaged service time.
LATENCY_SMOOTHING = 0.01
#: Service time before any was observed, as a fraction of the longest
#: deadline. A long time gives a small cap.
INITIAL_DEADLINE_FRACTION = 0.25
#: Lower limit, so that fast answers of a failing target do not raise the
#: cap without bound.
MIN_SERVICE_S = 0.01
#: Name of a service, and the region from which its requests come.
ServiceRegion = tuple[str, str]


class WindowCount:
    """Admissions of one service from one region in a sliding window.

    In every window, wherever it starts, at most as many requests are
    admitted as in the window before it plus the growth. An admission counts
    in all windows that contain it, also in windows that end later, so it is
    checked against each of them.

    :param window_s: length of a window in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._counts: deque[int] = deque(
            itertools.repeat(0, 2 * SLICES_PER_WINDOW + 2),
        )
        self._newest_slice = 0
        self._headroom: int | None = None

    def headroom(self, now: float) -> int:
        """Return by how much a window may still grow to match its predecessor.

        This is the least difference over all windows that contain now.

        :param now: monotonic time.
        :returns: requests; negative if a window is already larger.
        """
        self._advance(now)
        if self._headroom is None:
            self._headroom = self._min_headroom()
        return self._headroom

    def add(self, now: float) -> None:
        """Count an admission.

        :param now: monotonic time.
        """
        self._headroom = self.headroom(now) - 1
        self._counts[-1] += 1

    def uncount(self, admitted_at: float, now: float) -> None:
        """Uncount an admission that did not run, if it is recent.

        Only the newest slice is corrected: older slices may already have
        allowed other admissions.

        :param admitted_at: monotonic time of the admission.
        :param now: monotonic time.
        """
        headroom = self.headroom(now)
        if int(admitted_at / self._slice_s) == self._newest_slice:
            self._counts[-1] -= 1
            self._headroom = headroom + 1

    def _advance(self, now: float) -> None:
        current_slice = int(now / self._slice_s)
        passed = current_slice - self._newest_slice
        if passed <= 0:
            return
        self._newest_slice = current_slice
        self._headroom = None
        for _ in range(min(passed, len(self._counts))):
            self._counts.popleft()
            self._counts.append(0)

    def _min_headroom(self) -> int:
        """Compare each window that contains now with the one before it.

        A window may start anywhere inside a slice. It is counted with that
        whole slice, and the window before it without.
        """
        # Prefix sums: the sum over some slices is a difference of two.
        before = list(itertools.accumulate(self._counts, initial=0))
        last = len(before) - 1
        return min(
            before[start]
            - before[start - SLICES_PER_WINDOW + 1]
            - (before[last] - before[start])
            for start in range(last - SLICES_PER_WINDOW - 1, last)
        )


class CapacitySource(abc.ABC):
    """Source of the rate of requests that the own region can serve."""

    @abc.abstractmethod
    def requests_per_s(self, service: str) -> float:
        """Return the capacity of the own region.

        :param service: name of the service.
        """


class ObservedCapacity(CapacitySource):
    """Capacity: the region's configured slots / observed service time.

    :param topology: the deployment.
    :param region: region of this instance.
    """

    def __init__(self, topology: Topology, region: str) -> None:
        self._slots: dict[str, int] = {}
        self._service_s: dict[str, float] = {
            service.name: service.longest_deadline_s * INITIAL_DEADLINE_FRACTION
            for service in topology.services
        }
        for target in topology.targets:
            if topology.region_of(target.domain) == region:
                slots = self._slots.get(target.service, 0) + target.slots
                self._slots[target.service] = slots

    def record_latency(self, service: str, latency_s: float) -> None:
        """Update the average service time with an answered request.

        :param service: name of the service.
        :param latency_s: time from dispatch to the end, in seconds.
        """
        average_s = self._service_s.get(service)
        if average_s is not None:
            change_s = LATENCY_SMOOTHING * (latency_s - average_s)
            self._service_s[service] = max(average_s + change_s, MIN_SERVICE_S)

    def requests_per_s(self, service: str) -> float:
        """Return the capacity of the own region.

        :param service: name of the service.
        """
        slots = self._slots.get(service, 0)
        return slots / self._service_s[service] if slots else 0


class ShiftRefused(msgspec.Struct, frozen=True):
    """The cap of the window is reached.

    :param retry_after_s: time in seconds in which the window advances by a
        slice.
    """

    retry_after_s: float


class ShiftLimiter:
    """Limits the requests that this instance admits from other regions.

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
        """Return how many requests a window may have above its predecessor.

        :param service: name of the service.
        """
        cap = self._cap(service)
        per_window = self._capacity.requests_per_s(service) * cap.window_s
        return per_window * cap.percent / 100 / self._instances

    def try_admit(self, service: str, origin: str) -> ShiftRefused | None:
        """Count a request from another region, or refuse it.

        :param service: name of the service.
        :param origin: home region of the request.
        """
        now = self._clock.now()
        window = self._window(service, origin, now)
        if window.headroom(now) + self.growth(service) < 1:
            return ShiftRefused(window.window_s / SLICES_PER_WINDOW)
        window.add(now)
        return None

    def refund(self, service: str, origin: str, admitted_at: float) -> None:
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
        # Counts of another window length cannot be converted. Traffic is
        # then limited to the growth, as after a window without requests.
        self._windows = {
            pair: window
            for pair, window in self._windows.items()
            if window.window_s == self._cap(pair[0]).window_s
        }

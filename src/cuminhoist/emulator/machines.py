"""Machines of emulated targets whose speed varies."""

import math
import random

from .patterns import UnevenTargets


def run_time_factors(
    uneven: UnevenTargets, count: int, rng: random.Random
) -> list[float]:
    """Return the run time of each target relative to the usual one.

    The logarithms of the factors are spread evenly.

    :param uneven: range of the factors.
    :param count: number of targets.
    :param rng: random numbers for their order.
    """
    low, high = math.log(uneven.min_factor), math.log(uneven.max_factor)
    factors = [
        math.exp(low + (high - low) * (number + 0.5) / count)
        for number in range(count)
    ]
    rng.shuffle(factors)
    return factors


class Machine:
    """Runs the requests of one target at a speed that varies.

    The speed changes under the requests that run: a target shares its machine
    with others, and its own requests compete beyond the knee.

    :param uneven: knee and noise.
    :param factor: run time relative to the usual one.
    :param slots: slots of the target.
    """

    def __init__(
        self, uneven: UnevenTargets, factor: float, slots: int
    ) -> None:
        self.factor = factor
        #: Changes with each change of the machine; events of former versions
        #: are void.
        self.version = 0
        self._uneven = uneven
        self._knee = max(uneven.knee * slots, 1)
        self._noisy = False
        self._left_s: dict[int, float] = {}
        self._advanced_at = float(0)

    @property
    def slowdown(self) -> float:
        """How long work takes now, as a multiple of this machine's usual time.

        This is what answers tell. Requests of the target's own callers that
        compete with each other are not part of it.
        """
        return self._uneven.noise_factor if self._noisy else 1

    def start(self, number: int, work_s: float, now: float) -> None:
        """Start a request.

        :param number: identifies the request.
        :param work_s: its run time on a usual machine, in seconds.
        :param now: simulated time, in seconds.
        """
        self._advance(now)
        self._left_s[number] = work_s

    def stop(self, number: int, now: float) -> None:
        """End a request.

        :param number: identifies the request.
        :param now: simulated time, in seconds.
        """
        self._advance(now)
        self._left_s.pop(number, None)

    def set_noise(self, now: float, *, noisy: bool) -> None:
        """Change the noise.

        :param now: simulated time, in seconds.
        :param noisy: whether others use the machine.
        """
        self._advance(now)
        self._noisy = noisy

    def next_end(self) -> tuple[int, float] | None:
        """Return the request that ends first, and the time left in seconds."""
        if not self._left_s:
            return None
        number = min(self._left_s, key=self._left_s.__getitem__)
        return number, self._left_s[number] * self._run_factor()

    def _run_factor(self) -> float:
        """Return how long work takes now, as a multiple of the usual time."""
        contention = max(len(self._left_s) / self._knee, 1)
        return self.factor * self.slowdown * contention

    def _advance(self, now: float) -> None:
        done_s = (now - self._advanced_at) / self._run_factor()
        for number in self._left_s:
            self._left_s[number] = max(self._left_s[number] - done_s, 0)
        self._advanced_at = now
        self.version += 1

"""What a replay shows."""

import collections

import msgspec

WINDOW_S = 2.0


class Outcome(msgspec.Struct, frozen=True):
    """How the requests of one caller ended.

    :param asked_at: when it asked first.
    :param took_s: time until the answer; None if it was not served.
    :param moved: whether another region served it.
    """

    region: str
    asked_at: float
    took_s: float | None
    moved: bool
    refusals: int


class Report(msgspec.Struct):
    """All outcomes of one replay.

    :param bound: part of the requests that could be in time if all arrivals
        were known, each object was held where it is needed, and each slot
        was used without a pause.
    """

    objective_s: float
    bound: float
    outcomes: list[Outcome] = msgspec.field(default_factory=list)

    def in_time(self, region: str = '') -> float:
        """Return the part of the requests that were answered in time.

        :param region: of which region; empty for all.
        """
        asked = [
            outcome
            for outcome in self.outcomes
            if not region or outcome.region == region
        ]
        in_time = sum(self._is_in_time(outcome) for outcome in asked)
        return in_time / len(asked) if asked else 1

    def served(self) -> float:
        """Return the part of the requests that were answered at all."""
        answered = sum(outcome.took_s is not None for outcome in self.outcomes)
        return answered / max(len(self.outcomes), 1)

    def refused_again(self) -> float:
        """Return the part of the requests that came back for nothing."""
        unanswered = sum(
            outcome.took_s is None and outcome.refusals > 1
            for outcome in self.outcomes
        )
        return unanswered / max(len(self.outcomes), 1)

    def worst_region(self) -> float:
        """Return the least part in time of any region."""
        regions = {outcome.region for outcome in self.outcomes}
        return min(self.in_time(region) for region in regions)

    def windows(self, region: str = '') -> dict[float, float]:
        """Return the part in time by the start of each window.

        :param region: of which region; empty for all.
        """
        asked: collections.Counter[float] = collections.Counter()
        in_time: collections.Counter[float] = collections.Counter()
        for outcome in self.outcomes:
            if region and outcome.region != region:
                continue
            window = outcome.asked_at // WINDOW_S * WINDOW_S
            asked[window] += 1
            in_time[window] += self._is_in_time(outcome)
        return {
            window: in_time[window] / asked[window] for window in sorted(asked)
        }

    def largest_shift(self) -> float:
        """Return the largest change of a region's part that moves.

        Compared are windows that follow each other.
        """
        largest = float(0)
        regions = {outcome.region for outcome in self.outcomes}
        for region in sorted(regions):
            fractions = self._shifted_fractions(region)
            for previous, current in zip(
                fractions, fractions[1:], strict=False
            ):
                largest = max(largest, abs(current - previous))
        return largest

    def _shifted_fractions(self, region: str) -> list[float]:
        served: collections.Counter[float] = collections.Counter()
        moved: collections.Counter[float] = collections.Counter()
        for outcome in self.outcomes:
            if outcome.region == region and outcome.took_s is not None:
                window = outcome.asked_at // WINDOW_S
                served[window] += 1
                moved[window] += outcome.moved
        windows = sorted(served)
        return [moved[window] / served[window] for window in windows]

    def _is_in_time(self, outcome: Outcome) -> bool:
        return outcome.took_s is not None and outcome.took_s <= self.objective_s

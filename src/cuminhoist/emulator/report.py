"""Outcomes of a replay and the figures computed from them."""

import collections
from collections.abc import Iterable
from statistics import fmean

import msgspec

#: Length of the windows over which fractions are compared, in seconds.
WINDOW_S = 2.0
#: First tries at cut entry instances that may fail: a number, and a fraction
#: of all of them.
MIN_TOLERATED_FAILURES = 10
TOLERATED_FAILURES = 0.02


class Outcome(msgspec.Struct, frozen=True):
    """Outcome of one caller's request with its retries.

    :param region: region of the caller.
    :param asked_at: time of the first request, in seconds.
    :param took_s: time until the answer, in seconds; None without an answer.
    :param moved: whether another region served the request.
    :param refusals: number of refusals that the caller got.
    :param at_cut: whether the entry instance that was asked first had been cut
        off from all targets for a while; None if no instance had.
    :param request_class: name of the request class; empty without classes.
    :param workspace: name of the workspace; empty for none.
    :param objective_s: objective of the request, in seconds.
    """

    region: str
    asked_at: float
    took_s: float | None
    moved: bool
    refusals: int
    at_cut: bool | None = None
    request_class: str = ''
    workspace: str = ''
    objective_s: float = float('inf')


class Report(msgspec.Struct):
    """All outcomes of one replay.

    :param objective_s: objective of a request, in seconds.
    :param bound: fraction of the requests that could be in time if all
        arrivals were known, each object was cached where it is needed, and
        no slot was ever idle.
    :param after_notices: requests that reached a target although their region
        had passed on its leaving notice 3 s before the caller sent them.
    :param in_pauses: requests beyond the second that reached a target in a
        pause that it had asked their region for.
    :param over_limits: requests beyond the tolerated ones that reached a
        target 4 s or later after it had first named a limit.
    :param poison_sent_on: tries beyond the third that reached targets 4 s or
        later after three targets had ended under the same request.
    :param refused_as_poison: harmless requests that were refused as the cause
        of a crash.
    """

    objective_s: float
    bound: float
    after_notices: int = 0
    in_pauses: int = 0
    over_limits: int = 0
    poison_sent_on: int = 0
    refused_as_poison: int = 0
    outcomes: list[Outcome] = msgspec.field(default_factory=list)

    def in_time(self, region: str = '') -> float:
        """Return the fraction of the requests that were answered in time.

        :param region: region of the callers; empty for all.
        """
        outcomes = [
            outcome
            for outcome in self.outcomes
            if not region or outcome.region == region
        ]
        in_time = sum(self._is_in_time(outcome) for outcome in outcomes)
        return in_time / len(outcomes) if outcomes else 1

    def served(self) -> float:
        """Return the fraction of the requests that were answered at all."""
        answered = sum(outcome.took_s is not None for outcome in self.outcomes)
        return answered / max(len(self.outcomes), 1)

    def served_by_class(self) -> dict[str, float]:
        """Return the fraction answered at all of each request class."""
        return _fractions(
            (outcome.request_class, outcome.took_s is not None)
            for outcome in self.outcomes
        )

    def served_by_workspace(self) -> dict[str, float]:
        """Return the fraction answered at all of each workspace."""
        return _fractions(
            (outcome.workspace, outcome.took_s is not None)
            for outcome in self.outcomes
        )

    def in_time_by_class(self) -> dict[str, float]:
        """Return the fraction answered in time of each request class."""
        return _fractions(
            (outcome.request_class, self._is_in_time(outcome))
            for outcome in self.outcomes
        )

    def refused_again(self) -> float:
        """Return the fraction refused more than once and never answered."""
        unanswered = sum(
            outcome.took_s is None and outcome.refusals > 1
            for outcome in self.outcomes
        )
        return unanswered / max(len(self.outcomes), 1)

    def failed_at_cut(self) -> int:
        """Return the first tries that failed at cut entry instances.

        :returns: 0 if no more than tolerated failed, or two thirds as many
            were served as at the other instances.
        """
        at_cut = self._first_tries(at_cut=True)
        elsewhere = self._first_tries(at_cut=False)
        failed = at_cut.count(False)
        few = failed <= MIN_TOLERATED_FAILURES + (
            len(at_cut) * TOLERATED_FAILURES
        )
        served = at_cut.count(True) * len(elsewhere)
        similar = 3 * served >= 2 * elsewhere.count(True) * len(at_cut)
        return 0 if few or similar else failed

    def _first_tries(self, *, at_cut: bool) -> list[bool]:
        return [
            outcome.took_s is not None and not outcome.refusals
            for outcome in self.outcomes
            if outcome.at_cut is at_cut
        ]

    def worst_region(self) -> float:
        """Return the lowest fraction in time of any region."""
        regions = {outcome.region for outcome in self.outcomes}
        return min(self.in_time(region) for region in regions)

    def windows(self, region: str = '') -> dict[float, float]:
        """Return the fraction in time by the start of each window.

        :param region: region of the callers; empty for all.
        """
        requests: collections.Counter[float] = collections.Counter()
        in_time: collections.Counter[float] = collections.Counter()
        for outcome in self.outcomes:
            if region and outcome.region != region:
                continue
            window = outcome.asked_at // WINDOW_S * WINDOW_S
            requests[window] += 1
            in_time[window] += self._is_in_time(outcome)
        return {
            window: in_time[window] / requests[window]
            for window in sorted(requests)
        }

    def largest_shift(self) -> float:
        """Return the largest change of a region's fraction of shifted requests.

        Each window is compared with the next one.
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
        shifted: collections.Counter[float] = collections.Counter()
        for outcome in self.outcomes:
            if outcome.region == region and outcome.took_s is not None:
                window = outcome.asked_at // WINDOW_S
                served[window] += 1
                shifted[window] += outcome.moved
        windows = sorted(served)
        return [shifted[window] / served[window] for window in windows]

    def _is_in_time(self, outcome: Outcome) -> bool:
        objective_s = min(outcome.objective_s, self.objective_s)
        return outcome.took_s is not None and outcome.took_s <= objective_s


def _fractions(flags: Iterable[tuple[str, bool]]) -> dict[str, float]:
    """Return the fraction of true flags by name."""
    by_name: dict[str, list[bool]] = {}
    for name, flag in flags:
        by_name.setdefault(name, []).append(flag)
    return {key: fmean(of_key) for key, of_key in by_name.items()}

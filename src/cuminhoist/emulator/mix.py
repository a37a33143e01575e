"""Divides the requests of a pattern among request classes and workspaces."""

import random

from .patterns import Burst, Pattern, RequestClass


class RequestMix:
    """Weights of the request classes and workspaces of a pattern.

    :param pattern: the load pattern.
    """

    def __init__(self, pattern: Pattern) -> None:
        callers = pattern.callers
        self._classes = pattern.classes or (
            RequestClass(
                name='',
                part=1,
                priority=0,
                objective_s=callers.objective_s,
                left_s=callers.left_s,
            ),
        )
        workspaces = pattern.workspaces
        self._workspaces = {
            f'w{number}': (
                workspaces.large_factor if number < workspaces.large else 1
            )
            for number in range(workspaces.count)
        } or {'': float(1)}
        self._bursts = pattern.bursts

    def rate_factor(self, now: float) -> float:
        """Return the factor that bursts of single parts put on all requests.

        :param now: time since the start of the pattern, in seconds.
        """
        usual = sum(kind.part for kind in self._classes)
        factor = sum(self._class_weights(now)) / usual
        usual = sum(self._workspaces.values())
        return factor * sum(self._workspace_weights(now)) / usual

    def choose(
        self, rng: random.Random, now: float
    ) -> tuple[RequestClass, str]:
        """Return the class and the workspace of a request.

        No random number is drawn where there is only one.

        :param rng: source of random numbers.
        :param now: time since the start of the pattern, in seconds.
        """
        kind, workspace = self._classes[0], next(iter(self._workspaces))
        if len(self._classes) > 1:
            kind = rng.choices(self._classes, self._class_weights(now))[0]
        if len(self._workspaces) > 1:
            names = tuple(self._workspaces)
            workspace = rng.choices(names, self._workspace_weights(now))[0]
        return kind, workspace

    def _class_weights(self, now: float) -> list[float]:
        factors: dict[str, float] = {}
        for burst in self._bursts_at(now):
            factors[burst.request_class] = burst.factor
        return [
            kind.part * (factors.get(kind.name, 1) if kind.name else 1)
            for kind in self._classes
        ]

    def _workspace_weights(self, now: float) -> list[float]:
        factors: dict[str, float] = {}
        for burst in self._bursts_at(now):
            factors[burst.workspace] = burst.factor
        return [
            weight * (factors.get(name, 1) if name else 1)
            for name, weight in self._workspaces.items()
        ]

    def _bursts_at(self, now: float) -> list[Burst]:
        return [
            burst
            for burst in self._bursts
            if burst.at_s <= now < burst.at_s + burst.for_s
        ]

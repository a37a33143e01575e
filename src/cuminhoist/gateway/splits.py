"""Divides the requests of a route among its services by weight."""

import random

from .routes import Route, WeightedService


class Splitter:
    """Chooses a service for each request, close to the weights at any time.

    Each route has one credit for each service. A request adds the weights
    to the credits and goes to the highest one, which pays for it.

    :param rng: source of the first credits, so that many instances do not
        choose in step.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request.

        :param route: its route.
        """
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        key = (route.name, shares)
        total = sum(share.weight for share in shares)
        credit = self._credits.setdefault(
            key,
            [self._rng.uniform(0, total) for _ in shares],
        )
        for place, share in enumerate(shares):
            credit[place] += share.weight
        best = max(
            range(len(shares)),
            key=lambda number: (shares[number].weight > 0, credit[number]),
        )
        credit[best] -= total
        return shares[best].service

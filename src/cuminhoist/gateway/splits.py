"""Divides the requests of a route among its services by weight."""

import random

from .routes import Route, WeightedService


class Splitter:
    """Chooses a service for each request by smooth weighted round-robin.

    At any time the requests of a route are divided close to the weights.
    Each route has one credit for each service. A request adds the weights
    to the credits and goes to the service with the highest credit, from
    which the sum of the weights is then subtracted.

    :param rng: source of the initial credits, so that many instances do not
        choose in step.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the next request.

        :param route: route of the request.
        """
        services = route.weighted_services
        if len(services) == 1:
            return services[0].service
        key = (route.name, services)
        total = sum(service.weight for service in services)
        credit = self._credits.setdefault(
            key,
            [self._rng.uniform(0, total) for _ in services],
        )
        for index, service in enumerate(services):
            credit[index] += service.weight
        best = max(
            range(len(services)),
            key=lambda place: (services[place].weight > 0, credit[place]),
        )
        credit[best] -= total
        return services[best].service

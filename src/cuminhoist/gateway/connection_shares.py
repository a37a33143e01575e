"""Shares the connections to targets between the services of an instance.

A service whose targets do not answer would otherwise take all of them, with
requests of a few callers.
"""

import collections
import math


class ConnectionShares:
    """Counts the connections that requests of each service use.

    A service may use as many as are free, so that one service gets half of all
    at most, and others still find some.

    :param most: most connections that are in use at a time.
    """

    def __init__(self, most: float = math.inf) -> None:
        self._most = most
        self._used: collections.Counter[str] = collections.Counter()
        self._total = 0

    def claim(self, service: str) -> bool:
        """Count a connection, unless the share of its service is used up.

        :param service: the service.
        """
        if self._used[service] >= self._most - self._total:
            return False
        self._used[service] += 1
        self._total += 1
        return True

    def release(self, service: str) -> None:
        """Stop counting a connection.

        :param service: the service that it was claimed for.
        """
        self._used[service] -= 1
        self._total -= 1
        if not self._used[service]:
            self._used.pop(service)

"""Counts the bytes that an instance sends to others, by message."""

import abc
import asyncio
from typing import Any

from prometheus_client import CollectorRegistry, Counter

from ..logging_setup import logger
from .messages import Hello

#: Interval between two log lines with the totals, in seconds.
REPORT_INTERVAL_S = 10.0

_log = logger('link')


class LinkMeter(abc.ABC):
    """Counts sent bytes."""

    @abc.abstractmethod
    def count(self, name: str, peer: Any, size: int) -> None:
        """Count one message.

        :param name: name of the frame.
        :param peer: the receiver, with its hello; None before it is known.
        :param size: bytes on the link.
        """


class NoMeter(LinkMeter):
    """Counts nothing."""

    def count(self, name: str, peer: Any, size: int) -> None:
        """Drop a count.

        :param name: name of the frame.
        :param peer: the receiver.
        :param size: bytes on the link.
        """


class PrometheusMeter(LinkMeter):
    """Counts bytes by message and by where the receiver is.

    :param domain: failure domain of this instance.
    :param region: region of this instance.
    :param registry: registry of the counter.
    """

    def __init__(
        self, domain: str, region: str, registry: CollectorRegistry
    ) -> None:
        self._domain = domain
        self._region = region
        self._counter = Counter(
            'cuminhoist_link_bytes',
            'Bytes sent to other instances by message and distance.',
            ('message', 'distance'),
            registry=registry,
        )
        self._bound: dict[tuple[str, str], Counter] = {}
        self._totals: dict[str, int] = {}

    async def run_reports(self) -> None:
        """Log the bytes sent since the start, until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            _log.bind(sent_bytes=self._totals).info('traffic')

    def count(self, name: str, peer: Any, size: int) -> None:
        """Count one message.

        :param name: name of the frame.
        :param peer: the receiver, with its hello; None before it is known.
        :param size: bytes on the link.
        """
        distance = self._distance(getattr(peer, 'hello', None))
        key = (name, distance)
        counter = self._bound.get(key)
        if counter is None:
            counter = self._counter.labels(name, distance)
            self._bound[key] = counter
        counter.inc(size)
        label = f'{name}/{distance}'
        self._totals[label] = self._totals.get(label, 0) + size

    def _distance(self, hello: Hello | None) -> str:
        if hello is None:
            return 'unknown'
        if hello.region != self._region:
            return 'other-region'
        return 'domain' if hello.domain == self._domain else 'other-domain'

"""Counts the bytes that an instance sends to others, by message."""

import abc
import asyncio
from typing import Any

from prometheus_client import CollectorRegistry, Counter
from returns.result import Success

from ..codec import Codec, Message, frame_name_of
from ..logging_setup import logger
from .messages import Hello

#: Interval between two log lines with the totals, in seconds.
REPORT_INTERVAL_S = 10.0
#: Least interval between two lines about rejected messages of one name, in
#: seconds; another instance may send one in each iteration.
REJECTED_LOG_INTERVAL_S = 10.0
_REASON_CHARS = 200

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

    @abc.abstractmethod
    def count_rejected(self, direction: str, name: str, reason: str) -> None:
        """Count a message that cannot be decoded or encoded.

        :param direction: ``received`` or ``sent``.
        :param name: name of the frame; empty if it was received.
        :param reason: why it is rejected.
        """


class NoMeter(LinkMeter):
    """Counts nothing."""

    def count_rejected(self, direction: str, name: str, reason: str) -> None:
        """Drop a count.

        :param direction: direction of the message.
        :param name: name of the frame.
        :param reason: why it is rejected.
        """

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
        self._rejected = Counter(
            'cuminhoist_rejected_messages',
            'Messages between instances that could not be decoded or encoded, '
            'by direction and, if sent, by message.',
            ('direction', 'message'),
            registry=registry,
        )
        #: Time of the last line by direction and message.
        self._rejected_logged_at: dict[tuple[str, str], float] = {}
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

    def count_rejected(self, direction: str, name: str, reason: str) -> None:
        """Count a message that cannot be decoded or encoded.

        Some of them are logged.

        :param direction: ``received`` or ``sent``.
        :param name: name of the frame; empty if it was received.
        :param reason: why it is rejected.
        """
        key = (direction, name)
        self._rejected.labels(*key).inc()
        now = asyncio.get_running_loop().time()
        logged_at = self._rejected_logged_at.get(key, float('-inf'))
        if now - logged_at < REJECTED_LOG_INTERVAL_S:
            return
        self._rejected_logged_at[key] = now
        log_rejected(
            direction=direction, message=name, reason=reason[:_REASON_CHARS]
        )

    def _distance(self, hello: Hello | None) -> str:
        if hello is None:
            return 'unknown'
        if hello.region != self._region:
            return 'other-region'
        return 'domain' if hello.domain == self._domain else 'other-domain'


def log_rejected(**fields: object) -> None:
    """Write the line of a message that cannot be decoded or encoded.

    :param fields: its direction, name and fault.
    """
    _log.bind(**fields).warning('message rejected')


def encode_or_report(codec: Codec, meter: LinkMeter, msg: Message) -> bytes:
    """Return the frame of a message; empty if it cannot be encoded.

    :param codec: encodes the message.
    :param meter: counts a message that cannot be encoded.
    :param msg: the message.
    """
    encoded = codec.try_encode(msg)
    if isinstance(encoded, Success):
        frame: bytes = encoded.unwrap()
        return frame
    name = frame_name_of(type(msg))
    meter.count_rejected('sent', name, encoded.failure())
    return b''

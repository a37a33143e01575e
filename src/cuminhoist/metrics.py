"""Sends metrics to a statsd server; without a host, metrics are dropped."""

import abc
import contextlib
import re
import socket

from statsd.client.base import StatsClientBase

from .settings import StatsdSettings

_UNSAFE_CHARACTERS = re.compile('[^A-Za-z0-9_.-]')
_MAX_DATAGRAM_BYTES = 512


class Metrics(abc.ABC):
    """Interface of metrics; its methods never block or raise."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :param name: name of the counter.
        :param by: how much to add.
        """

    @abc.abstractmethod
    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        :param name: name of the gauge.
        :param level: the new value.
        """

    @abc.abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Add a duration.

        :param name: name of the timer.
        :param seconds: the duration.
        """

    def close(self) -> None:
        """Release the resources of the sender."""


class NoMetrics(Metrics):
    """Drops all metrics."""

    def count(self, name: str, by: int = 1) -> None:
        """Drop a count.

        :param name: name of the counter.
        :param by: how much to add.
        """

    def gauge(self, name: str, level: float) -> None:
        """Drop a gauge.

        :param name: name of the gauge.
        :param level: its level.
        """

    def timing(self, name: str, seconds: float) -> None:
        """Drop a duration.

        :param name: name of the timer.
        :param seconds: the duration.
        """


class _NonBlockingClient(StatsClientBase):  # type: ignore[misc]
    """Statsd client over a non-blocking socket; ignores socket errors."""

    def __init__(self, sock: socket.socket, cfg: StatsdSettings) -> None:
        self._sock = sock
        self._address = (cfg.host, cfg.port)
        self._prefix = cfg.prefix
        self._maxudpsize = _MAX_DATAGRAM_BYTES

    def _send(self, data: str) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data.encode('ascii', 'replace'), self._address)


def _sanitize(name: str) -> str:
    # Names of callers may contain separators of the statsd protocol.
    return _UNSAFE_CHARACTERS.sub('_', name)


class StatsdMetrics(Metrics):
    """Sends each value as one UDP datagram; a full socket buffer drops it.

    :param cfg: address of the statsd server and prefix of the names.
    """

    def __init__(self, cfg: StatsdSettings) -> None:
        self._sock = socket.socket(
            socket.AF_INET6 if ':' in cfg.host else socket.AF_INET,
            socket.SOCK_DGRAM,
        )
        self._sock.setblocking(False)
        self._client = _NonBlockingClient(self._sock, cfg)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :param name: name of the counter.
        :param by: how much to add.
        """
        self._client.incr(_sanitize(name), by)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        :param name: name of the gauge.
        :param level: its level.
        """
        self._client.gauge(_sanitize(name), level)

    def timing(self, name: str, seconds: float) -> None:
        """Add a duration.

        :param name: name of the timer.
        :param seconds: the duration.
        """
        self._client.timing(_sanitize(name), seconds * 1000)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()


def metrics_from_config(cfg: StatsdSettings) -> Metrics:
    """Return the metrics that the settings select.

    :param cfg: address of the statsd server; without a host, metrics are
        dropped.
    """
    return StatsdMetrics(cfg) if cfg.host else NoMetrics()

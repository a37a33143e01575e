"""Metrics over statsd; off when no host is set."""

import abc
import contextlib
import re
import socket

from statsd.client.base import StatsClientBase

from .settings import StatsdSettings

_SEPARATORS = re.compile('[^A-Za-z0-9_.-]')
_MAX_DATAGRAM_BYTES = 512


class Metrics(abc.ABC):
    """Counts and timings that never block or raise."""

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
        :param level: its level.
        """

    @abc.abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Add a duration.

        :param name: name of the timer.
        :param seconds: the duration.
        """

    def close(self) -> None:
        """Release the socket."""


class NoMetrics(Metrics):
    """Drops everything."""

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


class _QuietClient(StatsClientBase):  # type: ignore[misc]
    """Sends over a socket that does not block; errors are dropped."""

    def __init__(self, sock: socket.socket, cfg: StatsdSettings) -> None:
        self._sock = sock
        self._address = (cfg.host, cfg.port)
        self._prefix = cfg.prefix
        self._maxudpsize = _MAX_DATAGRAM_BYTES

    def _send(self, data: str) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendto(data.encode('ascii', 'replace'), self._address)


def _clean(name: str) -> str:
    # Names of callers may hold the separators of the protocol.
    return _SEPARATORS.sub('_', name)


class StatsdMetrics(Metrics):
    """Sends each value as one UDP datagram; a full socket buffer drops it.

    :param cfg: where to send them.
    """

    def __init__(self, cfg: StatsdSettings) -> None:
        self._sock = socket.socket(
            socket.AF_INET6 if ':' in cfg.host else socket.AF_INET,
            socket.SOCK_DGRAM,
        )
        self._sock.setblocking(False)
        self._client = _QuietClient(self._sock, cfg)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        :param name: name of the counter.
        :param by: how much to add.
        """
        self._client.incr(_clean(name), by)

    def gauge(self, name: str, level: float) -> None:
        """Set a gauge.

        :param name: name of the gauge.
        :param level: its level.
        """
        self._client.gauge(_clean(name), level)

    def timing(self, name: str, seconds: float) -> None:
        """Add a duration.

        :param name: name of the timer.
        :param seconds: the duration.
        """
        self._client.timing(_clean(name), seconds * 1000)

    def close(self) -> None:
        """Release the socket."""
        self._sock.close()


def metrics_from_config(cfg: StatsdSettings) -> Metrics:
    """Return metrics that go where the settings say.

    :param cfg: where to send them; no host means nowhere.
    """
    return StatsdMetrics(cfg) if cfg.host else NoMetrics()

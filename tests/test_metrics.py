"""Tests of the statsd client: format of datagrams, and no errors."""

import socket

from cuminhoist.metrics import NoMetrics, metrics_from_config
from cuminhoist.settings import StatsdSettings


def test_datagrams():
    """Guards against datagrams that violate the statsd protocol."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(('127.0.0.1', 0))
        sock.settimeout(5)
        port = sock.getsockname()[1]
        metrics = metrics_from_config(
            StatsdSettings(host='127.0.0.1', port=port)
        )
        metrics.count('requests', 2)
        metrics.gauge('slots é|', 3)
        metrics.timing('latency', 0.0125)
        datagrams = [sock.recv(100) for _ in range(3)]
        metrics.close()
    assert datagrams == [
        b'cuminhoist.requests:2|c',
        b'cuminhoist.slots___:3|g',
        b'cuminhoist.latency:12.500000|ms',
    ]


def test_never_raises():
    """Guards against requests that fail because no statsd server listens."""
    port = 9
    metrics = metrics_from_config(StatsdSettings(host='127.0.0.1', port=port))
    for _ in range(2000):
        metrics.count('requests')
    metrics.close()
    metrics.count('requests é|:')
    assert isinstance(metrics_from_config(StatsdSettings()), NoMetrics)

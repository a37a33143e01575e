"""Closed-loop client: requests/s and latency of one HTTP server."""

import asyncio
import time
from collections.abc import Mapping

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3
_MILLION = 1_000_000


class Measured(msgspec.Struct, frozen=True):
    """What one run measured."""

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    errors: int


class Probe(msgspec.Struct, frozen=True):
    """A request that is sent again and again.

    :param urls: drawn in turn.
    """

    urls: tuple[str, ...]
    headers: Mapping[str, str]


async def measure(probe: Probe, in_flight: int, seconds: float) -> Measured:
    """Send requests from several workers for some time.

    :param probe: the request.
    :param in_flight: number of workers.
    :param seconds: how long to send.
    """
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.perf_counter()
        errors = await asyncio.gather(
            *(
                _work(session, probe, number, histogram, started + seconds)
                for number in range(in_flight)
            ),
        )
        spent_s = time.perf_counter() - started
    return Measured(
        round(histogram.get_total_count() / spent_s, 1),
        round(histogram.get_value_at_percentile(50) / 1000, 3),
        round(histogram.get_value_at_percentile(99) / 1000, 3),
        sum(errors),
    )


async def _work(
    session: aiohttp.ClientSession,
    probe: Probe,
    number: int,
    histogram: HdrHistogram,
    end: float,
) -> int:
    url = probe.urls[number % len(probe.urls)]
    errors = 0
    while time.perf_counter() < end:
        sent = time.perf_counter()
        async with session.get(url, headers=probe.headers) as reply:
            await reply.read()
            errors += reply.status != 200
        spent_us = (time.perf_counter() - sent) * _MILLION
        histogram.record_value(int(spent_us))
    return errors

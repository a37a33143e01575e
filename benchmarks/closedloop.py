"""Closed-loop client that measures the throughput and latency of a server.

Each worker sends its next request when it has the answer to the last one.
"""

import asyncio
import time
from collections.abc import Mapping

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

_LOWEST_LATENCY_US = 1
_HIGHEST_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000


class Measured(msgspec.Struct, frozen=True):
    """Throughput, latency and errors of one run.

    :param errors: answers with another status than 200.
    """

    requests_per_s: float
    p50_ms: float
    p99_ms: float
    errors: int


class Probe(msgspec.Struct, frozen=True):
    """A request that the workers send repeatedly.

    :param urls: shared out among the workers; each keeps to one.
    :param headers: headers of every request.
    """

    urls: tuple[str, ...]
    headers: Mapping[str, str]


async def measure(probe: Probe, in_flight: int, seconds: float) -> Measured:
    """Send requests from several workers and return what was measured.

    :param probe: the request.
    :param in_flight: number of workers, each with one request in flight.
    :param seconds: for how long requests are sent.
    """
    histogram = HdrHistogram(
        _LOWEST_LATENCY_US, _HIGHEST_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started = time.perf_counter()
        errors = await asyncio.gather(
            *(
                _run_worker(
                    session, probe, number, histogram, started + seconds
                )
                for number in range(in_flight)
            ),
        )
        elapsed_s = time.perf_counter() - started
    return Measured(
        round(histogram.get_total_count() / elapsed_s, 1),
        round(histogram.get_value_at_percentile(50) / 1000, 3),
        round(histogram.get_value_at_percentile(99) / 1000, 3),
        sum(errors),
    )


async def _run_worker(
    session: aiohttp.ClientSession,
    probe: Probe,
    number: int,
    histogram: HdrHistogram,
    ends_at: float,
) -> int:
    url = probe.urls[number % len(probe.urls)]
    errors = 0
    while time.perf_counter() < ends_at:
        sent_at = time.perf_counter()
        async with session.get(url, headers=probe.headers) as reply:
            await reply.read()
            errors += reply.status != 200
        latency_us = (time.perf_counter() - sent_at) * _US_PER_S
        histogram.record_value(int(latency_us))
    return errors

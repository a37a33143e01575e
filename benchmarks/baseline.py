"""Compares look-ups with a bare handler, and forwarded with direct requests.

``benchmarks/baseline.sh`` starts the servers as separate processes. Rounds of
both variants alternate, so that other load on the machine slows both.
"""

import asyncio
import statistics

import fire
import httpx
import msgspec

from cuminhoist.config_model import Change
from cuminhoist.types import CALLER_HEADER, KIND_HEADER

from . import mini
from .closedloop import Measured, Probe, measure

_ENTRY = f'http://{mini.HOST}:{mini.FIRST_HTTP_PORT}'
_HEADERS = {CALLER_HEADER: mini.CALLER, KIND_HEADER: mini.KIND}
_START_TIMEOUT_S = 15.0
_RETRY_DELAY_S = 0.2


class Comparison(msgspec.Struct, frozen=True):
    """Medians over the rounds of two variants, and their ratios.

    :param first: figures of the reference.
    :param second: figures of the variant that is compared with it.
    :param throughput_ratio: requests a second of the second to the first.
    :param p50_ratio: median latency of the second to the first.
    """

    name: str
    in_flight: int
    first: Measured
    second: Measured
    throughput_ratio: float
    p50_ratio: float


async def prepare() -> None:
    """Form the control cluster of one instance; apply plans and allowances."""
    changes = (
        Change(change_id='bench-plans', plans=mini.build_plans()),
        Change(
            change_id='bench-allowances',
            allowances=mini.build_allowances(),
        ),
    )
    async with httpx.AsyncClient(trust_env=False) as http:
        async with asyncio.timeout(_START_TIMEOUT_S):
            await _post(http, '/v1/control/init', b'')
            for change in changes:
                await _post(
                    http,
                    '/v1/control/changes',
                    msgspec.json.encode(change),
                )
    await asyncio.sleep(2)


async def _post(http: httpx.AsyncClient, path: str, content: bytes) -> None:
    headers = {'content-type': 'application/json'}
    while True:
        try:
            reply = await http.post(
                f'{_ENTRY}{path}',
                content=content,
                headers=headers,
            )
        except httpx.TransportError:
            await asyncio.sleep(_RETRY_DELAY_S)
            continue
        if reply.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
            return
        await asyncio.sleep(_RETRY_DELAY_S)


async def compare(
    name: str,
    probes: tuple[Probe, Probe],
    in_flight: int,
    seconds: float,
    rounds: int,
) -> Comparison:
    """Measure two variants in alternating rounds.

    :param name: name of the comparison.
    :param probes: requests of the reference and of the variant.
    :param in_flight: number of requests in flight.
    :param seconds: length of a round, in seconds.
    :param rounds: number of rounds of each.
    """
    reference_runs: list[Measured] = []
    variant_runs: list[Measured] = []
    for _ in range(rounds):
        reference_runs.append(await measure(probes[0], in_flight, seconds))
        variant_runs.append(await measure(probes[1], in_flight, seconds))
    reference = _median(reference_runs)
    variant = _median(variant_runs)
    return Comparison(
        name,
        in_flight,
        reference,
        variant,
        round(variant.requests_per_s / reference.requests_per_s, 3),
        round(variant.p50_ms / reference.p50_ms, 3),
    )


def _median(runs: list[Measured]) -> Measured:
    return Measured(
        statistics.median(run.requests_per_s for run in runs),
        statistics.median(run.p50_ms for run in runs),
        statistics.median(run.p99_ms for run in runs),
        sum(run.errors for run in runs),
    )


def _lookup_probes() -> tuple[Probe, Probe]:
    urls = tuple(
        f'{_ENTRY}/v1/lookup?service={mini.SERVICE}&caller=c{number}'
        for number in range(50)
    )
    return Probe((f'http://{mini.HOST}:{mini.BARE_PORT}/',), {}), Probe(
        urls, {}
    )


def _forward_probes() -> tuple[Probe, Probe]:
    direct = tuple(
        f'http://{target.host}:{target.port}/datasets?page=1'
        for target in mini.build_topology().targets
    )
    forwarded = (f'{_ENTRY}/v1/services/{mini.SERVICE}/datasets?page=1',)
    return Probe(direct, _HEADERS), Probe(forwarded, _HEADERS)


async def _compare_all(seconds: float, rounds: int) -> list[Comparison]:
    await prepare()
    comparisons = [
        await compare('look-up', _lookup_probes(), 24, seconds, rounds)
    ]
    for in_flight in (1, 24):
        comparisons.append(
            await compare(
                'forwarded',
                _forward_probes(),
                in_flight,
                seconds,
                rounds,
            ),
        )
    return comparisons


def main(seconds: float = 2, rounds: int = 5) -> None:
    """Print all comparisons as JSON.

    :param seconds: length of a round, in seconds.
    :param rounds: number of rounds.
    """
    comparisons = asyncio.run(_compare_all(seconds, rounds))
    print(msgspec.json.encode(comparisons).decode())  # noqa: WPS421


if __name__ == '__main__':
    fire.Fire(main)

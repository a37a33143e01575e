"""Look-ups against a bare handler, forwarded against direct requests.

The servers run as processes of their own; ``benchmarks/baseline.sh`` starts
them. Rounds of both variants alternate, so that a busy machine slows both.
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
_START_S = 15.0
_PAUSE_S = 0.2


class Pair(msgspec.Struct, frozen=True):
    """Two variants and the ratios between them, medians over rounds."""

    name: str
    in_flight: int
    first: Measured
    second: Measured
    throughput_ratio: float
    p50_ratio: float


async def prepare() -> None:
    """Form the control cluster of one and apply the lists."""
    changes = (
        Change(change_id='bench-plans', plans=mini.build_plans()),
        Change(
            change_id='bench-allowances',
            allowances=mini.build_allowances(),
        ),
    )
    async with httpx.AsyncClient(trust_env=False) as http:
        async with asyncio.timeout(_START_S):
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
            await asyncio.sleep(_PAUSE_S)
            continue
        if reply.status_code < httpx.codes.INTERNAL_SERVER_ERROR:
            return
        await asyncio.sleep(_PAUSE_S)


async def compare(
    name: str,
    probes: tuple[Probe, Probe],
    in_flight: int,
    seconds: float,
    rounds: int,
) -> Pair:
    """Measure two variants in alternating rounds.

    :param name: name of the comparison.
    :param probes: the reference first.
    :param in_flight: number of workers.
    :param seconds: length of a round.
    :param rounds: number of rounds.
    """
    first_runs: list[Measured] = []
    second_runs: list[Measured] = []
    for _ in range(rounds):
        first_runs.append(await measure(probes[0], in_flight, seconds))
        second_runs.append(await measure(probes[1], in_flight, seconds))
    first = _median(first_runs)
    second = _median(second_runs)
    return Pair(
        name,
        in_flight,
        first,
        second,
        round(second.requests_per_s / first.requests_per_s, 3),
        round(second.p50_ms / first.p50_ms, 3),
    )


def _median(measured: list[Measured]) -> Measured:
    return Measured(
        statistics.median(one.requests_per_s for one in measured),
        statistics.median(one.p50_ms for one in measured),
        statistics.median(one.p99_ms for one in measured),
        sum(one.errors for one in measured),
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


async def _run(seconds: float, rounds: int) -> list[Pair]:
    await prepare()
    pairs = [await compare('look-up', _lookup_probes(), 24, seconds, rounds)]
    for in_flight in (1, 24):
        pairs.append(
            await compare(
                'forwarded',
                _forward_probes(),
                in_flight,
                seconds,
                rounds,
            ),
        )
    return pairs


def main(seconds: float = 2, rounds: int = 5) -> None:
    """Print all comparisons as JSON.

    :param seconds: length of a round.
    :param rounds: number of rounds.
    """
    pairs = asyncio.run(_run(seconds, rounds))
    print(msgspec.json.encode(pairs).decode())  # noqa: WPS421


if __name__ == '__main__':
    fire.Fire(main)

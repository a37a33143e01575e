"""Measures the cost of a request's spans with tracing on and off.

Prints JSON. Run: python -m benchmarks.tracing [--requests 2000] [--rounds 5]
"""

import pathlib
import statistics
import tempfile
import time

import fire
import msgspec

from cuminhoist.tracing import Tracer

_INCOMING_TRACEPARENT = (
    '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
)
_SPAN_NAMES = ('admission', 'choice', 'attempt', 'response')


def _trace_request(tracer: Tracer) -> None:
    with tracer.span(
        'request', _INCOMING_TRACEPARENT, caller='acme', service='catalogue'
    ):
        for span_name in _SPAN_NAMES:
            with tracer.span(span_name, target='catalogue-01'):
                tracer.outgoing_traceparent(_INCOMING_TRACEPARENT)


def _cpu_us(tracer: Tracer, requests: int) -> float:
    started = time.process_time()
    for _ in range(requests):
        _trace_request(tracer)
    return (time.process_time() - started) / requests * 1e6


def run(requests: int = 2000, rounds: int = 5) -> None:
    """Measure and print the processor time per request.

    :param requests: number of requests in each run.
    :param rounds: number of runs of each variant.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'spans.jsonl'
        tracers = {
            'off': Tracer(),
            'on': Tracer.from_config(str(path), 'entry-1'),
        }
        times: dict[str, list[float]] = {name: [] for name in tracers}
        for _ in range(rounds):
            for name, tracer in tracers.items():
                times[name].append(_cpu_us(tracer, requests))
        tracers['on'].close()
    medians = {
        f'{variant}_us': round(statistics.median(runs), 1)
        for variant, runs in times.items()
    }
    print(msgspec.json.encode(medians).decode())


if __name__ == '__main__':
    fire.Fire(run)

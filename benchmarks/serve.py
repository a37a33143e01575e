"""Servers for the benchmarks; each command runs one in its process."""

import asyncio
import json
from typing import Any

import fire

from cuminhoist.httpserver import HttpServer
from demo.standins import StandinUpstreams

from . import mini

#: About as large as the answer to a look-up.
_ANSWER_BODY = json.dumps({'entries': ['x' * 400], 'lifetime_s': 10}).encode()


async def _answer_constant(scope: Any, receive: Any, send: Any) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(_ANSWER_BODY)).encode()),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': _ANSWER_BODY})


async def _serve_standins(work_s: float) -> None:
    upstreams = StandinUpstreams(mini.build_topology().targets, work_s)
    await upstreams.start()
    await asyncio.Event().wait()


def bare() -> None:
    """Serve a constant answer as large as that of a look-up."""
    server = HttpServer.from_app(_answer_constant, mini.HOST, mini.BARE_PORT)
    asyncio.run(server.serve())


def standins(work_s: float = 0.002) -> None:
    """Serve the stand-in targets of the small deployment.

    :param work_s: run time of one request, in seconds.
    """
    asyncio.run(_serve_standins(work_s))


if __name__ == '__main__':
    fire.Fire({'bare': bare, 'standins': standins})

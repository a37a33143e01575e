"""HTTP interfaces of the platform, as ASGI applications."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from ..fleet.control_instance import (
    Acknowledged,
    ControlInstance,
    Invalid,
    OrderOutcome,
)
from ..fleet.instance_config import Address
from ..gateway.answers import Send
from ..gateway.bodies import CallerGone, Receive

_READY_PATH = '/-/ready'
_LOOKUP_PATH = '/-/resolve'
_CONFIG_PATH = '/-/config'
#: The platform says evacuate for the drain of a failure domain.
_DRAIN_PATH = '/-/evacuate/'

_JSON = b'application/json'
_TEXT = b'text/plain; version=0.0.4'
#: Life of a look-up answer in seconds; some callers keep it three times as
#: long, and a stopping instance serves for six seconds.
LOOKUP_TTL_S = 1.5

Lookup = Callable[[str, str], list[Address]]
App = Callable[[Any, Receive, Send], Awaitable[None]]


def readiness_app(is_ready: Callable[[], bool]) -> App:
    """Return the application that tells whether requests are taken.

    :param is_ready: tells it.
    """

    async def answer(scope: Any, _receive: Receive, send: Send) -> None:
        known = scope['path'] == _READY_PATH
        status = (200 if is_ready() else 503) if known else 404
        await _reply(send, status, b'')

    return answer


def metrics_app(text: Callable[[], bytes]) -> App:
    """Return the application that serves counters and histograms.

    :param text: returns them in the exposition format.
    """

    async def answer(_scope: Any, _receive: Receive, send: Send) -> None:
        await _reply(send, 200, text(), _TEXT)

    return answer


def lookup_app(lookup: Lookup, ttl_max_s: float) -> App:
    """Return the application that tells callers where to connect.

    :param lookup: returns entry instances for a region and a domain.
    :param ttl_max_s: longest life of an answer, in seconds.
    """

    async def answer(scope: Any, _receive: Receive, send: Send) -> None:
        if scope['path'] != _LOOKUP_PATH:
            await _reply(send, 404, b'')
            return
        query = parse_qs(scope['query_string'].decode('latin-1'))
        addresses = lookup(
            query.get('region', [''])[0],
            query.get('zone', [''])[0],
        )
        if not addresses:
            await _reply(send, 503, b'')
            return
        content = {
            'addresses': [str(address) for address in addresses],
            'ttl_s': min(LOOKUP_TTL_S, ttl_max_s),
        }
        await _reply(send, 200, msgspec.json.encode(content), _JSON)

    return answer


def operators_app(role: ControlInstance) -> App:
    """Return the application that takes operators' orders.

    :param role: the control instance.
    """

    async def answer(scope: Any, receive: Receive, send: Send) -> None:
        path, method = scope['path'], scope['method']
        if path == _CONFIG_PATH and method == 'PUT':
            body = await _read(receive)
            outcome = await role.replace_configuration(body)
            await _reply_outcome(send, outcome)
        elif path == _CONFIG_PATH and method == 'GET':
            content = await role.read_configuration()
            status = 503 if content is None else 200
            await _reply(send, status, content or b'', _JSON)
        elif path.startswith(_DRAIN_PATH) and method in {'POST', 'DELETE'}:
            domain = path.removeprefix(_DRAIN_PATH)
            outcome = await role.drain_domain(domain, drained=method == 'POST')
            await _reply_outcome(send, outcome)
        else:
            await _reply(send, 404, b'')

    return answer


async def _read(receive: Receive) -> bytes:
    parts = []
    while True:
        event = await receive()
        if event['type'] != 'http.request':
            raise CallerGone
        parts.append(event.get('body', b''))
        if not event.get('more_body', False):
            return b''.join(parts)


async def _reply_outcome(send: Send, outcome: OrderOutcome) -> None:
    if isinstance(outcome, Acknowledged):
        await _reply(send, 200, b'')
    elif isinstance(outcome, Invalid):
        content = msgspec.json.encode({'error': outcome.reason})
        await _reply(send, 400, content, _JSON)
    else:
        await _reply(send, 503, b'')


async def _reply(
    send: Send,
    status: int,
    body: bytes,
    kind: bytes = _JSON,
) -> None:
    headers = [
        (b'content-type', kind),
        (b'content-length', b'%d' % len(body)),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})

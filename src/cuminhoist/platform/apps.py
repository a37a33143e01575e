"""HTTP interfaces of the platform, as ASGI applications."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec
from returns.result import Result, Success

from ..fleet.instance_config import Address
from ..fleet.operator_orders import (
    Acknowledged,
    Invalid,
    OperatorOrders,
    OrderOutcome,
)
from ..gateway.answers import Send
from ..gateway.bodies import Receive
from ..order_bodies import BodyFault, OrderBodies

_READY_PATH = '/-/ready'
_LOOKUP_PATH = '/-/resolve'
_CONFIG_PATH = '/-/config'
#: The platform's word for the drain of a failure domain is evacuate.
_DRAIN_PATH = '/-/evacuate/'

_JSON = b'application/json'
_STATUS_BY_FAULT = {
    BodyFault.too_large: 413,
    BodyFault.stopped: 408,
    BodyFault.crowded: 503,
}
_TEXT = b'text/plain; version=0.0.4'
#: How long a look-up answer is valid, in seconds; some callers keep it three
#: times as long, and a stopping instance serves for six seconds.
LOOKUP_TTL_S = 1.5

Lookup = Callable[[str, str], list[Address]]
App = Callable[[Any, Receive, Send], Awaitable[None]]


def readiness_app(is_ready: Callable[[], bool]) -> App:
    """Return the application that tells whether the instance is ready.

    :param is_ready: returns whether the instance accepts requests.
    """

    async def answer(scope: Any, _receive: Receive, send: Send) -> None:
        path_found = scope['path'] == _READY_PATH
        status = (200 if is_ready() else 503) if path_found else 404
        await _send_answer(send, status, b'')

    return answer


def metrics_app(render: Callable[[], bytes]) -> App:
    """Return the application that serves the metrics.

    :param render: returns the metrics in the text exposition format.
    """

    async def answer(_scope: Any, _receive: Receive, send: Send) -> None:
        await _send_answer(send, 200, render(), _TEXT)

    return answer


def lookup_app(lookup: Lookup, ttl_max_s: float) -> App:
    """Return the application that tells callers which instances to use.

    :param lookup: returns entry instances for a region and a domain.
    :param ttl_max_s: limit on the validity of an answer, in seconds.
    """

    async def answer(scope: Any, _receive: Receive, send: Send) -> None:
        if scope['path'] != _LOOKUP_PATH:
            await _send_answer(send, 404, b'')
            return
        query = parse_qs(scope['query_string'].decode('latin-1'))
        addresses = lookup(
            query.get('region', [''])[0],
            query.get('zone', [''])[0],
        )
        if not addresses:
            await _send_answer(send, 503, b'')
            return
        content = {
            'addresses': [str(address) for address in addresses],
            'ttl_s': min(LOOKUP_TTL_S, ttl_max_s),
        }
        await _send_answer(send, 200, msgspec.json.encode(content), _JSON)

    return answer


def operators_app(orders: OperatorOrders, memory_bytes: float = 0) -> App:
    """Return the application for operators' orders.

    :param orders: submits the orders.
    :param memory_bytes: memory limit of the process; 0 if there is none.
    """
    bodies = OrderBodies.from_memory(memory_bytes)

    async def answer(scope: Any, receive: Receive, send: Send) -> None:
        path, method = scope['path'], scope['method']
        if path == _CONFIG_PATH and method == 'PUT':
            await _replace_configuration(
                orders, await bodies.read(scope, receive), send
            )
        elif path == _CONFIG_PATH and method == 'GET':
            content = await orders.read_configuration()
            status = 503 if content is None else 200
            await _send_answer(send, status, content or b'', _JSON)
        elif path.startswith(_DRAIN_PATH) and method in {'POST', 'DELETE'}:
            gone = scope['state']['caller_disconnected']
            outcome = await orders.drain_domain(
                path.removeprefix(_DRAIN_PATH),
                drained=method == 'POST',
                is_awaited=lambda: not gone.done(),
            )
            await _send_outcome(send, outcome)
        else:
            await _send_answer(send, 404, b'')

    return answer


async def _replace_configuration(
    orders: OperatorOrders, read: Result[bytes, BodyFault], send: Send
) -> None:
    """Submit an order, or refuse one whose body was not read."""
    if isinstance(read, Success):
        outcome = await orders.replace_configuration(read.unwrap())
        await _send_outcome(send, outcome)
    elif read.failure() is not BodyFault.disconnected:
        status = _STATUS_BY_FAULT[read.failure()]
        await _send_answer(send, status, b'', closes=True)


async def _send_outcome(send: Send, outcome: OrderOutcome) -> None:
    if isinstance(outcome, Acknowledged):
        await _send_answer(send, 200, b'')
    elif isinstance(outcome, Invalid):
        content = msgspec.json.encode({'error': outcome.reason})
        await _send_answer(send, 400, content, _JSON)
    else:
        await _send_answer(send, 503, b'')


async def _send_answer(
    send: Send,
    status: int,
    body: bytes,
    content_type: bytes = _JSON,
    *,
    closes: bool = False,
) -> None:
    headers = [
        (b'content-type', content_type),
        (b'content-length', b'%d' % len(body)),
    ]
    if closes:
        headers.append((b'connection', b'close'))
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers},
    )
    await send({'type': 'http.response.body', 'body': body})

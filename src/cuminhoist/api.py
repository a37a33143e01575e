"""HTTP interface for callers."""

from collections.abc import AsyncIterator
from typing import Any

from litestar import asgi, get
from litestar.types import Receive, Scope, Send
from returns.result import Failure

from .entry import CallerRequest, EntryService
from .forwarding import Answer
from .lookup import Lookup, LookupAnswer
from .problems import Refusal, encode_problem, problem_headers
from .types import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    KIND_HEADER,
)

SERVICES_PATH = '/v1/services'
_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'transfer-encoding',
        b'te',
        b'upgrade',
        b'host',
        b'proxy-connection',
    )
)


def _end_to_end(
    headers: list[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in _HOP_HEADERS
    ]


async def _body(receive: Receive) -> AsyncIterator[bytes]:
    while True:
        event: Any = await receive()
        if event['type'] == 'http.disconnect':
            raise ConnectionError('the caller has gone')
        yield event.get('body', b'')
        if not event.get('more_body', False):
            return


def read_request(scope: Any, receive: Receive) -> CallerRequest:
    """Build a request from an ASGI scope.

    :param scope: the scope of a connection below the services path.
    :param receive: source of the body.
    """
    headers = _end_to_end(list(scope['headers']))
    named = {name.decode(): text.decode() for name, text in headers}
    # The router rewrites scope['path'] of a mount; the raw path is as sent.
    raw: bytes = scope['raw_path']
    path = raw.decode('latin-1').removeprefix(f'{SERVICES_PATH}/')
    service, _, rest = path.partition('/')
    query = scope['query_string'].decode()
    deadline = named.get(DEADLINE_HEADER, '')
    return CallerRequest(
        service=service,
        caller=named.get(CALLER_HEADER, ''),
        kind=named.get(KIND_HEADER, ''),
        method=str(scope['method']),
        path=f'/{rest}?{query}' if query else f'/{rest}',
        headers=headers,
        body=_body(receive),
        deadline_s=int(deadline) / 1000 if deadline.isdigit() else None,
        key=named.get(KEY_HEADER, ''),
    )


async def _send_refusal(refusal: Refusal, send: Send) -> None:
    headers = [
        (name.encode(), text.encode())
        for name, text in problem_headers(refusal)
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': refusal.status,
            'headers': headers,
        }
    )
    await send(
        {
            'type': 'http.response.body',
            'body': encode_problem(refusal),
            'more_body': False,
        }
    )


async def _send_answer(answer: Answer, send: Send) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': _end_to_end(answer.headers),
        }
    )
    async for chunk in answer.body:
        await send(
            {
                'type': 'http.response.body',
                'body': chunk,
                'more_body': True,
            }
        )
    await send(
        {
            'type': 'http.response.body',
            'body': b'',
            'more_body': False,
        }
    )


def services_handler(entry: EntryService) -> Any:
    """Return the ASGI handler of requests to services.

    :param entry: serves the requests.
    """

    @asgi(SERVICES_PATH, is_mount=True, copy_scope=False)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        outcome = await entry.serve(read_request(scope, receive))
        if isinstance(outcome, Failure):
            await _send_refusal(outcome.failure(), send)
        else:
            await _send_answer(outcome.unwrap(), send)

    return serve


def lookup_handler(lookup: Lookup) -> Any:
    """Return the handler of look-ups.

    :param lookup: orders the entry instances.
    """

    @get('/v1/lookup', sync_to_thread=False)
    def find(service: str, caller: str, client: str = '') -> LookupAnswer:
        return lookup.find(service, caller, client)

    return find

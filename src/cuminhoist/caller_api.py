"""HTTP interface for callers."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import asgi, get
from litestar.types import Receive, Scope, Send
from returns.result import Failure, Result, Success

from .attempts import Answer, ForwardingError, RequestBodyError
from .caller_request import CallerRequest
from .entry import EntryService
from .explain import Explainer, Explanation
from .headers import (
    HOP_HEADER,
    RAN_HEADER,
    REFUSAL_HEADER,
    body_framing,
    filter_answer_headers,
    filter_request_headers,
    find_duplicate_header,
)
from .hop_signing import Hop, HopRequest, HopSigner
from .httpserver import MAX_HEADER_BYTES, MAX_HEADERS
from .logging_setup import logger
from .lookup import Lookup, LookupAnswer
from .problems import Refusal, encode_problem, problem_headers
from .tracing import TRACEPARENT, Tracer
from .types import (
    CALLER_HEADER,
    CLIENT_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    KIND_HEADER,
    Ran,
    Reason,
)

SERVICES_PATH = '/v1/services'
MAX_BODY_BYTES = 1024 * 1024 * 1024
#: A deadline beyond a day is taken for a mistake of the caller.
MAX_DEADLINE_MS = 24 * 3600 * 1000

_MAX_DIGITS = 9
_LATIN = 'latin-1'
_log = logger('api')
_NO_BODY_STATUS = frozenset((204, 304))


class RequestBody:
    """The body of a caller's request; nothing is read before it is used.

    :param receive: source of ASGI events.
    :param has_body: whether a body follows the head.
    :param limit: most bytes that it may have.
    """

    def __init__(self, receive: Receive, has_body: bool, limit: int) -> None:
        self._receive = receive
        self._done = not has_body
        self._left = limit

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the bytes as they arrive."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next bytes."""
        if self._done:
            raise StopAsyncIteration
        event: Any = await self._receive()
        if event['type'] == 'http.disconnect':
            raise RequestBodyError(
                Refusal(
                    ran=Ran.unknown,
                    reason=Reason.cancelled,
                    detail='The caller has gone.',
                )
            )
        chunk: bytes = event.get('body', b'')
        self._left -= len(chunk)
        if self._left < 0:
            raise RequestBodyError(
                Refusal(ran=Ran.unknown, reason=Reason.body_too_large)
            )
        self._done = not event.get('more_body', False)
        return chunk


def _bad(detail: str) -> Failure[Refusal]:
    return Failure(
        Refusal(ran=Ran.not_run, reason=Reason.bad_request, detail=detail)
    )


def _check_head(scope: Any) -> Refusal | None:
    headers = scope['headers']
    size = sum(len(name) + len(text) for name, text in headers)
    size += len(scope['raw_path']) + len(scope['query_string'])
    detail = ''
    if len(headers) > MAX_HEADERS:
        detail = f'More than {MAX_HEADERS} headers.'
    elif size > MAX_HEADER_BYTES:
        detail = f'The header exceeds {MAX_HEADER_BYTES} bytes.'
    else:
        twice = find_duplicate_header(headers)
        detail = f'More than one header {twice!r}.' if twice else ''
    if detail:
        return _bad(detail).failure()
    length = body_framing(headers).length
    if length is not None and length > MAX_BODY_BYTES:
        return Refusal(
            ran=Ran.not_run,
            reason=Reason.body_too_large,
            detail=f'The body exceeds {MAX_BODY_BYTES} bytes.',
        )
    return None


def _deadline_s(text: str | None) -> Result[float | None, Refusal]:
    if text is None:
        return Success(None)
    valid = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    if not valid or not 0 < int(text) <= MAX_DEADLINE_MS:
        return _bad(
            f'{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds.'
        )
    return Success(int(text) / 1000)


def read_request(
    scope: Any,
    receive: Receive,
    hops: HopSigner | None = None,
) -> Result[CallerRequest, Refusal]:
    """Build a request from an ASGI scope.

    :param scope: the scope of a connection below the services path.
    :param receive: source of the body.
    :param hops: checks the headers of other instances; None trusts none.
    """
    fault = _check_head(scope)
    if fault is not None:
        return Failure(fault)
    headers = scope['headers']
    named = {name.decode(_LATIN): text.decode(_LATIN) for name, text in headers}
    deadline = _deadline_s(named.get(DEADLINE_HEADER))
    if isinstance(deadline, Failure):
        return deadline
    # The router rewrites scope['path'] of a mount; the raw path is as sent.
    raw = scope['raw_path'].decode(_LATIN)
    service, _, rest = raw.removeprefix(f'{SERVICES_PATH}/').partition('/')
    if not raw.startswith(f'{SERVICES_PATH}/') or not service:
        return _bad(f'The path must be {SERVICES_PATH}/SERVICE/PATH.')
    query = scope['query_string'].decode(_LATIN)
    req = CallerRequest(
        service=service,
        caller=named.get(CALLER_HEADER, ''),
        kind=named.get(KIND_HEADER, ''),
        method=str(scope['method']),
        path=f'/{rest}?{query}' if query else f'/{rest}',
        headers=filter_request_headers(headers),
        body=RequestBody(
            receive, body_framing(headers).has_body, MAX_BODY_BYTES
        ),
        client_ip=_client_of(scope, named),
        deadline_s=deadline.unwrap(),
        idempotency_key=named.get(KEY_HEADER, ''),
        traceparent=named.get(TRACEPARENT, ''),
    )
    return _with_hop(req, named.get(HOP_HEADER), hops)


def _client_of(scope: Any, named: dict[str, str]) -> str:
    peer = scope.get('client') or ('', 0)
    return named.get(CLIENT_HEADER) or str(peer[0])


def _with_hop(
    req: CallerRequest,
    header: str | None,
    hops: HopSigner | None,
) -> Result[CallerRequest, Refusal]:
    if header is None or hops is None:
        return Success(req)
    route = HopRequest(req.method, f'/{req.service}{req.path}', req.caller)
    checked: Result[Hop, Any] = hops.verify(header, route)
    if isinstance(checked, Success):
        return Success(msgspec.structs.replace(req, hop=checked.unwrap()))
    error = checked.failure()
    if error.forged:
        return Success(req)
    return _bad(f'The header {HOP_HEADER} is not valid: {error.reason}.')


async def _send_refusal(refusal: Refusal, send: Send) -> None:
    body = encode_problem(refusal)
    headers = [
        (name.encode(), text.encode())
        for name, text in problem_headers(refusal)
    ]
    headers.append((REFUSAL_HEADER.encode(), b'1'))
    headers.append((RAN_HEADER.encode(), refusal.ran.encode()))
    headers.append((b'content-length', str(len(body)).encode()))
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
            'body': body,
            'more_body': False,
        }
    )


async def _send_answer(answer: Answer, scope: Any, send: Send) -> None:
    headers = filter_answer_headers(answer.headers)
    if answer.status in _NO_BODY_STATUS:
        headers = [pair for pair in headers if pair[0] != b'content-length']
    if any(name == b'date' for name, _ in headers):
        scope['state']['omit_date_header']()
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
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


async def _outcome(
    entry: EntryService,
    req: CallerRequest,
) -> Result[Answer, Refusal]:
    try:
        return await entry.serve(req)
    except ForwardingError as exc:
        return Failure(exc.refusal)
    except Exception:
        # Any other answer without the marker would pass for the target's.
        _log.exception('Serving a request failed.')
        return Failure(
            Refusal(
                ran=Ran.unknown,
                reason=Reason.target_lost,
                detail='An internal error ended the request.',
            )
        )


async def _serve(
    entry: EntryService,
    req: CallerRequest,
    scope: Any,
    send: Send,
) -> None:
    outcome = await _outcome(entry, req)
    if isinstance(outcome, Failure):
        await _send_refusal(outcome.failure(), send)
        return
    answer = outcome.unwrap()
    try:
        await _send_answer(answer, scope, send)
    except ForwardingError:
        # The caller must not take the part that it has for the whole.
        scope['state']['abort']()
    finally:
        answer.abort()


def services_handler(
    entry: EntryService,
    hop_signer: HopSigner | None = None,
) -> Any:
    """Return the ASGI handler of requests to services.

    :param entry: serves the requests.
    :param hop_signer: checks the headers of other instances; None trusts none.
    """

    @asgi(SERVICES_PATH, is_mount=True, copy_scope=False)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        request = read_request(scope, receive, hop_signer)
        if isinstance(request, Failure):
            await _send_refusal(request.failure(), send)
            return
        async with _CancelWhenGone(scope):
            await _serve(entry, request.unwrap(), scope, send)

    return serve


class _CancelWhenGone:
    """Cancels the running request when its caller disconnects."""

    def __init__(self, scope: Any) -> None:
        self._gone: asyncio.Future[None] = scope['state']['caller_disconnected']
        self._task: asyncio.Task[Any] | None = None

    async def __aenter__(self) -> None:
        self._task = asyncio.current_task()
        self._gone.add_done_callback(self._cancel)

    async def __aexit__(self, kind: Any, _exc: Any, _trace: Any) -> bool:
        # The callback may be on its way already; it must not cancel what
        # follows this block.
        task = self._task
        self._task = None
        self._gone.remove_done_callback(self._cancel)
        cancelled = kind is asyncio.CancelledError and self._gone.done()
        if cancelled and task is not None:
            task.uncancel()
        return cancelled

    def _cancel(self, _gone: Any) -> None:
        if self._task is not None:
            self._task.cancel()


def lookup_handler(lookup: Lookup, tracer: Tracer | None = None) -> Any:
    """Return the handler of look-ups.

    :param lookup: orders the entry instances.
    :param tracer: makes a span for each look-up.
    """
    spans = tracer or Tracer()

    @get('/v1/lookup', sync_to_thread=False)
    def find(service: str, caller: str, client: str = '') -> LookupAnswer:
        with spans.span('look-up', service=service):
            return lookup.find(service, caller, client)

    return find


def explain_handler(explainer: Explainer) -> Any:
    """Return the handler that explains decisions.

    :param explainer: explains them.
    """

    @get('/v1/explain', sync_to_thread=False)
    def explain(
        caller: str,
        service: str,
        kind: str,
        client: str = '',
    ) -> Explanation:
        return explainer.explain(caller, service, kind, client)

    return explain

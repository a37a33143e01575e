"""Serves callers over HTTP: requests to services, look-ups, explanations.

Requests to services are handled as plain ASGI, because headers and paths pass
to the target unchanged and bodies are streamed. A refusal has a marker header;
an answer without it counts as the answer of the target.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from litestar import asgi, get
from litestar.types import Receive, Scope, Send
from returns.result import Failure, Result, Success

from .attempts import Answer, ForwardingError, RequestBodyError
from .caller_connection import MAX_HEADERS
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
#: One day. A longer deadline is refused as a mistake of the caller.
MAX_DEADLINE_MS = 24 * 3600 * 1000

#: A deadline with more digits is refused before it is converted.
_MAX_DEADLINE_DIGITS = 9
_HEADER_ENCODING = 'latin-1'
_log = logger('api')
_NO_BODY_STATUS = frozenset((204, 304))


class RequestBody:
    """The body of a caller's request, read only as it is iterated.

    With ``expect: 100-continue`` the caller sends the body after the first
    read, that is, after the request was admitted.

    :param receive: source of ASGI events.
    :param has_body: whether a body follows the head.
    :param max_bytes: largest allowed size.
    """

    def __init__(
        self, receive: Receive, has_body: bool, max_bytes: int
    ) -> None:
        self._receive = receive
        self._ended = not has_body
        self._bytes_left = max_bytes

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the bytes as they arrive."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next bytes."""
        if self._ended:
            raise StopAsyncIteration
        event: Any = await self._receive()
        if event['type'] == 'http.disconnect':
            raise RequestBodyError(
                Refusal(
                    ran=Ran.unknown,
                    reason=Reason.cancelled,
                    detail='The caller disconnected.',
                )
            )
        chunk: bytes = event.get('body', b'')
        self._bytes_left -= len(chunk)
        if self._bytes_left < 0:
            raise RequestBodyError(
                Refusal(ran=Ran.unknown, reason=Reason.body_too_large)
            )
        self._ended = not event.get('more_body', False)
        return chunk


def _bad_request(detail: str) -> Failure[Refusal]:
    return Failure(
        Refusal(ran=Ran.not_run, reason=Reason.bad_request, detail=detail)
    )


def _check_head(scope: Any) -> Refusal | None:
    headers = scope['headers']
    detail = ''
    if len(headers) > MAX_HEADERS:
        detail = f'More than {MAX_HEADERS} headers.'
    else:
        duplicate = find_duplicate_header(headers)
        detail = f'More than one header {duplicate!r}.' if duplicate else ''
    if detail:
        return _bad_request(detail).failure()
    length = body_framing(headers).length
    if length is not None and length > MAX_BODY_BYTES:
        return Refusal(
            ran=Ran.not_run,
            reason=Reason.body_too_large,
            detail=f'The body exceeds {MAX_BODY_BYTES} bytes.',
        )
    return None


def _parse_deadline_s(text: str | None) -> Result[float | None, Refusal]:
    if text is None:
        return Success(None)
    is_number = (
        text.isascii() and text.isdigit() and len(text) <= _MAX_DEADLINE_DIGITS
    )
    if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
        return _bad_request(
            f'{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds.'
        )
    return Success(int(text) / 1000)


def read_request(
    scope: Any,
    receive: Receive,
    hop_signer: HopSigner | None = None,
) -> Result[CallerRequest, Refusal]:
    """Build a request from an ASGI scope, or refuse an invalid one.

    :param scope: the scope of a request below the services path.
    :param receive: source of the body.
    :param hop_signer: verifies the hop headers of other instances; None
        ignores these headers.
    """
    refusal = _check_head(scope)
    if refusal is not None:
        return Failure(refusal)
    headers = scope['headers']
    header_by_name = {
        name.decode(_HEADER_ENCODING): text.decode(_HEADER_ENCODING)
        for name, text in headers
    }
    deadline = _parse_deadline_s(header_by_name.get(DEADLINE_HEADER))
    if isinstance(deadline, Failure):
        return deadline
    # The router rewrites scope['path'] below a mount; scope['raw_path'] stays
    # as the caller sent it.
    raw_path = scope['raw_path'].decode(_HEADER_ENCODING)
    service, _, target_path = raw_path.removeprefix(
        f'{SERVICES_PATH}/'
    ).partition('/')
    if not raw_path.startswith(f'{SERVICES_PATH}/') or not service:
        return _bad_request(f'The path must be {SERVICES_PATH}/SERVICE/PATH.')
    query = scope['query_string'].decode(_HEADER_ENCODING)
    req = CallerRequest(
        service=service,
        caller=header_by_name.get(CALLER_HEADER, ''),
        kind=header_by_name.get(KIND_HEADER, ''),
        method=str(scope['method']),
        path=f'/{target_path}?{query}' if query else f'/{target_path}',
        headers=filter_request_headers(headers),
        body=RequestBody(
            receive, body_framing(headers).has_body, MAX_BODY_BYTES
        ),
        client_ip=_client_ip(scope, header_by_name),
        deadline_s=deadline.unwrap(),
        idempotency_key=header_by_name.get(KEY_HEADER, ''),
        traceparent=header_by_name.get(TRACEPARENT, ''),
    )
    return _verify_hop(req, header_by_name.get(HOP_HEADER), hop_signer)


def _client_ip(scope: Any, header_by_name: dict[str, str]) -> str:
    peer = scope.get('client') or ('', 0)
    return header_by_name.get(CLIENT_HEADER) or str(peer[0])


def _verify_hop(
    req: CallerRequest,
    header: str | None,
    hop_signer: HopSigner | None,
) -> Result[CallerRequest, Refusal]:
    if header is None or hop_signer is None:
        return Success(req)
    hop_request = HopRequest(
        req.method, f'/{req.service}{req.path}', req.caller
    )
    verified: Result[Hop, Any] = hop_signer.verify(header, hop_request)
    if isinstance(verified, Success):
        return Success(msgspec.structs.replace(req, hop=verified.unwrap()))
    error = verified.failure()
    if error.forged:
        return Success(req)
    return _bad_request(
        f'The header {HOP_HEADER} is not valid: {error.reason}.'
    )


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


async def _serve_or_refuse(
    entry: EntryService,
    req: CallerRequest,
) -> Result[Answer, Refusal]:
    try:
        return await entry.serve(req)
    except ForwardingError as exc:
        return Failure(exc.refusal)
    except Exception:
        # Without the refusal marker, the caller would take an error of this
        # instance for the answer of the target.
        _log.exception('unexpected error while serving a request')
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
    outcome = await _serve_or_refuse(entry, req)
    if isinstance(outcome, Failure):
        await _send_refusal(outcome.failure(), send)
        return
    answer = outcome.unwrap()
    try:
        await _send_answer(answer, scope, send)
    except ForwardingError:
        # Resets the connection, so that the caller does not take the truncated
        # answer for a complete one.
        scope['state']['abort']()
    finally:
        answer.abort()


def services_handler(
    entry: EntryService,
    hop_signer: HopSigner | None = None,
) -> Any:
    """Return the ASGI handler of requests to services.

    :param entry: serves the requests.
    :param hop_signer: verifies the hop headers of other instances; None
        ignores these headers.
    """

    @asgi(SERVICES_PATH, is_mount=True, copy_scope=False)
    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        request = read_request(scope, receive, hop_signer)
        if isinstance(request, Failure):
            await _send_refusal(request.failure(), send)
            return
        async with _CancelOnDisconnect(scope):
            await _serve(entry, request.unwrap(), scope, send)

    return serve


class _CancelOnDisconnect:
    """Cancels the task of the block when the caller disconnects."""

    def __init__(self, scope: Any) -> None:
        self._disconnected: asyncio.Future[None] = scope['state'][
            'caller_disconnected'
        ]
        self._task: asyncio.Task[Any] | None = None

    async def __aenter__(self) -> None:
        self._task = asyncio.current_task()
        self._disconnected.add_done_callback(self._cancel)

    async def __aexit__(self, kind: Any, _exc: Any, _trace: Any) -> bool:
        # The callback may be scheduled already; without a task it does not
        # cancel the code after this block.
        task = self._task
        self._task = None
        self._disconnected.remove_done_callback(self._cancel)
        cancelled = kind is asyncio.CancelledError and self._disconnected.done()
        if cancelled and task is not None:
            task.uncancel()
        return cancelled

    def _cancel(self, _disconnected: Any) -> None:
        if self._task is not None:
            self._task.cancel()


def lookup_handler(lookup: Lookup, tracer: Tracer | None = None) -> Any:
    """Return the handler of look-ups.

    :param lookup: chooses and orders the entry instances.
    :param tracer: records a span for each look-up; None records nothing.
    """
    lookup_tracer = tracer or Tracer()

    @get('/v1/lookup', sync_to_thread=False)
    def find(service: str, caller: str, client: str = '') -> LookupAnswer:
        with lookup_tracer.span('look-up', service=service):
            return lookup.find(service, caller, client)

    return find


def explain_handler(explainer: Explainer) -> Any:
    """Return the handler that explains where a request would go.

    :param explainer: makes the explanations.
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

"""Headers of requests and answers."""

from typing import Any

from ..exchange import Headers, RequestHead
from ..gateway.wire import AnswerMetadata, IncomingRequest, WireFormat

_REQUEST_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
_EXPECTED_TARGET = b'x-expect-instance'
#: A cookie; its text names the object that the request is about.
_OBJECT_COOKIE = 'X-Affinity-Key'
_NOT_RUN = b'x-not-executed'
#: Running and waiting requests and slots of the target.
_LOAD = b'x-server-load'

_MISDIRECTED_STATUS = 421
_MS = 1000

#: Headers that concern one connection only.
_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_REPLACED = frozenset((_DEADLINE, _EXPECTED_TARGET))


class PlatformWire(WireFormat):
    """Headers as the platform's callers and targets use them."""

    def decode_request(self, scope: Any) -> IncomingRequest:
        """Return the request of an ASGI scope.

        :param scope: the scope.
        """
        headers: Headers = scope['headers']
        named = dict(headers)
        query = scope['query_string']
        target = scope['raw_path']
        if query:
            target = b'%b?%b' % (target, query)
        host = named.get(b'host', b'').decode('latin-1')
        chunked = b'chunked' in named.get(b'transfer-encoding', b'').lower()
        length = named.get(b'content-length', b'0')
        return IncomingRequest(
            request_id=named.get(_REQUEST_ID, b'').decode('latin-1'),
            method=scope['method'],
            host=host.rpartition(':')[0] if ':' in host else host,
            path=scope['raw_path'].decode('latin-1'),
            request_target=target,
            key=_cookie(named.get(b'cookie', b'').decode('latin-1')),
            left_s=_seconds(named.get(_DEADLINE)),
            headers=_passed_on(headers, chunked),
            has_body=chunked or length != b'0',
            chunked=chunked,
        )

    def encode_attempt(
        self,
        req: IncomingRequest,
        left_s: float,
        target_name: str,
    ) -> RequestHead:
        """Return the head of an attempt at a target.

        :param req: the request.
        :param left_s: time that the target may take, in seconds.
        :param target_name: identity of the target that must answer.
        """
        left_ms = max(int(left_s * _MS), 1)
        return RequestHead(
            req.method.encode('latin-1'),
            req.request_target,
            [
                *req.headers,
                (_DEADLINE, b'%d' % left_ms),
                (_EXPECTED_TARGET, target_name.encode('latin-1')),
            ],
        )

    def echoed_header(self, req: IncomingRequest) -> tuple[bytes, bytes] | None:
        """Return the header that the answer to a request repeats.

        :param req: the request.
        """
        if not req.request_id:
            return None
        return _REQUEST_ID, req.request_id.encode('latin-1')

    def read_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what a target says beside its answer.

        :param status: status of the answer.
        :param headers: its headers, names in lower case.
        """
        named = dict(headers)
        misdirected = status == _MISDIRECTED_STATUS
        return AnswerMetadata(
            not_run=misdirected or _NOT_RUN in named,
            misdirected=misdirected,
            has_free_slots=_has_room(named.get(_LOAD, b'')),
            leaving=b'close' in named.get(b'connection', b'').lower(),
            idle_s=_keep_alive_s(named.get(b'keep-alive', b'')),
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets.

        :param headers: those of the target.
        """
        return [
            header for header in headers if header[0] not in _CONNECTION_HEADERS
        ]


def _passed_on(headers: Headers, chunked: bool) -> Headers:
    dropped = set(_CONNECTION_HEADERS)
    for name, text in headers:
        if name == b'connection':
            dropped.update(part.strip().lower() for part in text.split(b','))
    # Names that the connection lists may not remove what frames the request.
    dropped -= {b'host', b'content-length', _REQUEST_ID, b'cookie'}
    kept = [
        header
        for header in headers
        if header[0] not in dropped and header[0] not in _REPLACED
    ]
    return [*kept, (b'transfer-encoding', b'chunked')] if chunked else kept


def _cookie(text: str) -> str:
    for part in text.split(';'):
        name, _, content = part.strip().partition('=')
        if name == _OBJECT_COOKIE:
            return content
    return ''


def _seconds(text: bytes | None) -> float | None:
    try:
        return float(text) / _MS if text else None
    except ValueError:
        return None


def _has_room(load: bytes) -> bool | None:
    parts = load.split(b',')
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return not waiting and running < slots


def _keep_alive_s(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, content = part.strip().partition(b'=')
        if name.lower() == b'timeout' and content.isdigit():
            return float(content)
    return None

"""Decodes and encodes the platform's headers of requests and answers."""

import math
import re
from typing import Any

import msgspec

from ..exchange import Echo, Headers, RequestHead
from ..gateway.hosts import canonical_host, is_host
from ..gateway.wire import (
    RELAYED_WORKSPACE,
    AnswerMetadata,
    IncomingRequest,
    WireFormat,
)
from ..steering.target_load import TargetLoad

_REQUEST_ID = b'x-request-id'
_DEADLINE = b'x-deadline-ms'
_EXPECTED_TARGET = b'x-expect-instance'
#: Name of a cookie; its value identifies the object of the request.
_OBJECT_COOKIE = 'X-Affinity-Key'
_NOT_RUN = b'x-not-executed'
#: Counts of running requests, waiting requests and slots of the target,
#: separated by commas. Some targets add how long work takes at this moment, in
#: percent of the usual time.
_LOAD = b'x-server-load'
#: Sent by the application of a target; other parts of it send answers without.
_STAMP = b'x-server-stamp'
#: Sent with the value 1 in all answers of a target that is about to stop.
_LEAVING = b'server-leaving'
#: In a 503 of a target: seconds in which this instance shall send it nothing.
_RETRY_AFTER = b'retry-after'
#: In all answers of a target in need: requests per second that it takes from
#: all instances together.
_LIMIT = b'server-limit'

#: Key of the caller's workspace, after the word Bearer.
_AUTHORIZATION = b'authorization'
_BEARER = b'bearer'
#: Name of the workspace, for the target.
_WORKSPACE = b'x-tenant'

_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503
_CLIENT_ERROR_STATUSES = range(400, 500)
#: Longest pause that a target may ask for, in seconds; the list of targets
#: tells of one that is gone for longer.
MAX_PAUSE_S = 30.0
_DECIMAL = re.compile(rb'\d+(\.\d*)?')
#: Longest part of a header that is kept for a log line, in bytes.
_LOGGED_TEXT_BYTES = 40
#: Encoding of text in headers.
_ENCODING = 'latin-1'
_MS = 1000
_PERCENT = 100
#: Three counts, and perhaps a percentage above zero, of at most nine digits.
_COUNTS = re.compile(
    rb'(\s*\d{1,9}\s*,){2}\s*\d{1,9}\s*(,\s*(?=0*[1-9])\d{1,9}\s*)?'
)

#: Hop-by-hop headers; they are not passed on.
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
_IDENTITY_HEADERS = frozenset((_AUTHORIZATION, _WORKSPACE))
_REPLACED_HEADERS = frozenset((_DEADLINE, _EXPECTED_TARGET))


class PlatformWire(WireFormat):
    """Headers as the platform's callers and targets use them."""

    def decode_request(self, scope: Any) -> IncomingRequest:
        """Return the request of an ASGI scope.

        :param scope: the scope.
        """
        authority = scope['state']['authority']
        request_target = scope['state']['request_target']
        headers: Headers = scope['headers']
        if authority:
            # The host of an absolute target goes before the host header.
            others = [header for header in headers if header[0] != b'host']
            headers = [(b'host', authority), *others]
        headers_by_name = dict(headers)
        host = headers_by_name.get(b'host', b'').decode(_ENCODING)
        chunked = (
            b'chunked' in headers_by_name.get(b'transfer-encoding', b'').lower()
        )
        length = headers_by_name.get(b'content-length', b'0')
        return IncomingRequest(
            request_id=headers_by_name.get(_REQUEST_ID, b'').decode(_ENCODING),
            method=scope['method'],
            host=canonical_host(host) if is_host(host) else '',
            path=request_target.partition(b'?')[0].decode(_ENCODING),
            request_target=request_target,
            key=_object_key(
                headers_by_name.get(b'cookie', b'').decode(_ENCODING)
            ),
            left_s=_deadline_s(headers_by_name.get(_DEADLINE)),
            headers=_forwarded_headers(headers, chunked),
            has_body=chunked or length != b'0',
            chunked=chunked,
            body_bytes=None if chunked else int(length),
            caller=(scope.get('client') or ('',))[0],
            api_key=_api_key(headers),
            workspace=scope['state'].get(RELAYED_WORKSPACE, ''),
        )

    def identify(self, req: IncomingRequest, workspace: str) -> IncomingRequest:
        """Return a request without its key, as one of a workspace.

        :param req: the request.
        :param workspace: name of the workspace; empty for none.
        """
        headers = [
            header
            for header in req.headers
            if header[0] not in _IDENTITY_HEADERS
        ]
        return msgspec.structs.replace(
            req, headers=headers, api_key='', workspace=workspace
        )

    def encode_attempt(
        self,
        req: IncomingRequest,
        left_s: float,
        target_name: str,
    ) -> RequestHead:
        """Return the request head of an attempt at a target.

        :param req: the request.
        :param left_s: time left for the attempt, in seconds.
        :param target_name: identity of the target that must answer.
        """
        left_ms = max(int(left_s * _MS), 1)
        headers = [
            *req.headers,
            (_DEADLINE, b'%d' % left_ms),
            (_EXPECTED_TARGET, target_name.encode(_ENCODING)),
        ]
        if req.workspace:
            headers.append((_WORKSPACE, req.workspace.encode()))
        return RequestHead(
            req.method.encode(_ENCODING), req.request_target, headers
        )

    def echoed_header(self, req: IncomingRequest) -> Echo | None:
        """Return the header that the answer must repeat, or None.

        :param req: the request.
        """
        if not req.request_id:
            return None
        return Echo(_REQUEST_ID, req.request_id.encode(_ENCODING))

    def read_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what the headers of an answer tell about the target.

        :param status: HTTP status of the answer.
        :param headers: its headers, names in lower case.
        """
        headers_by_name = dict(headers)
        names = [name for name, _ in headers]
        misdirected = status == _MISDIRECTED_STATUS
        pause_s, odd_pause = _pause(status, headers_by_name)
        load, odd_load = _target_load(headers_by_name.get(_LOAD, b''))
        return AnswerMetadata(
            not_run=misdirected or _NOT_RUN in headers_by_name,
            misdirected=misdirected,
            load=load,
            odd_load=odd_load,
            closes_connection=(
                b'close' in headers_by_name.get(b'connection', b'').lower()
            ),
            target_leaving=headers_by_name.get(_LEAVING, b'').strip() == b'1',
            pause_s=pause_s,
            odd_pause=odd_pause,
            limit_per_s=_limit_per_s(headers_by_name.get(_LIMIT, b'')),
            idle_timeout_s=_idle_timeout_s(
                headers_by_name.get(b'keep-alive', b'')
            ),
            stamped=_STAMP in headers_by_name,
            contradicts_itself=(
                names.count(_STAMP) > 1
                or names.count(_NOT_RUN) > 1
                or (_NOT_RUN in headers_by_name and not _is_refusal(status))
            ),
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets.

        :param headers: headers of the target's answer.
        """
        return [
            header for header in headers if header[0] not in _CONNECTION_HEADERS
        ]


def _is_refusal(status: int) -> bool:
    """Tell whether a target may answer so without running the request."""
    return status == _UNAVAILABLE_STATUS or status in _CLIENT_ERROR_STATUSES


def _forwarded_headers(headers: Headers, chunked: bool) -> Headers:
    dropped = set(_CONNECTION_HEADERS)
    for name, text in headers:
        if name == b'connection':
            dropped.update(part.strip().lower() for part in text.split(b','))
    # A caller must not remove these headers by listing them in its
    # connection header.
    dropped -= {b'host', b'content-length', _REQUEST_ID, b'cookie'}
    forwarded = [
        header
        for header in _with_one_id(headers)
        if header[0] not in dropped and header[0] not in _REPLACED_HEADERS
    ]
    return (
        [*forwarded, (b'transfer-encoding', b'chunked')]
        if chunked
        else forwarded
    )


def _with_one_id(headers: Headers) -> Headers:
    """Return headers with the last of several ids only, which names a request.

    Its target may repeat any of them in its answer.
    """
    ids = [header for header in headers if header[0] == _REQUEST_ID]
    if len(ids) <= 1:
        return headers
    others = [header for header in headers if header[0] != _REQUEST_ID]
    return [*others, ids[-1]]


def _object_key(text: str) -> str:
    for part in text.split(';'):
        name, _, content = part.strip().partition('=')
        if name == _OBJECT_COOKIE:
            return content
    return ''


def _deadline_s(text: bytes | None) -> float | None:
    try:
        # An underscore between digits is no part of a number here.
        left_ms = float((text or b'nan').replace(b'_', b'?'))
    except ValueError:
        return None
    return left_ms / _MS if math.isfinite(left_ms) else None


def _api_key(headers: Headers) -> str:
    """Return the key; empty if there is none or more than one."""
    found = [text for name, text in headers if name == _AUTHORIZATION]
    if len(found) != 1:
        return ''
    scheme, _, api_key = found[0].strip().partition(b' ')
    if scheme.lower() != _BEARER:
        return ''
    return api_key.strip().decode('utf-8', 'surrogateescape')


def _target_load(text: bytes) -> tuple[TargetLoad | None, str]:
    """Return the load, and its text if it can't be parsed."""
    if not text.strip():
        return None, ''
    if not _COUNTS.fullmatch(text):
        return None, text[:_LOGGED_TEXT_BYTES].decode(_ENCODING)
    running, waiting, slots, *percent = (
        int(count) for count in text.split(b',')
    )
    slowdown = percent[0] / _PERCENT if percent else None
    return TargetLoad(running, waiting, slots, slowdown), ''


def _pause(
    status: int, headers_by_name: dict[bytes, bytes]
) -> tuple[float, str]:
    """Return the pause in seconds, and its text if it is out of range."""
    if status != _UNAVAILABLE_STATUS or _RETRY_AFTER not in headers_by_name:
        return 0, ''
    text = headers_by_name[_RETRY_AFTER].strip()
    # An HTTP date is ignored: the clocks of targets may differ.
    pause_s = float(text) if _DECIMAL.fullmatch(text) else 0
    if 0 < pause_s <= MAX_PAUSE_S:
        return pause_s, ''
    return min(pause_s, MAX_PAUSE_S), text[:_LOGGED_TEXT_BYTES].decode(
        'latin-1'
    )


def _limit_per_s(text: bytes) -> float:
    text = text.strip()
    return float(text) if _DECIMAL.fullmatch(text) else float('inf')


def _idle_timeout_s(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, content = part.strip().partition(b'=')
        if name.lower() == b'timeout' and content.isdigit():
            return float(content)
    return None

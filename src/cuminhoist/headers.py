"""Which headers pass from callers to targets and back."""

import msgspec

from .types import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    DRAINING_HEADER,
    KEY_HEADER,
    KIND_HEADER,
    NOT_RUN_HEADER,
)

Headers = list[tuple[bytes, bytes]]

HOP_HEADER = 'x-cuminhoist-hop'
REFUSAL_HEADER = 'x-cuminhoist-refusal'
RAN_HEADER = 'x-cuminhoist-ran'

_OWN_PREFIX = b'x-cuminhoist-'
_PUBLIC = frozenset(
    name.encode() for name in (CALLER_HEADER, KIND_HEADER, DEADLINE_HEADER)
)
_FROM_TARGETS = frozenset((NOT_RUN_HEADER.encode(), DRAINING_HEADER.encode()))
_ONCE = frozenset((*_PUBLIC, KEY_HEADER.encode(), HOP_HEADER.encode()))
_CONNECTION = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_CHUNKED = (b'transfer-encoding', b'chunked')


class Framing(msgspec.Struct, frozen=True):
    """How the body of a message is delimited.

    :param length: declared bytes, or None.
    :param chunked: whether it is sent in chunks.
    """

    length: int | None
    chunked: bool

    @property
    def has_body(self) -> bool:
        """Whether a body may follow."""
        return self.chunked or bool(self.length)


def body_framing(headers: Headers) -> Framing:
    """Return how the body of a message is delimited.

    :param headers: headers of the message, with names in lower case.
    """
    named = dict(headers)
    if b'chunked' in named.get(b'transfer-encoding', b'').lower():
        return Framing(None, chunked=True)
    length = named.get(b'content-length', b'')
    return Framing(int(length) if length.isdigit() else None, chunked=False)


def find_duplicate_header(headers: Headers) -> str:
    """Return a header that stands twice but may not; empty if none does.

    :param headers: headers of a request.
    """
    seen = set()
    for name, _ in headers:
        if name in _ONCE and name in seen:
            return name.decode('latin-1')
        seen.add(name)
    return ''


def filter_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request that go on to a target.

    Only the framing of the body is kept of the headers that belong to the
    connection. Headers that only instances may send are dropped.

    :param headers: headers of a request, with names in lower case.
    """
    chunked = body_framing(headers).chunked
    dropped = _named_by_connection(headers) - _ONCE
    kept = [
        pair
        for pair in headers
        if pair[0] not in dropped
        and pair[0] not in _FROM_TARGETS
        and pair[0] != b'host'
        and (pair[0] in _PUBLIC or not pair[0].startswith(_OWN_PREFIX))
        and not (chunked and pair[0] == b'content-length')
    ]
    return [*kept, _CHUNKED] if chunked else kept


def filter_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that go on to the caller.

    :param headers: headers of an answer.
    """
    lower = [(name.lower(), text) for name, text in headers]
    dropped = _named_by_connection(lower)
    chunked = body_framing(lower).chunked
    return [
        pair
        for pair in lower
        if pair[0] not in dropped
        and not pair[0].startswith(_OWN_PREFIX)
        and not (chunked and pair[0] == b'content-length')
    ]


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    named = {
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    }
    # A caller must not have the framing dropped.
    named.discard(b'content-length')
    return _CONNECTION | named

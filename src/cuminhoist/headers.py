"""Filters the headers of requests and answers that are passed on.

Headers of one connection (RFC 9110, hop-by-hop) and headers that only
instances may set are dropped. The framing of the body is kept consistent, so
that caller, instance and target agree where a body ends.
"""

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

#: Headers with this prefix are set by instances; callers may set only
#: a few of them.
_INTERNAL_PREFIX = b'x-cuminhoist-'
_CALLER_HEADERS = frozenset(
    name.encode() for name in (CALLER_HEADER, KIND_HEADER, DEADLINE_HEADER)
)
#: Targets set these in answers; a caller must not send them.
_TARGET_HEADERS = frozenset((NOT_RUN_HEADER.encode(), DRAINING_HEADER.encode()))
#: Headers that a request must not repeat.
_SINGLE_HEADERS = frozenset(
    (*_CALLER_HEADERS, KEY_HEADER.encode(), HOP_HEADER.encode())
)
_HOP_BY_HOP_HEADERS = frozenset(
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
_CHUNKED_CODING = (b'transfer-encoding', b'chunked')


class Framing(msgspec.Struct, frozen=True):
    """How the body of a message is delimited.

    :param length: declared length in bytes, or None.
    :param chunked: whether the chunked transfer coding is used.
    """

    length: int | None
    chunked: bool

    @property
    def has_body(self) -> bool:
        """Whether a body may follow the head."""
        return self.chunked or bool(self.length)


def body_framing(headers: Headers) -> Framing:
    """Return how the body of a message is delimited.

    :param headers: headers of the message, with names in lower case.
    """
    by_name = dict(headers)
    if b'chunked' in by_name.get(b'transfer-encoding', b'').lower():
        return Framing(None, chunked=True)
    length = by_name.get(b'content-length', b'')
    return Framing(int(length) if length.isdigit() else None, chunked=False)


def find_duplicate_header(headers: Headers) -> str:
    """Return the name of a header that must not be repeated but is.

    :param headers: headers of a request, with names in lower case.
    :returns: the name; empty if there is no such header.
    """
    seen = set()
    for name, _ in headers:
        if name in _SINGLE_HEADERS and name in seen:
            return name.decode('latin-1')
        seen.add(name)
    return ''


def filter_request_headers(headers: Headers) -> Headers:
    """Return the headers of a request that are passed on to a target.

    Of the headers of the connection, only the framing of the body is kept.
    Headers that only instances may set are dropped.

    :param headers: headers of a request, with names in lower case.
    """
    chunked = body_framing(headers).chunked
    dropped = _hop_by_hop_names(headers) - _SINGLE_HEADERS
    kept = [
        pair
        for pair in headers
        if pair[0] not in dropped
        and pair[0] not in _TARGET_HEADERS
        and pair[0] != b'host'
        and (
            pair[0] in _CALLER_HEADERS
            or not pair[0].startswith(_INTERNAL_PREFIX)
        )
        and not (chunked and pair[0] == b'content-length')
    ]
    return [*kept, _CHUNKED_CODING] if chunked else kept


def filter_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an answer that are passed on to the caller.

    :param headers: headers of an answer.
    """
    lower_headers = [(name.lower(), value) for name, value in headers]
    dropped = _hop_by_hop_names(lower_headers)
    chunked = body_framing(lower_headers).chunked
    return [
        pair
        for pair in lower_headers
        if pair[0] not in dropped
        and not pair[0].startswith(_INTERNAL_PREFIX)
        and not (chunked and pair[0] == b'content-length')
    ]


def _hop_by_hop_names(headers: Headers) -> frozenset[bytes]:
    names = {
        token.strip().lower()
        for name, value in headers
        if name == b'connection'
        for token in value.split(b',')
    }
    # Naming the length in a connection header must not remove the framing.
    names.discard(b'content-length')
    return _HOP_BY_HOP_HEADERS | names

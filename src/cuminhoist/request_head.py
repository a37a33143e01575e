"""Checks of request heads that the HTTP parser leaves to its caller."""

from .request_target import split_target

Headers = list[tuple[bytes, bytes]]

_VERSIONS = frozenset(('1.0', '1.1'))
_CONNECT = b'CONNECT'


def find_head_fault(
    method: bytes, version: str, target: bytes, headers: Headers
) -> str:
    """Return why a request must not be passed on; empty for a proper one.

    Another server could read such a request, or the end of its body, in
    another way (request smuggling).

    :param method: method of the request.
    :param version: version of HTTP, such as ``1.1``.
    :param target: the target as it stands in the request line.
    :param headers: headers of the request, with names in lower case.
    """
    if version not in _VERSIONS:
        return f'HTTP {version} is not supported.'
    if method == _CONNECT:
        return 'Tunnels are not supported.'
    return _find_target_fault(target) or _find_header_fault(headers)


def _find_target_fault(target: bytes) -> str:
    authority, path = split_target(target)
    if b'#' in target:
        return 'The target has a fragment.'
    if not authority and path != b'*' and not target.startswith(b'/'):
        return 'The target has no path.'
    return ''


def _find_header_fault(headers: Headers) -> str:
    hosts = [text for name, text in headers if name == b'host']
    if len(hosts) > 1:
        return 'There is more than one host header.'
    codings = [
        text.lower() for name, text in headers if name == b'transfer-encoding'
    ]
    # The parser takes other codings before it and reports an unknown one only
    # after the head.
    if codings not in ([], [b'chunked']):
        return 'The transfer coding is not supported.'
    return ''

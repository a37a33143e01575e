"""Canonical form of hosts and paths, for the routes and for requests alike."""

import re
from urllib.parse import quote

_ESCAPE = re.compile('%[0-9a-fA-F]{2}')
#: Printable ASCII characters stay as they are.
_ASCII = ''.join(chr(code) for code in range(0x21, 0x7F))


def canonical_host(text: str) -> str:
    """Return the host name by which routes are looked up.

    Host names are case-insensitive, and neither a port nor the trailing dot
    of a fully qualified name belongs to the host that is meant.

    :param text: host name with an optional port, as in a host header, a
        request target or a configuration; an IPv6 address stands in brackets.
    """
    name = text.strip().lower()
    host, separator, port = name.rpartition(':')
    if separator and (not port or port.isdigit()) and not _is_bare_ipv6(host):
        name = host
    return name.removesuffix('.')


def encode_international_host(text: str) -> str:
    """Return a host name with letters outside ASCII in its ASCII form.

    Requests carry only this form.

    :param text: the host name.
    :raises ValueError: if there is no such form.
    """
    return text if text.isascii() else text.encode('idna').decode('ascii')


def canonical_path(path: str) -> str:
    """Return the path by which routes are looked up.

    Letters outside ASCII are escaped, as requests carry them only in this
    form, and the digits of escapes are in upper case.

    :param path: path without a query, or the prefix of a route.
    """
    escaped = path
    if not path.isascii():
        escaped = quote(path, safe=_ASCII)
    if '%' not in escaped:
        return escaped
    return _ESCAPE.sub(lambda found: found.group().upper(), escaped)


def _is_bare_ipv6(host: str) -> bool:
    return ':' in host and not host.endswith(']')

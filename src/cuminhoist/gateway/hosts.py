"""Canonical form of host names, for the routes and for requests alike."""

import re

_HOST = re.compile(
    r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._~!$&'()*+,;=%-]+)(:[0-9]*)?"
)


def is_host(text: str) -> bool:
    """Return whether a text is a host with an optional port.

    :param text: text of a host header.
    """
    return _HOST.fullmatch(text) is not None


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


def _is_bare_ipv6(host: str) -> bool:
    return ':' in host and not host.endswith(']')

"""Splits the targets of HTTP requests."""


def split_target(target: bytes) -> tuple[bytes, bytes]:
    """Return the authority of a request target, and its path and query.

    The authority is empty unless the target is in absolute form.

    :param target: the target as it stands in the request line.
    """
    scheme, separator, rest = target.partition(b'://')
    if not separator or b'/' in scheme or b'?' in scheme:
        return b'', target
    path_at = next(
        (index for index, char in enumerate(rest) if char in b'/?'), len(rest)
    )
    path = rest[path_at:]
    return rest[:path_at], path if path.startswith(b'/') else b'/%b' % path

"""Targets of requests in origin form and in absolute form."""

import pytest

from cuminhoist.request_target import split_target


@pytest.mark.parametrize(
    ('target', 'authority', 'path_and_query'),
    [
        (b'/a/b?', b'', b'/a/b?'),
        (b'/a?u=http://x/', b'', b'/a?u=http://x/'),
        (b'//a/b', b'', b'//a/b'),
        (b'*', b'', b'*'),
        (b'http://other.example:80/a?q', b'other.example:80', b'/a?q'),
        (b'http://other.example:/a', b'other.example:', b'/a'),
        (b'http://other.example?q', b'other.example', b'/?q'),
        (b'http://other.example', b'other.example', b'/'),
    ],
)
def test_target_is_split(target, authority, path_and_query):
    """Guards against a changed query, or a 400 for an absolute target."""
    assert split_target(target) == (authority, path_and_query)

"""Hosts and paths are compared in one spelling."""

import pytest

from cuminhoist.gateway.hosts import (
    canonical_host,
    canonical_path,
    is_host,
)


@pytest.mark.parametrize(
    ('text', 'name'),
    [
        ('shop.example', 'shop.example'),
        ('Shop.EXAMPLE', 'shop.example'),
        ('shop.example.', 'shop.example'),
        ('shop.example:8548', 'shop.example'),
        ('shop.example.:80', 'shop.example'),
        ('shop.example:', 'shop.example'),
        (' shop.example ', 'shop.example'),
        ('[2001:DB8::1]:80', '[2001:db8::1]'),
        ('[2001:db8::1]', '[2001:db8::1]'),
        ('2001:db8::1', '2001:db8::1'),
        ('', ''),
        ('.', ''),
    ],
)
def test_spellings_of_a_host_are_one(text, name):
    """Guards against a 404 for a host that is written in another way."""
    assert canonical_host(text) == name


@pytest.mark.parametrize(
    'text',
    ['shop.example', 'SHOP.example.:80', '[::1]:80', '10.0.0.1:', 'a%20'],
)
def test_host_with_an_optional_port(text):
    """Guards against a 400 for a proper host header."""
    assert is_host(text)


@pytest.mark.parametrize(
    'text', ['', ':80', 'a/b', 'user@a', 'a, b', 'a b', 'a:b', 'a:80:90', 'é']
)
def test_text_that_is_no_host(text):
    """Guards against routing by a host header that is malformed."""
    assert not is_host(text)


@pytest.mark.parametrize(
    ('text', 'path'),
    [
        ('/a/b', '/a/b'),
        ('/a/%2f%C3', '/a/%2F%C3'),
        ('/t\u0101maki/', '/t%C4%81maki/'),
        ('/a/100%/x', '/a/100%/x'),
        ('/a/"<|>', '/a/"<|>'),
    ],
)
def test_spellings_of_a_path_are_one(text, path):
    """Guards against a 404 for a path that is escaped in another way."""
    assert canonical_path(text) == path

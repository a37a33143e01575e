"""Hosts and paths are compared in one spelling."""

import pytest

from cuminhoist.gateway.hosts import canonical_host, canonical_path


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

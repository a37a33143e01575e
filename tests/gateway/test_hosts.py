"""Host names are compared in one spelling."""

import pytest

from cuminhoist.gateway.hosts import canonical_host


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

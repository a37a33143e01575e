"""Tests of decoding the operators' configuration.

An invalid or truncated configuration must not come in force, and wire names
and units must not get into the product.
"""

import json

import pytest
from returns.result import Failure

from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.platform.configuration import decode_routes


def _wire(**path):
    fields = {
        'name': 'r-1',
        'path_prefix': '/a/',
        'type': 'safe',
        'timeout_ms': 1000,
        'aim_ms': 250,
        'priority': 2,
        'backend': 'svc',
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
        **path,
    }
    return {
        'version': 'r7',
        'services': [{'name': 'svc', 'cold_start_s': 3.0, 'cold_per_s': 9.4}],
        'limits': {'max_body_bytes': 1000},
        'hosts': [{'hostname': 'Shop.example', 'paths': [fields]}],
    }


def _decode(content):
    return decode_routes(json.dumps(content).encode())


def test_units_and_names_are_ours():
    """Guards against wire names and milliseconds inside the product."""
    table = _decode(_wire(allowed_regions=['north'])).unwrap()
    route = table.find('shop.example', '/a/b')
    assert table.version == 7
    assert route.timeout_s == 1
    assert route.objective_s == 0.25
    assert route.allowed_regions == {'north'}
    assert route.weighted_services[0].service == 'svc'
    assert table.limits.max_body_bytes == 1000
    assert table.services['svc'].cold_per_s == 9.4


@pytest.mark.parametrize(
    ('kind', 'repeat'),
    [
        ('safe', RepeatPolicy.idempotent),
        ('download', RepeatPolicy.idempotent),
        ('unsafe', RepeatPolicy.once),
    ],
)
def test_what_may_be_repeated(kind, repeat):
    """Guards against retries of requests that may run only once."""
    table = _decode(_wire(type=kind)).unwrap()
    assert table.find('shop.example', '/a/').repeat is repeat


@pytest.mark.parametrize(
    'path',
    [
        {'backend': 'nobody'},
        {'type': 'odd'},
        {'aim_ms': 61000},
        {'backend': None, 'traffic_split': [{'backend': 'no', 'weight': 1}]},
    ],
)
def test_invalid_routes_are_refused(path):
    """Guards against putting an invalid configuration in force."""
    assert isinstance(_decode(_wire(**path)), Failure)


def test_empty_host_and_cut_content_are_refused():
    """Guards against accepting a truncated or malformed configuration."""
    content = _wire()
    content['hosts'][0]['hostname'] = ''
    assert isinstance(_decode(content), Failure)
    complete = json.dumps(_wire()).encode()
    assert isinstance(decode_routes(complete[:-20]), Failure)
    assert isinstance(decode_routes(b'\xff\xfe'), Failure)
    bad = json.dumps({**_wire(), 'version': '7'}).encode()
    assert isinstance(decode_routes(bad), Failure)


def test_prefix_matches_the_escaped_form_of_its_letters():
    """Guards against a route that no request can match.

    Requests carry letters outside ASCII in percent-encoded UTF-8 only.
    """
    table = _decode(_wire(path_prefix='/tāmaki/')).unwrap()
    assert table.find('shop.example', '/t%C4%81maki/b') is not None
    assert table.find('shop.example', '/t%c4%81maki/b') is not None


def test_host_name_matches_its_ascii_form():
    """Guards against a route of an international name that never matches."""
    content = _wire()
    content['hosts'][0]['hostname'] = 'tāmaki.example'
    table = _decode(content).unwrap()
    assert table.find('xn--tmaki-fwa.example', '/a/b') is not None

"""Tests of decoding the operators' configuration.

An invalid or truncated configuration must not come in force, and wire names
and units must not get into the product.
"""

import json

import pytest
from returns.result import Failure

from cuminhoist.gateway.routes import CallerLimits, RepeatPolicy
from cuminhoist.gateway.workspaces import Workspace
from cuminhoist.listener_limits import ListenerLimits
from cuminhoist.platform.configuration import check_order, decode_routes


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


def _check(content):
    return check_order(json.dumps(content).encode())


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


def test_limits_of_callers_are_decoded():
    """Guards against limits of an operator that no caller ever meets."""
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    }
    table = _decode({**_wire(), 'limits': limits}).unwrap()
    assert table.limits == CallerLimits(1000, ListenerLimits(16384, 3, 15))


@pytest.mark.parametrize('limit', [None, 0, -1])
def test_missing_limits_leave_a_configuration_valid(limit):
    """Guards against refusing a configuration for a limit that is not set."""
    names = (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )
    for limits in (None, {}, dict.fromkeys(names, limit)):
        table = _decode({**_wire(), 'limits': limits}).unwrap()
        assert table.limits == CallerLimits()


@pytest.mark.parametrize('limit', ['3000', 'odd', [], True])
def test_limit_that_is_no_number_is_refused(limit):
    """Guards against a configuration that can be read in part only."""
    limits = {'header_timeout_ms': limit}
    assert isinstance(_decode({**_wire(), 'limits': limits}), Failure)


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


def test_workspaces_are_decoded():
    """Guards against requests without the limits of their workspace."""
    wire = _wire(allow_anonymous=True)
    wire['tenants'] = [
        {
            'name': 'first',
            'api_keys': ['k1', 'k2'],
            'priority': 1,
            'rate_per_s': 466,
            'burst': 20,
            'allowed_regions': ['north'],
        },
        {'name': 'second', 'api_keys': ['k3'], 'rate_per_s': 0},
    ]
    routes = _decode(wire).unwrap()
    assert routes.find('shop.example', '/a/').allows_anonymous
    assert routes.find('shop.example', '/a/').priority == 2
    assert routes.workspaces.find('k2') == Workspace(
        'first', 1, 466, 20, frozenset(('north',))
    )
    assert routes.workspaces.find('k3') == Workspace('second')
    assert routes.workspaces.find('k4') is None
    assert _decode(_wire()).unwrap().workspaces is None


def test_workspaces_that_share_a_key_are_invalid():
    """Guards against a caller that counts as either of two workspaces."""
    wire = _wire()
    wire['tenants'] = [
        {'name': 'first', 'api_keys': ['k']},
        {'name': 'second', 'api_keys': ['k']},
    ]
    fault = _decode(wire).failure()
    assert "'first'" in fault
    assert "'second'" in fault


@pytest.mark.parametrize(
    'entry',
    [{'api_keys': ['k']}, {'name': ''}, {'name': 'own', 'api_keys': 'k'}],
)
def test_invalid_workspace_is_located(entry):
    """Guards against a refusal that leaves open which workspace is wrong."""
    wire = _wire()
    wire['tenants'] = [{'name': 'first', 'api_keys': ['secret']}, entry]
    fault = _decode(wire).failure()
    assert '$.tenants[1]' in fault
    assert 'secret' not in fault


@pytest.mark.parametrize(
    'version',
    [
        'r20261205003011046223',
        f'r{2**64}',
        'r' + '9' * 5000,
        'r-5',
        'r1_0',
        'r\u0661\u0662',
        'r 12',
        'r',
        '12',
    ],
    ids=lambda version: version[:24],
)
def test_version_out_of_range_is_refused(version):
    """Guards against a version that no other instance can be told."""
    refused = _check({**_wire(), 'version': version})
    assert 'version' in refused.failure()
    assert len(refused.failure()) < 200


def test_largest_version_is_carried():
    """Guards against refusing what instances can tell each other."""
    largest = {**_wire(), 'version': f'r{2**64 - 1}'}
    assert _check(largest).unwrap().version == 2**64 - 1


@pytest.mark.parametrize(
    'path',
    [
        {'priority': 2**63},
        {'priority': -(2**64)},
        {'max_attempts': 2**63},
        {'timeout_ms': 1e300},
        {'timeout_ms': 10**400},
        {'aim_ms': -1e300},
        {'traffic_split': [{'backend': 'svc', 'weight': 1e308}] * 2},
    ],
    ids=str,
)
def test_number_that_cannot_be_used_is_refused(path):
    """Guards against routes whose requests each raise an error."""
    assert isinstance(_check(_wire(**path)), Failure)


@pytest.mark.parametrize('depth', [200, 1100, 100_000])
def test_configuration_nested_too_deeply_is_refused(depth):
    """Guards against one that some instances can decode and others cannot.

    The depth that a decoder takes depends on where it is called.
    """
    nested = '[' * depth + ']' * depth
    body = json.dumps({**_wire(), 'note': 0}).replace(': 0', f': {nested}')
    assert 'nested' in check_order(body.encode()).failure()


def test_stored_configuration_nested_too_deeply_is_a_value():
    """Guards against an error where a configuration in force is decoded."""
    assert isinstance(decode_routes(b'[' * 100_000), Failure)


def test_brackets_in_texts_are_no_nesting():
    """Guards against refusing a configuration for what its texts hold."""
    body = json.dumps({**_wire(), 'note': '[{' * 1000 + '\\"['})
    assert check_order(body.encode()).unwrap().version == 7

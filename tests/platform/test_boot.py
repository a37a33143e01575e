"""Tests of reading the settings file that the platform writes.

The file has unknown fields, may be read while it is being replaced, and gives
addresses and rates in other terms than the product uses.
"""

import json

import pytest
from returns.result import Failure

from cuminhoist.fleet.instance_config import Address
from cuminhoist.platform.boot import load_settings
from cuminhoist.steering.allowance_sizes import AllowanceBounds

from .builders import SETTINGS


def test_settings_are_read(tmp_path):
    """Guards against seeds with the operators' port instead of the internal."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    cfg = load_settings(path).unwrap()
    assert cfg.is_control
    assert cfg.peer_address == Address('10.1.0.8', 7540)
    assert cfg.seeds[1] == Address('10.2.0.34', 7540)
    assert cfg.metrics_address == Address('10.1.0.8', 7555)
    assert cfg.request_address is None
    assert cfg.limits.min_retry_budget == 56
    assert cfg.limits.drain_s == 2.5
    assert cfg.limits.tolerated_losses == 2
    assert cfg.limits.allowance_bounds == AllowanceBounds(4, 0.2, 30)


def test_unreadable_settings_are_a_value(tmp_path):
    """Guards against a crash while the file is being replaced."""
    path = tmp_path / 'node.json'
    assert isinstance(load_settings(path), Failure)
    path.write_text('{"node": ')
    assert isinstance(load_settings(path), Failure)


def test_listener_may_differ_from_where_peers_connect(tmp_path):
    """Guards against instances that can't be run behind a proxy."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({**SETTINGS, 'peers_listen': '10.1.0.8:7541'}))
    cfg = load_settings(path).unwrap()
    assert cfg.peer_address == Address('10.1.0.8', 7540)
    assert cfg.peer_listen_address == Address('10.1.0.8', 7541)


def test_rate_of_the_link_is_read_in_bytes(tmp_path):
    """Guards against pacing at eight times the rate of the link."""
    path = tmp_path / 'node.json'
    limits = {'limits': {'link_mbps': 3.35}}
    path.write_text(json.dumps({**SETTINGS, **limits}))
    assert load_settings(path).unwrap().link_bytes_per_s == 418750
    path.write_text(json.dumps(SETTINGS))
    assert load_settings(path).unwrap().link_bytes_per_s == float('inf')


def test_trust_in_keys_is_read_in_seconds(tmp_path):
    """Guards against serving removed keys for longer than is allowed."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    limits = load_settings(path).unwrap().limits
    assert not limits.refuses_unconfirmed_keys
    assert limits.key_trust_s == 5
    bounds = {'bounds': {'fail_closed': True, 'revoke_ms': 1500}}
    path.write_text(json.dumps({**SETTINGS, **bounds}))
    limits = load_settings(path).unwrap().limits
    assert limits.refuses_unconfirmed_keys
    assert limits.key_trust_s == 1.5


def test_memory_of_the_machine_is_read_in_bytes(tmp_path):
    """Guards against a process without a bound on what callers hold."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({**SETTINGS, 'limits': {'memory_mb': 200}}))
    assert load_settings(path).unwrap().memory_bytes == 200e6
    path.write_text(json.dumps(SETTINGS))
    assert load_settings(path).unwrap().memory_bytes == 0


def test_what_deployments_ask_for_is_off_otherwise(tmp_path):
    """Guards against new behaviour in deployments that did not ask for it."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    limits = load_settings(path).unwrap().limits
    assert not limits.prefers_own_domain
    assert not limits.learns_limits
    asked = {'contracts': ['base', 'pressure'], 'learn_limits': True}
    path.write_text(json.dumps({**SETTINGS, **asked}))
    limits = load_settings(path).unwrap().limits
    assert limits.prefers_own_domain
    assert limits.learns_limits


@pytest.mark.parametrize(
    'text',
    [
        json.dumps({**SETTINGS, 'later': 0}).replace(
            '"later": 0', f'"later": {"[" * 5000}{"]" * 5000}'
        ),
        json.dumps({**SETTINGS, 'internal_ports': [0, 7555]}),
        json.dumps({**SETTINGS, 'internal_ports': [7540, 2**64]}),
        json.dumps({**SETTINGS, 'seeds': ['10.1.0.8:85_44']}),
        json.dumps({**SETTINGS, 'seeds': ['10.1.0.8:\u0668\u0660']}),
        json.dumps({**SETTINGS, 'seeds': ['10.1.0.8:85440']}),
        json.dumps({**SETTINGS, 'seeds': [None]}),
        json.dumps({**SETTINGS, 'ip': '\ud800'}),
        json.dumps({**SETTINGS, 'limits': {'link_mbps': float('nan')}}),
        json.dumps({**SETTINGS, 'limits': {'memory_mb': 10**400}}),
        json.dumps({**SETTINGS, 'node': 'core'}).replace('core"', 'co\x02re"'),
    ],
    ids=[
        'deep',
        'port 0',
        'port of 64 bits',
        'underscore',
        'other digits',
        'port out of range',
        'no address',
        'surrogate',
        'NaN',
        'number out of range',
        'control byte',
    ],
)
def test_odd_settings_are_a_value(tmp_path, text):
    """Guards against the end of the task that watches the settings."""
    path = tmp_path / 'node.json'
    path.write_text(text)
    assert isinstance(load_settings(path), Failure)

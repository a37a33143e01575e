"""Tests of the settings that the platform writes."""

import json

from returns.result import Failure

from cuminhoist.fleet.instance_config import Address
from cuminhoist.platform.boot import load_site

SETTINGS = {
    'node': 'core-a-1',
    'role': 'control',
    'ip': '10.1.0.8',
    'zone': 'a',
    'region': 'south',
    'zones': {'a': 'south'},
    'listen': {'control': '10.1.0.8:8544', 'directory': '10.1.0.8:8546'},
    'internal_ports': [7540, 7555],
    'seeds': ['10.1.0.8:8544', '10.2.0.34:8544'],
    'bootstrap': True,
    'data_dir': '/data/control',
    'cloud': {'address': '10.200.0.187:8541', 'rate_per_s': 44.0},
    'bounds': {'grace_s': 6, 'retry_slack': 56, 'unknown': 1},
    'later': {'field': 1},
}


def test_settings_are_read(tmp_path):
    """Guards against seeds that name the operators' port."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    site = load_site(path).unwrap()
    assert site.is_control
    assert site.peer_address == Address('10.1.0.8', 7540)
    assert site.seeds[1] == Address('10.2.0.34', 7540)
    assert site.metrics_address == Address('10.1.0.8', 7555)
    assert site.request_address is None
    assert site.bounds.min_retry_budget == 56


def test_unreadable_settings_are_a_value(tmp_path):
    """Guards against a crash while the file is being replaced."""
    path = tmp_path / 'node.json'
    assert isinstance(load_site(path), Failure)
    path.write_text('{"node": ')
    assert isinstance(load_site(path), Failure)


def test_listener_may_differ_from_where_peers_connect(tmp_path):
    """Guards against a proxy between instances that cannot be put there."""
    path = tmp_path / 'node.json'
    path.write_text(json.dumps({**SETTINGS, 'peers_listen': '10.1.0.8:7541'}))
    site = load_site(path).unwrap()
    assert site.peer_address == Address('10.1.0.8', 7540)
    assert site.peer_listen_address == Address('10.1.0.8', 7541)


def test_rate_of_the_link_is_read_in_bytes(tmp_path):
    """Guards against pacing by eight times the rate of the link."""
    path = tmp_path / 'node.json'
    limits = {'limits': {'link_mbps': 3.35}}
    path.write_text(json.dumps({**SETTINGS, **limits}))
    assert load_site(path).unwrap().link_bytes_s == 418750
    path.write_text(json.dumps(SETTINGS))
    assert load_site(path).unwrap().link_bytes_s == float('inf')

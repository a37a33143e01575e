"""Builders of settings files for the tests of the platform's adapter."""

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
    'bounds': {
        'grace_s': 6,
        'retry_slack': 56,
        'drain_ms': 2500,
        'quota_window_s': 4,
        'quota_over': 0.2,
        'quota_slack': 30,
        'unknown': 1,
    },
    'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 1},
    'later': {'field': 1},
}

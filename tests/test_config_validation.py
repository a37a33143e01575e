"""Tests of the validation of settings, topologies, lists and changes.

An invalid value that passes the checks would reach every instance, and one
that they reject wrongly would keep an operator from a valid deployment.
"""

import msgspec
import pytest

from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Change,
    Drain,
    Plan,
    Plans,
    ShiftCap,
)
from cuminhoist.config_validation import (
    check_allowances,
    check_change,
    check_drain,
    check_plans,
    check_settings,
    check_topology,
)
from cuminhoist.queries import Files, check
from cuminhoist.settings import AddressBlock, RegionLink, Settings
from cuminhoist.validation import field_error_from

from . import builders

replace = msgspec.structs.replace
_GOLD = Plan(name='gold')
_ACME = Caller(name='acme', plan='gold')
_RATE = Allowance(plan='gold', service='catalogue', rate_per_s=100)
_NAN = float('nan')


@pytest.mark.parametrize('deployment', ['porth-data', 'paora-whitcombe'])
def test_examples_are_valid(deployment):
    """Guards against checks that reject a valid deployment."""
    topology = builders.example_topology(deployment)
    plans = builders.example_plans(deployment)
    allowances = builders.example_allowances(deployment)
    assert check_topology(topology) == ()
    assert check_plans(plans) == ()
    assert check_allowances(allowances, topology, plans) == ()
    for entry in topology.instances:
        cfg = builders.settings_of(topology, entry.name, 'data')
        assert check_settings(cfg, topology) == ()


def _fields(errors):
    return {error.field for error in errors}


@pytest.mark.parametrize(
    ('plans', 'field'),
    [
        (Plans(plans=(_GOLD, _GOLD)), 'plans[1]'),
        (Plans(plans=(_GOLD,), callers=(_ACME, _ACME)), 'callers[1]'),
        (Plans(callers=(_ACME,)), 'callers[0].plan'),
        (Plans(plans=(Plan(name='x' * 65),)), 'plans[0].name'),
        (Plans(plans=(Plan(name=''),)), 'plans[0].name'),
        (Plans(plans=(Plan(name='a\nb'),)), 'plans[0].name'),
        (Plans(plans=(replace(_GOLD, weight=-1),)), 'plans[0].weight'),
        (Plans(plans=(replace(_GOLD, weight=_NAN),)), 'plans[0].weight'),
        (Plans(plans=(_GOLD,) * 1001), 'plans'),
        (Plans(callers=(_ACME,) * 100_001), 'callers'),
    ],
)
def test_invalid_plans(plans, field):
    """Guards against plans and callers that instances cannot apply."""
    assert field in _fields(check_plans(plans))


@pytest.mark.parametrize(
    ('item', 'field'),
    [
        (replace(_RATE, plan='tin'), 'allowances[0].plan'),
        (replace(_RATE, service='other'), 'allowances[0].service'),
        (replace(_RATE, kinds=('fly',)), 'allowances[0].kinds[0]'),
        (replace(_RATE, kinds=('browse',) * 2), 'allowances[0].kinds[1]'),
        (replace(_RATE, rate_per_s=-1), 'allowances[0].rate_per_s'),
        (replace(_RATE, rate_per_s=float('inf')), 'allowances[0].rate_per_s'),
        (replace(_RATE, burst_s=_NAN), 'allowances[0].burst_s'),
        (ShiftCap(service='other'), 'shift_caps[0].service'),
        (ShiftCap(service='catalogue', percent=101), 'shift_caps[0].percent'),
        (ShiftCap(service='catalogue', window_s=0), 'shift_caps[0].window_s'),
    ],
)
def test_invalid_allowances(item, field):
    """Guards against unknown names and out-of-range values."""
    lists = Allowances(shift_caps=(item,))
    if isinstance(item, Allowance):
        lists = Allowances(allowances=(item,))
    errors = check_allowances(
        lists, builders.example_topology(), Plans(plans=(_GOLD,))
    )
    assert _fields(errors) == {field}


def test_duplicate_allowance():
    """Guards against two allowances for one plan and service."""
    lists = Allowances(allowances=(_RATE, _RATE))
    errors = check_allowances(lists, builders.example_topology())
    assert _fields(errors) == {'allowances[1]'}


@pytest.mark.parametrize(
    ('field', 'list_name', 'index', 'change'),
    [
        ('domains[1]', 'domains', 1, {'name': 'de-cymru-a'}),
        ('links[0].regions', 'links', 0, {'regions': ('gogledd', 'mars')}),
        ('links[0].regions', 'links', 0, {'regions': ('gogledd',) * 2}),
        ('links[0].mbit_per_s', 'links', 0, {'mbit_per_s': -1}),
        ('services[0].kinds', 'services', 0, {'kinds': ()}),
        ('instances[0].host', 'instances', 0, {'host': 'localhost'}),
        ('instances[0].http_port', 'instances', 0, {'http_port': 0}),
        ('instances[0].domain', 'instances', 0, {'domain': 'mars'}),
        ('instances[0].roles', 'instances', 0, {'roles': ()}),
        ('targets[0].service', 'targets', 0, {'service': 'other'}),
        ('targets[0].slots', 'targets', 0, {'slots': 0}),
        ('targets[0].host', 'targets', 0, {'host': '::x'}),
        ('blocks[0].network', 'blocks', 0, {'network': '10.0.0.0/40'}),
        ('blocks[0].domain', 'blocks', 0, {'domain': 'mars'}),
    ],
)
def test_invalid_topology(field, list_name, index, change):
    """Guards against unknown names, self-links and invalid values."""
    topology = builders.example_topology()
    items = list(getattr(topology, list_name))
    items[index] = replace(items[index], **change)
    errors = check_topology(replace(topology, **{list_name: tuple(items)}))
    assert field in _fields(errors)
    assert all(error.file == 'topology' for error in errors)


def test_topology_without_control_and_with_equal_links():
    """Guards against a topology without control, and duplicate entries."""
    topology = builders.example_topology()
    link = RegionLink(regions=('gogledd', 'de-cymru'), mbit_per_s=1)
    no_control = replace(topology, links=(*topology.links, link), instances=())
    fields = _fields(check_topology(no_control))
    assert fields >= {'instances', 'links[3]'}
    block = AddressBlock(network='10.1.0.0/16', domain='de-cymru-a')
    duplicate_block = replace(topology, blocks=(block, block))
    assert _fields(check_topology(duplicate_block)) == {'blocks[1]'}


@pytest.mark.parametrize(
    ('field', 'change'),
    [
        ('domain', {'domain': 'gogledd-b'}),
        ('$.host', {'host': 'example.org'}),
        ('http_port', {'http_port': 1}),
        ('roles', {'roles': ('entry',)}),
        ('cluster_key', {'cluster_key': ''}),
        ('data_folder', {'data_folder': ''}),
        ('name', {'name': 'nobody'}),
    ],
)
def test_invalid_settings(field, change):
    """Guards against settings that are empty or contradict the topology."""
    topology = builders.example_topology()
    cfg = builders.settings_of(topology, 'entry-gogledd-a-1', 'data')
    assert field in _fields(check_settings(replace(cfg, **change), topology))


def test_invalid_drains_and_changes():
    """Guards against drains of unknown names and changes of two lists."""
    topology = builders.example_topology()
    errors = check_drain(Drain(scope='region', name='mars'), topology)
    assert errors[0].allowed == ('canolbarth', 'de-cymru', 'gogledd')
    milliseconds = Drain(scope='region', name='gogledd', starts_at=1e13)
    assert _fields(check_drain(milliseconds, topology)) == {'starts_at'}
    both = Change(change_id='c', plans=Plans(), allowances=Allowances())
    assert _fields(check_change(both, topology, None)) == {'$'}
    nameless = Change(change_id='', plans=Plans(), base_version=-1)
    fields = _fields(check_change(nameless, topology, None))
    assert fields == {'change_id', 'base_version'}


@pytest.mark.parametrize(
    ('kind', 'body', 'field', 'allowed'),
    [
        (
            Change,
            b'{"change_id":"c","drain":{"scope":"x","name":"y"}}',
            '$.drain.scope',
            'region',
        ),
        (
            Change,
            b'{"change_id":"c","plans":{"plans":[{"nam":"y"}]}}',
            '$.plans.plans[0]',
            'weight',
        ),
        (Settings, b'{"nme": 1}', '$', 'cluster_key'),
    ],
)
def test_decode_errors_name_the_allowed_values(kind, body, field, allowed):
    """Guards against a decoding error without the allowed values."""
    with pytest.raises(msgspec.DecodeError) as caught:
        msgspec.json.decode(body, type=kind)
    error = field_error_from('body', caught.value, kind)
    assert error.field == field
    assert allowed in error.allowed


@pytest.mark.parametrize('deployment', ['porth-data', 'paora-whitcombe'])
def test_check_accepts_the_example_files(deployment):
    """Guards against example files that the check command rejects."""
    folder = builders.EXAMPLES / deployment
    names = sorted((folder / 'settings').iterdir())
    assert names
    for name in names:
        output = check(
            Files(
                settings=str(name),
                plans=str(folder / 'plans.json'),
                allowances=str(folder / 'allowances.json'),
            ),
        )
        assert output.ok, output.lines


@pytest.mark.parametrize(
    ('name', 'is_valid'),
    [
        ('entry-a-1', True),
        ('a' * 64, True),
        ('a' * 65, False),
        ('entry.a', False),
        ('Entry', False),
        ('a_b', False),
        ('a\n', False),
        ('', False),
    ],
)
def test_names_of_instances(name, is_valid):
    """Guards against instance names that idempotency keys cannot contain."""
    topology = builders.example_topology()
    renamed = replace(topology.instances[0], name=name)
    changed = replace(topology, instances=(renamed, *topology.instances[1:]))
    is_rejected = 'instances[0].name' in _fields(check_topology(changed))
    assert is_rejected != is_valid
    cfg = replace(builders.settings_of(changed, name, 'data'), roles=('entry',))
    assert ('name' in _fields(check_settings(cfg))) != is_valid


@pytest.mark.parametrize(
    ('changes', 'field'),
    [
        ({'lookup_lifetime_s': 0.9}, 'lookup_lifetime_s'),
        ({'lookup_lifetime_s': 300.1}, 'lookup_lifetime_s'),
        ({'lookup_lifetime_s': _NAN}, 'lookup_lifetime_s'),
        ({'lookup_lifetime_s': 1.0}, ''),
        ({'lookup_lifetime_s': 300.0}, ''),
        ({'probe_path': 'load'}, 'probe_path'),
        ({'probe_path': ''}, 'probe_path'),
        ({'data_folder': '', 'roles': ('control',)}, 'data_folder'),
    ],
)
def test_ranges_of_settings(changes, field):
    """Guards against settings that break stops, probes or the control log."""
    topology = builders.example_topology()
    name = topology.instances[0].name
    cfg = replace(builders.settings_of(topology, name, 'data'), **changes)
    assert _fields(check_settings(cfg)) == ({field} if field else set())


@pytest.mark.parametrize('kinds', [(), ('browse',)])
def test_least_rate_of_an_allowance(kinds):
    """Guards against an allowance too low for its heaviest request."""
    topology = builders.example_topology()
    heaviest = max(
        kind.weight
        for kind in topology.service('catalogue').kinds
        if not kinds or kind.name in kinds
    )
    min_rate_per_s = heaviest * len(topology.entry_instances()) / _RATE.burst_s
    plans = Plans(plans=(_GOLD,))
    for rate, is_valid in (
        (min_rate_per_s, True),
        (min_rate_per_s * 0.99, False),
        (0, False),
    ):
        item = replace(_RATE, rate_per_s=rate, kinds=kinds)
        lists = Allowances(allowances=(item,))
        errors = check_allowances(lists, topology, plans)
        assert bool(errors) != is_valid
        assert is_valid or f'least rate is {min_rate_per_s:g}' in str(errors[0])

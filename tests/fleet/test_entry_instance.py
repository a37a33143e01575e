"""What an entry instance does with a configuration that comes in force."""

import json
import time

from returns.result import Success

from cuminhoist.fleet.entry_instance import EntryInstance
from cuminhoist.fleet.instance_config import Address, InstanceConfig
from cuminhoist.fleet.target_feed import TargetSource
from cuminhoist.listener_limits import ListenerLimits
from cuminhoist.platform.configuration import decode_routes
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.register.declared_state import DeclaredState

IP = '127.8.7.6'


class EmptyTargetList(TargetSource):
    """A list of targets without entries."""

    async def read(self):
        """Return no targets."""
        return Success(())


def _entry_instance() -> EntryInstance:
    cfg = InstanceConfig(
        name='entry-a',
        domain='a',
        region='south',
        regions={'a': 'south'},
        peer_address=Address(IP, 7540),
        seeds=(Address(IP, 7540),),
        first_start=True,
        data_folder='',
        request_address=Address(IP, 7541),
        readiness_address=None,
        operator_address=None,
        lookup_address=None,
        metrics_address=Address(IP, 7555),
        target_list_address=Address(IP, 8541),
        list_calls_per_s=1,
    )
    return EntryInstance(
        cfg, EmptyTargetList(), decode_routes, PlatformWire(), time.monotonic
    )


def _state(index: int, max_header_bytes: int) -> DeclaredState:
    body = {
        'version': f'r{index}',
        'services': [],
        'hosts': [],
        'limits': {'max_header_bytes': max_header_bytes},
    }
    return DeclaredState(
        index=index, version=index, body=json.dumps(body).encode()
    )


async def test_limits_of_each_new_configuration_reach_the_listener():
    """Guards against a listener that keeps the limits of its start."""
    entry = _entry_instance()
    applied = []
    entry.request_proxy.routing_state.apply_limits = applied.append
    for index, max_header_bytes in ((1, 1000), (2, 2000)):
        entry._on_declared_state(_state(index, max_header_bytes))
    assert applied == [ListenerLimits(1000), ListenerLimits(2000)]

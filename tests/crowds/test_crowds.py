"""Clients that keep to no limit must not end, fill or hold a process.

Each test starts the real programs with low limits, lets one crowd in, and
checks what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay within the limits of its machine, and an ordinary
client is answered, beside the crowd that holds its connections and after it.
"""

import pytest

from .builders import (
    BYTES_PER_MB,
    MAX_SOCKETS,
    MEMORY_MB,
    Usage,
    deployment,
    paths,
)
from .kinds import CALLER_KINDS, KINDS, LINK_KINDS, Crowd, pressed

#: Ports whose clients another port of the same process also has to serve.
_NEIGHBOURS = {
    'look-ups': 'callers',
    'readiness': 'callers',
    'metrics': 'callers',
    'relay': 'callers',
    'control look-ups': 'operators',
    'control metrics': 'operators',
    'peers': 'operators',
}

_OTHER_PORTS = (
    'look-ups',
    'readiness',
    'metrics',
    'relay',
    'control look-ups',
    'control metrics',
)
#: Fraction of the connections that each kind has in a crowd of all kinds.
_MIXED_SHARE = 0.2


async def _play(folder, port_name, *kind_names, share=1):
    async with deployment(folder) as world:
        instance = world.instance_of(port_name)
        kinds = KINDS | CALLER_KINDS | LINK_KINDS
        address, path = world.address(port_name), paths()[port_name][1]
        crowds = [
            Crowd(kinds[name], address, path, share) for name in kind_names
        ]
        async with Usage(instance) as usage:
            async with pressed(crowds):
                served_beside = await world.is_served(port_name)
            served_after = await world.is_served(port_name)
            neighbour = _NEIGHBOURS.get(port_name)
            neighbour_served = neighbour is None or await world.is_served(
                neighbour
            )
            if instance is world.control:
                neighbour_served = neighbour_served and await world.configure(2)
        print(
            f'{port_name} {kind_names}: '
            f'{usage.peak_bytes / BYTES_PER_MB:.0f} MB, '
            f'{usage.peak_sockets} sockets, beside {served_beside}, '
            f'after {served_after}, neighbour {neighbour_served}'
        )
        assert usage.is_alive and not world.evidence.exits
        assert usage.peak_bytes <= MEMORY_MB * BYTES_PER_MB
        assert usage.peak_sockets <= MAX_SOCKETS
        assert served_beside
        assert served_after
        assert neighbour_served


@pytest.mark.parametrize('kind_name', [*KINDS, *CALLER_KINDS])
async def test_crowd_of_callers_is_borne(tmp_path, kind_name):
    """Guards against an entry instance that ends or hangs."""
    await _play(tmp_path, 'callers', kind_name)


@pytest.mark.parametrize('kind_name', KINDS)
async def test_crowd_of_operators_is_borne(tmp_path, kind_name):
    """Guards against a control instance that ends or hangs."""
    await _play(tmp_path, 'operators', kind_name)


@pytest.mark.parametrize('kind_name', LINK_KINDS)
async def test_crowd_of_links_is_borne(tmp_path, kind_name):
    """Guards against a control instance that ends or hangs by its links."""
    await _play(tmp_path, 'peers', kind_name)


@pytest.mark.parametrize('kind_name', ['short-fields', 'silent-connections'])
@pytest.mark.parametrize('port_name', _OTHER_PORTS)
async def test_crowd_of_another_port_is_borne(tmp_path, port_name, kind_name):
    """Guards against harm through a port that serves few clients."""
    await _play(tmp_path, port_name, kind_name)


@pytest.mark.parametrize('port_name', ['callers', 'operators', *_OTHER_PORTS])
async def test_mixed_crowd_is_borne(tmp_path, port_name):
    """Guards against kinds that are borne one by one only."""
    await _play(tmp_path, port_name, *KINDS, share=_MIXED_SHARE)


@pytest.mark.parametrize('port_name', ['callers', 'operators'])
async def test_crowds_in_turn_are_borne(tmp_path, port_name):
    """Guards against memory and sockets that one crowd leaves to the next."""
    async with deployment(tmp_path) as world:
        instance = world.instance_of(port_name)
        address, path = world.address(port_name), paths()[port_name][1]
        served = []
        async with Usage(instance) as usage:
            for kind in KINDS.values():
                async with pressed([Crowd(kind, address, path)]):
                    served.append(await world.is_served(port_name))
        print(
            f'{port_name} in turn: {usage.peak_bytes / BYTES_PER_MB:.0f} MB, '
            f'{usage.peak_sockets} sockets'
        )
        assert usage.is_alive and not world.evidence.exits
        assert usage.peak_bytes <= MEMORY_MB * BYTES_PER_MB
        assert usage.peak_sockets <= MAX_SOCKETS
        assert all(served)

"""Clients that keep to no limit at an instance without a configuration.

Its limits are larger then, so that callers get a refusal that they may retry.
"""

import asyncio

import pytest

from .builders import (
    BYTES_PER_MB,
    MAX_SOCKETS,
    MEMORY_MB,
    Usage,
    deployment,
    paths,
)
from .kinds import KINDS, Crowd, Kind, pressed

#: Heads that end nowhere, in one field and in many.
UNCONFIGURED_KINDS = {
    'long-heads': Kind(300, b'GET / HTTP/1.1\r\na: ', b'x' * 1000, 900_000),
    'long-heads-of-short-fields': Kind(
        300, b'GET / HTTP/1.1\r\n', b'a: b\r\n', 900_000
    ),
    'requests-ahead': KINDS['requests-ahead'],
    'silent-connections': KINDS['silent-connections'],
}


@pytest.mark.parametrize('kind_name', UNCONFIGURED_KINDS)
async def test_crowd_without_a_configuration_is_borne(tmp_path, kind_name):
    """Guards against limits that only a configuration brings."""
    async with deployment(tmp_path, configured=False) as world:
        crowd = Crowd(
            UNCONFIGURED_KINDS[kind_name],
            world.address('callers'),
            paths()['callers'][1],
        )
        async with Usage(world.entry) as usage:
            async with pressed([crowd]):
                scraped_beside = await world.is_served('metrics')
            while not await world.configure(1):
                await asyncio.sleep(0.1)
            served_after = await world.is_served('callers')
        print(
            f'unconfigured {kind_name}: '
            f'{usage.peak_bytes / BYTES_PER_MB:.0f} MB, '
            f'{usage.peak_sockets} sockets, beside {scraped_beside}, '
            f'after {served_after}'
        )
        assert usage.is_alive and not world.evidence.exits
        assert usage.peak_bytes <= MEMORY_MB * BYTES_PER_MB
        assert usage.peak_sockets <= MAX_SOCKETS
        assert scraped_beside
        assert served_after

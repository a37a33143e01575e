"""Tests of the polls of the platform's list.

They guard against a platform failure that empties or changes the list.
"""

import asyncio

import httpx
import pytest

from cuminhoist.instance_list import PlatformList, PlatformPoller


@pytest.mark.looptime
async def test_bad_polls_leave_the_last_list():
    """Guards against a failed poll that clears leaving marks.

    The platform answers with an error, an invalid list or not at all.
    """
    replies = iter(
        [
            httpx.Response(500),
            httpx.Response(200, content=b'{"leaving": ["t1"], "live": ["t2"]}'),
            httpx.Response(200, content=b'{"leaving": 7}'),
            httpx.ConnectError('refused'),
            httpx.Response(200, content=b'{"new": 1}'),
            httpx.Response(200, content=b'{"leaving": [], "live": []}'),
        ],
    )

    def serve(_req):
        reply = next(replies)
        if isinstance(reply, Exception):
            raise reply
        return reply

    lists = []
    poller = PlatformPoller(
        'http://platform/list',
        lists.append,
        httpx.MockTransport(serve),
    )
    task = asyncio.create_task(poller.run())
    await asyncio.sleep(5.5)
    task.cancel()
    valid_list = PlatformList(live=frozenset(['t2']), leaving=frozenset(['t1']))
    assert lists == [valid_list, PlatformList()]


async def test_no_address_means_no_polls():
    """Guards against polls in a deployment without a platform list."""
    await PlatformPoller('', [].append).run()

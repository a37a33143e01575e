"""Bodies of operators' orders, which are kept whole until they are complete.

They guard against a control instance that ends for lack of memory.
"""

import asyncio

import pytest

from cuminhoist.order_bodies import BodyFault, OrderBodies

pytestmark = [pytest.mark.looptime]
SCOPE = {'headers': []}


def _sender(*pieces, complete=True):
    """Return a receive function that sends pieces and then nothing."""
    left = list(pieces)

    async def receive():
        if not left:
            await asyncio.sleep(float('inf') if complete is False else 0)
        body = left.pop(0)
        more = bool(left) or not complete
        return {'type': 'http.request', 'body': body, 'more_body': more}

    return receive


async def test_whole_body_is_read():
    """Guards against orders that are cut."""
    read = await OrderBodies(10, 20).read(SCOPE, _sender(b'abc', b'def'))
    assert read.unwrap() == b'abcdef'


async def test_long_body_is_refused_before_it_is_read():
    """Guards against keeping what will be refused."""
    bodies = OrderBodies(10, 20)
    declared = {'headers': [(b'content-length', b'11')]}
    assert (await bodies.read(declared, _sender())).failure() is (
        BodyFault.too_large
    )
    read = await bodies.read(SCOPE, _sender(b'abcdef', b'ghijkl'))
    assert read.failure() is BodyFault.too_large


async def test_body_that_stops_is_given_up():
    """Guards against senders that hold their place for ever."""
    read = await OrderBodies().read(SCOPE, _sender(b'a', complete=False))
    assert read.failure() is BodyFault.stopped


async def test_longest_body_gives_way():
    """Guards against long bodies that keep the short ones out."""
    bodies = OrderBodies(10, 15)
    reads = [
        asyncio.create_task(
            bodies.read(SCOPE, _sender(b'x' * size, complete=False))
        )
        for size in (8, 6)
    ]
    await asyncio.sleep(1)
    short = await bodies.read(SCOPE, _sender(b'xx', b'x'))
    assert short.unwrap() == b'xxx'
    faults = [(await read).failure() for read in reads]
    assert faults == [BodyFault.crowded, BodyFault.stopped]

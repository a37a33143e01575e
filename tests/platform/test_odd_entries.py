"""Tests of reading pages that other writers have written entries into.

They guard against one odd entry that hides other entries, ends the task that
reads the list, or cannot be passed on to other instances.
"""

import httpx
import msgspec
import pytest
from returns.result import Failure

from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.messages import TargetList
from cuminhoist.platform.target_list import TargetListClient
from cuminhoist.steering.targets import TargetState

from .odd_entries import ODD_ENTRIES, encoded, page, raw_entry


async def _read(*pages):
    """Return the result of reading a list of these pages."""
    remaining = list(pages)
    client = TargetListClient(Address('127.0.0.1', 1))
    client._client = httpx.AsyncClient(
        transport=httpx.MockTransport(
            lambda req: httpx.Response(200, content=remaining.pop(0))
        )
    )
    try:
        return await client.read()
    finally:
        await client.close()


async def _names(*pages):
    reading = (await _read(*pages)).unwrap()
    return [target.name for target in reading.targets]


@pytest.mark.parametrize('kind', ODD_ENTRIES)
async def test_odd_entry_costs_only_itself(kind):
    """Guards against a list that one odd entry makes unreadable."""
    odd = ('odd', ODD_ENTRIES[kind])
    content = page(('a', encoded()), odd, ('b', encoded()), token='t2')
    reading = (await _read(content, page(('c', encoded())))).unwrap()
    assert [target.name for target in reading.targets] == ['a', 'b', 'c']
    assert [entry.name for entry in reading.rejected] == ['odd']


async def test_all_odd_entries_at_once():
    """Guards against a page that can be split at one odd entry only."""
    odd = [(f'odd-{kind}'.replace(' ', '-'), text)
           for kind, text in ODD_ENTRIES.items()]  # fmt: skip
    reading = (await _read(page(*odd, ('a', encoded())))).unwrap()
    assert [target.name for target in reading.targets] == ['a']
    assert len(reading.rejected) == len(odd)


_ODD_IDS = {
    'empty': '',
    'space': 'i 2',
    'line break': 'i\n',
    'replacement character': 'i-\ufffd',
    'surrogate': '"\\udce9"',
    'control byte': '"\x02"',
    'no UTF-8': '"\udce9"',
    'too long': 'x' * 1000,
}


@pytest.mark.parametrize('kind', _ODD_IDS)
async def test_entry_with_an_odd_id_costs_only_itself(kind):
    """Guards against an id that no header can carry, and against its report."""
    content = page(('a', encoded()), (_ODD_IDS[kind], encoded()))
    reading = (await _read(content)).unwrap()
    assert [target.name for target in reading.targets] == ['a']
    (rejected,) = reading.rejected
    assert len(rejected.name) <= 80
    msgspec.json.encode(rejected)


async def test_what_is_read_can_be_passed_on():
    """Guards against an entry that cannot be encoded for other instances."""
    largest = encoded(slots=100_000, born=2**53, cold_remaining_ms=86_400_000)
    reading = (await _read(page(('a', largest)))).unwrap()
    msg = TargetList(age_s=0, targets=reading.targets)
    frame = msgspec.msgpack.encode(msg)
    assert msgspec.msgpack.decode(frame, type=TargetList) == msg


async def test_warmup_that_is_over_is_none():
    """Guards against leaving out targets that are warm for some time."""
    reading = (await _read(page(('a', encoded(cold_remaining_ms=-3))))).unwrap()
    (target,) = reading.targets
    assert target.warmup_left_s == 0


async def test_odd_entry_with_the_id_of_a_sound_one():
    """Guards against a target that another writer takes out by its id."""
    odd = ('a', ODD_ENTRIES['missing field'])
    sound = ('a', encoded())
    assert await _names(page(sound, odd)) == ['a']
    assert await _names(page(odd, sound)) == ['a']
    assert await _names(page(sound, token='t2'), page(odd)) == ['a']


async def test_target_that_any_entry_shows_as_draining_is_draining():
    """Guards against requests to a target that leaves and is listed twice."""
    ready, draining = encoded(), encoded(state='draining')
    for first, second in ((ready, draining), (draining, ready)):
        pages = page(('a', first), token='t2'), page(('a', second))
        (target,) = (await _read(*pages)).unwrap().targets
        assert target.state is TargetState.draining


_UNREADABLE_PAGES = {
    'empty': b'',
    'list': b'[]',
    'no entries': b'{}',
    'list of entries': b'{"instances":[]}',
    'cut': b'{"instances":{"a":{}',
    'one bracket too many': b'{"instances":{}}}',
    'open quote': b'{"instances":{"a":"}}',
    'mistyped token': b'{"instances":{},"next_page_token":5}',
    'odd token': b'{"instances":{},"next_page_token":"\\ud800"}',
    'deep': b'[' * 100_000,
}


@pytest.mark.parametrize('kind', _UNREADABLE_PAGES)
async def test_page_that_cannot_be_split_is_a_failed_read(kind):
    """Guards against an empty list in place of one that is unreadable."""
    assert isinstance(await _read(_UNREADABLE_PAGES[kind]), Failure)


async def test_token_within_an_entry_is_none():
    """Guards against an odd entry that ends the list or repeats a page."""
    odd = raw_entry('"next_page_token":"t9","note":NaN')
    first = page(('odd', odd), token='t2')
    assert await _names(first, page(('a', encoded()))) == ['a']


async def test_token_that_no_address_can_hold_is_a_failed_read():
    """Guards against the end of the task that reads the list."""
    content = page(('a', encoded()), token='t' * 100_000)
    assert isinstance(await _read(content), Failure)

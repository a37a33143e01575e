"""Tests of random faults over four instances in two failure domains.

They guard against overloaded targets, second runs of a publish, and refusals
that are not true, after any order of crashes, pauses, cuts and target faults.
"""

import asyncio
import random

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cuminhoist.types import Ran

from .steering_fleet import World

NAMES = ('a1', 'a2', 'b1', 'b2')
MODES = ('ok', 'ok', 'fail', 'lose', 'hang', 'shed')
#: Time after the faults: the longest deadline, and the time until the last
#: outcomes are known.
SETTLE_S = 6

_steps = st.lists(
    st.tuples(
        st.sampled_from(
            ('crash', 'pause', 'cut', 'one way', 'heal', 'mode', 'lose', 'wait')
        ),
        st.sampled_from(NAMES),
        st.sampled_from(MODES),
        st.integers(1, 30),
    ),
    min_size=4,
    max_size=8,
)


def _inject_fault(world, fault, name, mode, rng):
    node = world.nodes[name]
    if fault == 'crash':
        if node.up:
            node.resumed.set()
            node.crash()
        else:
            node.start(world.configuration)
    elif fault == 'pause' and node.up:
        if node.resumed.is_set():
            node.pause()
        else:
            node.resume()
    elif fault == 'mode':
        for fake in rng.sample(list(world.targets.values()), 3):
            fake.mode = mode
            fake.run_s = rng.choice((0.01, 0.3, 1.5))
    elif fault == 'lose' and node.up:
        node.peers.losses.extend(('before', 'after'))
    else:
        _change_network(world, fault)


def _change_network(world, fault):
    if fault in {'cut', 'one way'}:
        world.cut(both=fault == 'cut')
    elif fault == 'heal':
        world.heal()


async def _callers(world, rng):
    keys = []
    calls = []
    while True:
        name = rng.choice(NAMES)
        if rng.random() < 0.5:
            call = world.send(name, deadline_s=rng.choice((0.2, 2)))
        else:
            key_home = rng.choice(
                [each for each in NAMES if world.nodes[each].up]
            )
            keys.append(world.key(key_home, len(keys)))
            key = rng.choice(keys[-5:])
            leave_s = rng.choice((None, 0.1))
            call = world.send(name, 'publisher', key=key, leave_after_s=leave_s)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(rng.uniform(0.01, 0.1))


async def _story(world, steps, rng):
    callers = asyncio.ensure_future(_callers(world, rng))
    for fault, name, mode, tenths in steps:
        survivors = [each for each in NAMES if world.nodes[each].up]
        if fault != 'crash' or survivors != [name]:
            _inject_fault(world, fault, name, mode, rng)
        await asyncio.sleep(tenths / 10)
        assert not callers.done()
    callers.cancel()
    world.heal()
    for node in world.nodes.values():
        node.resumed.set()
        node.clock.frozen_at = None
    await asyncio.sleep(SETTLE_S)


@given(steps=_steps, seed=st.integers(0, 1000))
@settings(
    max_examples=10,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.generate,),
)
def test_random_faults_break_no_promise(steps, seed):
    """Guards against overload, second runs and false or lost outcomes."""
    world = World().start(warm_s=12)
    try:
        world.run(_story(world, steps, random.Random(seed)))
        assert world.violations() == []
        assert world.account_errors() == []
        assert {sent.result for sent in world.sent} <= {
            'answered',
            'lost',
            'unreached',
            *Ran,
        }
    finally:
        world.close()

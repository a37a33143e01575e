"""Steps of the scenarios in tests/scenarios/steering.feature."""

import asyncio
import collections
import itertools

import pytest
from pytest_bdd import given, parsers, scenario, scenarios, then, when

from cuminhoist.config_model import Drain
from cuminhoist.types import DrainScope

from .steering_fleet import World
from .steering_world import config
from .test_shift import worst_growth


@scenario('scenarios/steering.feature', 'A planned stop leaves no gap')
def test_a_planned_stop_leaves_no_gap():
    """Guards against refusals while the targets have no known owner."""


scenarios('scenarios/steering.feature')

MODES = {
    'fail': 'fail',
    'lose the answer': 'lose',
    'shed load': 'shed',
    'hang': 'hang',
    'are ok': 'ok',
}
SETTLE_S = 6


class Story:
    """What one scenario did and saw."""

    def __init__(self, configuration=None):
        self.world = World().start(configuration)
        self.loads, self.mark, self.name, self.key = [], 0, '', ''
        self.last, self.drained_at, self.numbers = None, 0, itertools.count()

    def wait(self, seconds):
        self.world.run(asyncio.sleep(seconds))

    def load(self, names, per_s, **how):
        how.setdefault('service', 'catalogue')

        async def forever():
            calls = set()
            for name in itertools.cycle(names):
                call = dict(how)
                if call['service'] == 'publisher':
                    call['key'] = self.world.key(name, next(self.numbers))
                task = asyncio.ensure_future(self.world.send(name, **call))
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(1 / per_s)

        self.loads.append(self.world.loop.create_task(forever()))

    def stop_callers(self):
        for load in self.loads:
            load.cancel()
        self.loads = []
        self.wait(SETTLE_S)

    def runs(self, target, seconds):
        since = self.world.now() - seconds
        return [
            run
            for run in self.world.runs
            if target in {'', run.target} and run.started_at >= since
        ]


@pytest.fixture
def stories():
    """Keep the stories of a scenario and close their worlds."""
    kept = []
    yield kept
    for story in kept:
        story.world.close()


@given('two failure domains of two instances', target_fixture='story')
def _story(stories):
    stories.append(Story())
    return stories[0]


@given(
    parsers.parse(
        'two failure domains of two instances and a plan of {rate:d} a second'
    ),
    target_fixture='story',
)
def _planned(stories, rate):
    stories.append(Story(config(rate=rate)))
    return stories[0]


@given(
    'one failure domain of two instances with plans of weight 1, 2 and 4',
    target_fixture='story',
)
def _weighted(stories):
    stories.append(Story(config(weights=(1, 2, 4))))
    for name in ('b1', 'b2'):
        stories[0].world.nodes[name].crash()
    stories[0].wait(30)
    return stories[0]


@given(parsers.parse('the targets take {millis:d} ms'))
def _slow(story, millis):
    for fake in story.world.targets.values():
        fake.work_s = millis / 1000


@given(parsers.re('the targets (?P<mode>hang|fail|lose the answer|shed load)'))
@when(parsers.re('the targets (?P<mode>are ok)'))
def _mode(story, mode):
    for fake in story.world.targets.values():
        fake.mode = MODES[mode]


@given(parsers.parse('{target} fails within {millis:d} ms'))
def _fails(story, target, millis):
    story.world.targets[target].mode = 'fail'
    story.world.targets[target].work_s = millis / 1000


_SEND = (
    r'callers of (?P<names>[ab]\d(, [ab]\d)*) send (?P<per_s>\d+) '
    r'(?P<kind>browse|publish) requests a second'
    r'( and leave after (?P<leave>\d+) ms)?$'
)


@given(parsers.re(_SEND))
@when(parsers.re(_SEND))
def _callers(story, names, per_s, kind, leave):
    service = {'browse': 'catalogue', 'publish': 'publisher'}[kind]
    how = {'leave_after_s': int(leave) / 1000} if leave else {}
    story.load(names.split(', '), int(per_s), service=service, **how)


@when(
    parsers.parse(
        'callers of region a send {per_s:d} browse requests a second to b1, b2'
    )
)
def _moved(story, per_s):
    story.load(['b1', 'b2'], per_s, home='a')


@when(
    parsers.parse(
        'callers of the other instance of a send {per_s:d} '
        'browse requests a second'
    )
)
def _others(story, per_s):
    story.load(['a1' if story.name == 'a2' else 'a2'], per_s)


@when('the callers stop')
def _callers_stop(story):
    story.stop_callers()


@when(parsers.re(r'(?P<seconds>\d+) seconds? pass(es)?'))
def _pass(story, seconds):
    story.wait(int(seconds))


@when(parsers.parse('the owner of {target} {event}'))
def _event(story, target, event):
    story.name = story.world.owner_of(target)
    node = story.world.nodes[story.name]
    if event == 'crashes':
        node.crash()
    elif event == 'pauses':
        node.pause()
    else:
        story.stopping = story.world.loop.create_task(node.stop())


@when('it wakes but hears nobody')
def _wakes(story):
    story.mark = story.world.now()
    story.world.cuts = {('a', 'a'), ('a', 'b'), ('b', 'a')}
    story.world.nodes[story.name].resume()


@when('it hears its peer')
@when('the domains see each other again')
def _heal(story):
    story.world.heal()


@when(parsers.parse('the domains are cut off {way}'))
def _cut(story, way):
    story.world.cut(both=way == 'both ways')


@when(parsers.parse('region {region} fails'))
def _region_fails(story, region):
    story.mark = story.world.now()
    for name in (f'{region}1', f'{region}2'):
        story.world.nodes[name].crash()


@when(parsers.parse('region {region} starts again'))
def _region_starts(story, region):
    _start(story, f'{region}1', f'{region}2')


@when(parsers.re(r'(?P<name>[ab]\d) starts again'))
def _starts(story, name):
    _start(story, name)


def _start(story, *names):
    async def begin():
        for name in names:
            story.world.nodes[name].start(story.world.configuration)

    story.world.run(begin())


@when(parsers.parse('the upstream {target} is drained'))
def _drain(story, target):
    story.drained_at = story.world.now()
    drain = Drain(scope=DrainScope.upstream, name=target)
    story.world.apply(config(2, drains=(drain,)), story.world.nodes)


@when(parsers.parse('{names} get a plan of {rate:d} a second'))
def _plan(story, names, rate):
    story.mark = story.world.now()
    story.world.apply(config(2, rate=rate), names.split(', '))


def _publish(story, name):
    story.last = story.world.run(
        story.world.send(name, 'publisher', key=story.key)
    )


@when(
    parsers.re(
        r'(?P<name>\w+) gets a publish with a key of (?P<home>[ab]\d)'
        r'(, whose hop is lost (?P<fate>before|after) delivery)?$'
    )
)
def _first(story, name, home, fate):
    story.key = story.world.key(home, 'once')
    if fate:
        story.world.nodes[name].peers.lose.append(fate)
    _publish(story, name)


@when(
    parsers.parse(
        '{name} gets a publish with a key of {home}, '
        'and crashes after {millis:d} ms'
    )
)
def _crash_in_run(story, name, home, millis):
    story.key = story.world.key(home, 'once')
    world = story.world
    world.loop.call_later(millis / 1000, world.nodes[name].crash)
    _publish(story, name)
    assert story.last.result == 'lost'


@when(parsers.parse('the publish is resent through {name}'))
def _resent(story, name):
    _publish(story, name)


@when(
    '20 clients of each plan keep asking both instances for 40 seconds',
)
def _overload(story):
    _ask(story, [turn % 3 for turn in range(60)], 40)


@when('40 clients of the heaviest plan overload both instances')
def _heavy(story):
    story.clients = [2] * 40


@when(
    parsers.parse(
        'a light caller asks the {which} once a second for {seconds:d} seconds'
    )
)
def _light(story, which, seconds):
    owner = story.world.owner_of('catalogue-a1')
    other = 'a1' if owner == 'a2' else 'a2'
    story.load([owner if which == 'owner' else other], 1, caller='c0')
    _ask(story, story.clients, seconds)
    story.stop_callers()


def _ask(story, callers, seconds):
    world = story.world
    until = world.now() + seconds

    async def client(caller, names):
        while world.now() < until:
            sent = await world.send(next(names), caller=f'c{caller}')
            if sent.result != 'answered':
                await asyncio.sleep(0.05)

    async def run():
        await asyncio.gather(
            *(
                client(caller, itertools.cycle(order))
                for turn, caller in enumerate(callers)
                for order in [('a1', 'a2') if turn % 2 else ('a2', 'a1')]
            )
        )

    world.run(run())
    story.mark = until


@then('no promise is broken')
def _no_violation(story):
    story.world.heal()
    story.stop_callers()
    assert story.world.violations() == []
    assert story.world.account_errors() == []


@then(
    parsers.parse(
        '{target} ran requests of another instance in the last {last:d} seconds'
    )
)
def _taken_over(story, target, last):
    seen = {run.instance for run in story.runs(target, last)}
    assert seen and story.name not in seen


@then(parsers.parse('{target} ran requests in the last {last:d} seconds'))
def _used(story, target, last):
    assert story.runs(target, last)


@then('it dispatched nothing since')
def _nothing_since(story):
    since = story.world.now() - story.mark
    runs = story.runs('', since)
    assert [run for run in runs if run.instance == story.name] == []


@then(parsers.parse('it dispatched requests in the last {last:d} seconds'))
def _dispatched(story, last):
    assert any(run.instance == story.name for run in story.runs('', last))


@then(parsers.parse('the caller was told "{result}"'))
def _told(story, result):
    assert story.last.result == result, story.last


@then(parsers.parse('the publish ran {times:d} time'))
def _ran(story, times):
    assert [run.key for run in story.world.runs].count(story.key) == times


@then('no request was cut')
def _none_cut(story):
    results = {sent.result for sent in story.world.sent}
    assert results <= {'answered', 'not-run'}


@then(
    parsers.parse('all requests of the last {seconds:d} seconds were answered')
)
def _lately_answered(story, seconds):
    since = story.world.now() - seconds
    lately = [sent for sent in story.world.sent if sent.sent_at >= since]
    assert {sent.result for sent in lately} == {'answered'}


@then('all requests were answered')
def _all_answered(story):
    results = collections.Counter(
        (sent.result, sent.reason, sent.status) for sent in story.world.sent
    )
    assert set(results) == {('answered', '', 200)}, results


@then(parsers.parse('{target} got nothing from 3 seconds after the drain'))
def _drained(story, target):
    since = story.world.now() - story.drained_at - 3
    assert story.runs(target, since) == []


@then(
    parsers.parse(
        'the shift from a to b grew by at most {cap:d} in every 10 seconds'
    )
)
def _shift(story, cap):
    homes = {sent.request: sent.home for sent in story.world.sent}
    story.moved = [
        run.started_at
        for run in story.world.runs
        if homes[run.request] == 'a' and '-b' in run.target
    ]
    assert worst_growth(story.moved, 10) <= cap


@then('some requests of region a were answered by b')
def _shifted(story):
    assert len(story.moved) > 40


def _most_over(times, rate, burst):
    """Return by how much the worst window exceeds rate and burst."""
    times = sorted(times)
    excess = [
        (last - first + 1) - rate * (times[last] - times[first]) - burst
        for first in range(len(times))
        for last in range(first, len(times))
    ]
    return max(excess)


def _admitted(story, since=0):
    ran = {run.request for run in story.world.runs}
    return [
        sent.sent_at
        for sent in story.world.sent
        if sent.request in ran and sent.sent_at >= since
    ]


@then(
    parsers.parse(
        'at most {rate:d} a second and a burst of {burst:d} were admitted'
    )
)
def _rate(story, rate, burst):
    assert _most_over(_admitted(story), rate, burst) <= 1e-6


@then(
    parsers.parse(
        'at most {rate:d} a second and a burst of {burst:d} were admitted since'
    )
)
def _rate_since(story, rate, burst):
    admitted = _admitted(story, story.mark)
    assert len(admitted) > 100
    assert _most_over(admitted, rate, burst) <= 1e-6


@then('attempts are at most 1.1 times the requests')
def _attempts(story):
    world = story.world
    attempts = sum(fake.attempts for fake in world.targets.values())
    assert attempts <= 1.1 * len(world.sent)
    assert attempts > 0


@then('it has ended')
def _ended(story):
    assert story.stopping.done() and not story.world.nodes[story.name].up


@then(parsers.parse('{target} got less than its equal share'))
def _share(story, target):
    runs = collections.Counter(run.target for run in story.world.runs)
    assert runs[target] < sum(runs.values()) / 2
    assert sum(runs.values()) > 400


@then('each caller got its weighted share within 10 percent')
def _shares(story):
    served = collections.Counter(
        sent.caller
        for sent in story.world.sent
        if sent.result == 'answered' and sent.ended_at <= story.mark
    )
    total = sum(served.values())
    assert total > 600
    expected = {f'c{at}': total * 2**at / 7 for at in range(3)}
    assert dict(served) == pytest.approx(expected, rel=0.1)


@then(
    parsers.parse(
        'at least {percent:d} percent of the requests of the light caller '
        'were answered'
    )
)
def _light_served(story, percent):
    light = [sent for sent in story.world.sent if sent.caller == 'c0']
    results = collections.Counter((sent.result, sent.reason) for sent in light)
    answered = sum(sent.result == 'answered' for sent in light)
    assert answered * 100 >= percent * len(light), results

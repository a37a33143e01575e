"""Steps of the scenarios in tests/scenarios/steering.feature.

Each scenario runs entry instances on fakes and injects faults; the feature file
names the failure that it guards against.
"""

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
    """Guards against refusals because no instance knows the new owner yet."""


scenarios('scenarios/steering.feature')

MODES = {
    'fail': 'fail',
    'lose the answer': 'lose',
    'shed load': 'shed',
    'hang': 'hang',
    'answer again': 'ok',
}
#: Time after the last request: the longest deadline, and the time until the
#: last outcomes are known.
SETTLE_S = 6


class ScenarioRun:
    """One scenario: its world, and what later steps refer to.

    ``instance`` is the instance of the last event, ``last_sent`` the last
    publish and ``key`` its idempotency key. Steps that end in "since" count
    from ``marked_at``.
    """

    def __init__(self, configuration=None):
        self.world = World().start(configuration)
        self.load_tasks, self.marked_at, self.instance, self.key = [], 0, '', ''
        self.last_sent, self.drained_at, self.key_numbers = (
            None,
            0,
            itertools.count(),
        )

    def wait(self, seconds):
        self.world.run(asyncio.sleep(seconds))

    def load(self, names, per_s, **options):
        """Send requests to instances in turn until the callers stop."""
        options.setdefault('service', 'catalogue')

        async def send_forever():
            calls = set()
            for name in itertools.cycle(names):
                call = dict(options)
                if call['service'] == 'publisher':
                    call['key'] = self.world.key(name, next(self.key_numbers))
                task = asyncio.ensure_future(self.world.send(name, **call))
                calls.add(task)
                task.add_done_callback(calls.discard)
                await asyncio.sleep(1 / per_s)

        self.load_tasks.append(self.world.loop.create_task(send_forever()))

    def stop_callers(self):
        for task in self.load_tasks:
            task.cancel()
        self.load_tasks = []
        self.wait(SETTLE_S)

    def runs(self, target, seconds):
        """Return the recent runs at a target; an empty name means all."""
        since = self.world.now() - seconds
        return [
            run
            for run in self.world.runs
            if target in {'', run.target} and run.started_at >= since
        ]


@pytest.fixture
def scenario_runs():
    """Collect the runs of a scenario and close their worlds at its end."""
    runs = []
    yield runs
    for scenario_run in runs:
        scenario_run.world.close()


@given('two failure domains of two instances', target_fixture='scenario_run')
def _start_world(scenario_runs):
    scenario_runs.append(ScenarioRun())
    return scenario_runs[0]


@given(
    parsers.parse(
        'two failure domains of two instances and a plan of {rate:d} a second'
    ),
    target_fixture='scenario_run',
)
def _start_with_rate(scenario_runs, rate):
    scenario_runs.append(ScenarioRun(config(rate=rate)))
    return scenario_runs[0]


@given(
    'one failure domain of two instances with plans of weight 1, 2 and 4',
    target_fixture='scenario_run',
)
def _start_with_weights(scenario_runs):
    scenario_runs.append(ScenarioRun(config(weights=(1, 2, 4))))
    for name in ('b1', 'b2'):
        scenario_runs[0].world.nodes[name].crash()
    scenario_runs[0].wait(30)
    return scenario_runs[0]


@given(parsers.parse('the targets take {millis:d} ms for a request'))
def _set_run_time(scenario_run, millis):
    for fake in scenario_run.world.targets.values():
        fake.run_s = millis / 1000


@given(parsers.re('the targets (?P<mode>hang|fail|lose the answer|shed load)'))
@when(parsers.re('the targets (?P<mode>answer again)'))
def _set_mode(scenario_run, mode):
    for fake in scenario_run.world.targets.values():
        fake.mode = MODES[mode]


@given(parsers.parse('{target} fails within {millis:d} ms'))
def _fail_fast(scenario_run, target, millis):
    scenario_run.world.targets[target].mode = 'fail'
    scenario_run.world.targets[target].run_s = millis / 1000


_SEND = (
    r'callers of (?P<names>[ab]\d(, [ab]\d)*) send (?P<per_s>\d+) '
    r'(?P<kind>browse|publish) requests a second'
    r'( and leave after (?P<leave>\d+) ms)?$'
)


@given(parsers.re(_SEND))
@when(parsers.re(_SEND))
def _callers(scenario_run, names, per_s, kind, leave):
    service = {'browse': 'catalogue', 'publish': 'publisher'}[kind]
    options = {'leave_after_s': int(leave) / 1000} if leave else {}
    scenario_run.load(names.split(', '), int(per_s), service=service, **options)


@when(
    parsers.parse(
        'callers of region a send {per_s:d} browse requests a second to b1, b2'
    )
)
def _call_other_region(scenario_run, per_s):
    scenario_run.load(['b1', 'b2'], per_s, home_domain='a')


@when(
    parsers.parse(
        'callers of the other instance of a send {per_s:d} '
        'browse requests a second'
    )
)
def _call_other_instance(scenario_run, per_s):
    scenario_run.load(['a1' if scenario_run.instance == 'a2' else 'a2'], per_s)


@when('the callers stop')
def _callers_stop(scenario_run):
    scenario_run.stop_callers()


@when(parsers.re(r'(?P<seconds>\d+) seconds? pass(es)?'))
def _let_time_pass(scenario_run, seconds):
    scenario_run.wait(int(seconds))


@when(parsers.parse('the owner of {target} {event}'))
def _event(scenario_run, target, event):
    scenario_run.instance = scenario_run.world.owner_of(target)
    node = scenario_run.world.nodes[scenario_run.instance]
    if event == 'crashes':
        node.crash()
    elif event == 'pauses':
        node.pause()
    else:
        scenario_run.stopping = scenario_run.world.loop.create_task(node.stop())


@when('it resumes but receives no messages')
def _resume_isolated(scenario_run):
    scenario_run.marked_at = scenario_run.world.now()
    scenario_run.world.cuts = {('a', 'a'), ('a', 'b'), ('b', 'a')}
    scenario_run.world.nodes[scenario_run.instance].resume()


@when('it receives messages again')
@when('the domains are connected again')
def _heal(scenario_run):
    scenario_run.world.heal()


@when(parsers.parse('the domains are cut off {way}'))
def _cut(scenario_run, way):
    scenario_run.world.cut(both=way == 'both ways')


@when(parsers.parse('region {region} fails'))
def _region_fails(scenario_run, region):
    scenario_run.marked_at = scenario_run.world.now()
    for name in (f'{region}1', f'{region}2'):
        scenario_run.world.nodes[name].crash()


@when(parsers.parse('region {region} starts again'))
def _region_starts(scenario_run, region):
    _start(scenario_run, f'{region}1', f'{region}2')


@when(parsers.re(r'(?P<name>[ab]\d) starts again'))
def _starts(scenario_run, name):
    _start(scenario_run, name)


def _start(scenario_run, *names):
    async def begin():
        for name in names:
            scenario_run.world.nodes[name].start(
                scenario_run.world.configuration
            )

    scenario_run.world.run(begin())


@when(parsers.parse('the upstream {target} is drained'))
def _drain(scenario_run, target):
    scenario_run.drained_at = scenario_run.world.now()
    drain = Drain(scope=DrainScope.upstream, name=target)
    scenario_run.world.apply(
        config(2, drains=(drain,)), scenario_run.world.nodes
    )


@when(parsers.parse('{names} get a plan of {rate:d} a second'))
def _plan(scenario_run, names, rate):
    scenario_run.marked_at = scenario_run.world.now()
    scenario_run.world.apply(config(2, rate=rate), names.split(', '))


def _send_publish(scenario_run, name):
    scenario_run.last_sent = scenario_run.world.run(
        scenario_run.world.send(name, 'publisher', key=scenario_run.key)
    )


@when(
    parsers.re(
        r'(?P<name>\w+) gets a publish with a key of (?P<home>[ab]\d)'
        r'(, whose hop is lost (?P<loss>before|after) delivery)?$'
    )
)
def _publish_first(scenario_run, name, home, loss):
    scenario_run.key = scenario_run.world.key(home, 'once')
    if loss:
        scenario_run.world.nodes[name].peers.losses.append(loss)
    _send_publish(scenario_run, name)


@when(
    parsers.parse(
        '{name} gets a publish with a key of {home}, '
        'and crashes after {millis:d} ms'
    )
)
def _crash_in_run(scenario_run, name, home, millis):
    scenario_run.key = scenario_run.world.key(home, 'once')
    world = scenario_run.world
    world.loop.call_later(millis / 1000, world.nodes[name].crash)
    _send_publish(scenario_run, name)
    assert scenario_run.last_sent.result == 'lost'


@when(parsers.parse('the publish is resent through {name}'))
def _resend(scenario_run, name):
    _send_publish(scenario_run, name)


@when(
    '20 clients of each plan send requests to both instances for 40 seconds',
)
def _overload(scenario_run):
    _run_clients(scenario_run, [number % 3 for number in range(60)], 40)


@when('40 clients of the heaviest plan overload both instances')
def _prepare_heavy_clients(scenario_run):
    scenario_run.clients = [2] * 40


@when(
    parsers.parse(
        'a light caller sends the {which} 1 request a second '
        'for {seconds:d} seconds'
    )
)
def _load_with_light_caller(scenario_run, which, seconds):
    owner = scenario_run.world.owner_of('catalogue-a1')
    other = 'a1' if owner == 'a2' else 'a2'
    scenario_run.load([owner if which == 'owner' else other], 1, caller='c0')
    _run_clients(scenario_run, scenario_run.clients, seconds)
    scenario_run.stop_callers()


def _run_clients(scenario_run, callers, seconds):
    world = scenario_run.world
    ends_at = world.now() + seconds

    async def client(caller, names):
        while world.now() < ends_at:
            sent = await world.send(next(names), caller=f'c{caller}')
            if sent.result != 'answered':
                await asyncio.sleep(0.05)

    async def run():
        await asyncio.gather(
            *(
                client(caller, itertools.cycle(order))
                for number, caller in enumerate(callers)
                for order in [('a1', 'a2') if number % 2 else ('a2', 'a1')]
            )
        )

    world.run(run())
    scenario_run.marked_at = ends_at


@then('no invariant is broken')
def _no_violation(scenario_run):
    scenario_run.world.heal()
    scenario_run.stop_callers()
    assert scenario_run.world.violations() == []
    assert scenario_run.world.account_errors() == []


@then(
    parsers.parse(
        '{target} ran requests of another instance in the last {last:d} seconds'
    )
)
def _taken_over(scenario_run, target, last):
    seen = {run.instance for run in scenario_run.runs(target, last)}
    assert seen and scenario_run.instance not in seen


@then(parsers.parse('{target} ran requests in the last {last:d} seconds'))
def _target_ran(scenario_run, target, last):
    assert scenario_run.runs(target, last)


@then('it has dispatched nothing since')
def _nothing_since(scenario_run):
    since = scenario_run.world.now() - scenario_run.marked_at
    runs = scenario_run.runs('', since)
    assert [run for run in runs if run.instance == scenario_run.instance] == []


@then(parsers.parse('it dispatched requests in the last {last:d} seconds'))
def _dispatched(scenario_run, last):
    assert any(
        run.instance == scenario_run.instance
        for run in scenario_run.runs('', last)
    )


@then(parsers.parse('the caller got "{result}"'))
def _caller_got(scenario_run, result):
    assert scenario_run.last_sent.result == result, scenario_run.last_sent


@then(parsers.parse('the publish ran {times:d} time'))
def _ran(scenario_run, times):
    assert [run.key for run in scenario_run.world.runs].count(
        scenario_run.key
    ) == times


@then('no request was interrupted')
def _none_cut(scenario_run):
    results = {sent.result for sent in scenario_run.world.sent}
    assert results <= {'answered', 'not-run'}


@then(
    parsers.parse('all requests of the last {seconds:d} seconds were answered')
)
def _recent_answered(scenario_run, seconds):
    since = scenario_run.world.now() - seconds
    recent = [sent for sent in scenario_run.world.sent if sent.sent_at >= since]
    assert {sent.result for sent in recent} == {'answered'}


@then('all requests were answered')
def _all_answered(scenario_run):
    results = collections.Counter(
        (sent.result, sent.reason, sent.status)
        for sent in scenario_run.world.sent
    )
    assert set(results) == {('answered', '', 200)}, results


@then(parsers.parse('{target} got no requests from 3 seconds after the drain'))
def _drained(scenario_run, target):
    since = scenario_run.world.now() - scenario_run.drained_at - 3
    assert scenario_run.runs(target, since) == []


@then(
    parsers.parse(
        'the shift from a to b grew by at most {cap:d} in every 10 seconds'
    )
)
def _shift(scenario_run, cap):
    homes = {sent.request: sent.home_domain for sent in scenario_run.world.sent}
    scenario_run.shifted_at = [
        run.started_at
        for run in scenario_run.world.runs
        if homes[run.request] == 'a' and '-b' in run.target
    ]
    assert worst_growth(scenario_run.shifted_at, 10) <= cap


@then('some requests of region a were answered by b')
def _shifted(scenario_run):
    assert len(scenario_run.shifted_at) > 40


def _max_excess(times, rate, burst):
    """Return the largest excess of any window over rate and burst."""
    times = sorted(times)
    excess = [
        (end - start + 1) - rate * (times[end] - times[start]) - burst
        for start in range(len(times))
        for end in range(start, len(times))
    ]
    return max(excess)


def _admitted(scenario_run, since=0):
    ran = {run.request for run in scenario_run.world.runs}
    return [
        sent.sent_at
        for sent in scenario_run.world.sent
        if sent.request in ran and sent.sent_at >= since
    ]


@then(
    parsers.parse(
        'at most {rate:d} a second and a burst of {burst:d} were admitted'
    )
)
def _rate(scenario_run, rate, burst):
    assert _max_excess(_admitted(scenario_run), rate, burst) <= 1e-6


@then(
    parsers.parse(
        'at most {rate:d} a second and a burst of {burst:d} were admitted since'
    )
)
def _rate_since(scenario_run, rate, burst):
    admitted = _admitted(scenario_run, scenario_run.marked_at)
    assert len(admitted) > 100
    assert _max_excess(admitted, rate, burst) <= 1e-6


@then('attempts are at most 1.1 times the requests')
def _attempts(scenario_run):
    world = scenario_run.world
    attempts = sum(fake.attempts for fake in world.targets.values())
    assert attempts <= 1.1 * len(world.sent)
    assert attempts > 0


@then('it has stopped')
def _ended(scenario_run):
    assert (
        scenario_run.stopping.done()
        and not scenario_run.world.nodes[scenario_run.instance].up
    )


@then(parsers.parse('{target} got less than its equal share'))
def _share(scenario_run, target):
    runs = collections.Counter(run.target for run in scenario_run.world.runs)
    assert runs[target] < sum(runs.values()) / 2
    assert sum(runs.values()) > 400


@then('each caller got its weighted share within 10 percent')
def _weighted_shares(scenario_run):
    served = collections.Counter(
        sent.caller
        for sent in scenario_run.world.sent
        if sent.result == 'answered' and sent.ended_at <= scenario_run.marked_at
    )
    total = sum(served.values())
    assert total > 600
    expected = {f'c{number}': total * 2**number / 7 for number in range(3)}
    assert dict(served) == pytest.approx(expected, rel=0.1)


@then(
    parsers.parse(
        'at least {percent:d} percent of the requests of the light caller '
        'were answered'
    )
)
def _light_served(scenario_run, percent):
    light = [sent for sent in scenario_run.world.sent if sent.caller == 'c0']
    results = collections.Counter((sent.result, sent.reason) for sent in light)
    answered = sum(sent.result == 'answered' for sent in light)
    assert answered * 100 >= percent * len(light), results

"""Steps of the scenarios in tests/scenarios/admission.feature.

They guard against overload that ignores plan weights, rates exceeded by a
partition, and slots or tokens lost with disconnected callers.
"""

import asyncio
import random

import looptime
import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from returns.result import Failure, Success

from cuminhoist.retries import RetryBudget
from cuminhoist.slots import SlotOutcome
from cuminhoist.types import Reason

from .builders_admission import AdmissionRig, RateFleet, config_of
from .test_shift import worst_growth

scenarios('scenarios/admission.feature')

SLACK = 1e-6


@pytest.fixture
def loop():
    """Return an event loop whose time is simulated."""
    loop = looptime.new_event_loop(start=1000)
    yield loop
    loop.close()


@pytest.fixture
def seen():
    """Return a record that the steps of a scenario share."""
    return {'refusals': [], 'served': [0, 0, 0]}


@given(
    parsers.parse(
        'an instance with {slots:d} slots and plans of weight 1, 2 and 4'
    ),
    target_fixture='rig',
)
def _instance(loop, slots):
    async def build():
        rig = AdmissionRig(slots=slots, weights=(1, 2, 4))
        await asyncio.sleep(3)
        return rig

    return loop.run_until_complete(build())


async def _client(rig, seen, caller, ends_at, seed):
    rng = random.Random(seed)
    while rig.clock.now() < ends_at:
        outcome = await rig.admission.admit(rig.request(caller, 5))
        if isinstance(outcome, Success):
            # Requests still queued at the end do not count: they are served
            # while no client sends more, so that weights have no effect.
            seen['served'][caller] += rig.clock.now() < ends_at
            await asyncio.sleep(rng.uniform(0.05, 0.15))
            outcome.unwrap().release(SlotOutcome.answered, 0.1)
        else:
            seen['refusals'].append((caller, outcome.failure()))
            await asyncio.sleep(0.05)


def _send_requests(loop, rig, seen, callers, seconds):
    async def run():
        ends_at = rig.clock.now() + seconds
        seen['served'] = [0, 0, 0]
        clients = [caller for caller in callers for _ in range(20)]
        await asyncio.gather(
            *(
                _client(rig, seen, caller, ends_at, seed)
                for seed, caller in enumerate(clients)
            )
        )

    loop.run_until_complete(run())


@when(
    parsers.parse(
        '20 clients of each plan send requests for {seconds:d} seconds'
    )
)
def _send_from_all(loop, rig, seen, seconds):
    _send_requests(loop, rig, seen, (0, 1, 2), seconds)


@when(
    parsers.parse(
        '20 clients of plans 0 and 1 send requests for {seconds:d} seconds'
    )
)
def _send_from_two(loop, rig, seen, seconds):
    _send_requests(loop, rig, seen, (0, 1), seconds)


@then(parsers.parse('the answers are divided by weight {a:d}, {b:d} and {c:d}'))
def _divided(seen, a, b, c):
    total = sum(seen['served'])
    assert total > 600
    for served, weight in zip(seen['served'], (a, b, c), strict=True):
        assert served == pytest.approx(total * weight / (a + b + c), rel=0.1)


@then('every refusal names the plan and a retry time')
def _refusals(seen):
    for caller, refusal in seen['refusals']:
        assert refusal.plan == f'p{caller}' and refusal.retry_after_ms > 0


@then('no slot is in use')
def _no_slot_in_use(rig):
    assert not rig.slots.in_use


@given(
    parsers.parse(
        '{size:d} instances and a plan of {rate:d} requests a second'
    ),
    target_fixture='fleet',
)
def _fleet(size, rate):
    fleet = RateFleet(size, rate)
    fleet.clock.advance(3)
    return fleet


@when(
    parsers.parse(
        'a caller sends {per_s:d} a second to {where} for {seconds:d} seconds'
    )
)
def _send(fleet, seen, per_s, where, seconds):
    names = fleet.names if where == 'every instance' else fleet.names[:1]
    # The first second spends the burst, which is not part of the rate.
    fleet.send_load(names, 1, per_s)
    seen['rate'] = fleet.send_load(names, seconds, per_s)


@when('the instance is partitioned from all others')
def _cut_off(fleet):
    for transport in fleet.network.values():
        transport.call_outcome = lambda caller, peer: (
            (0, False) if 'e0' in {caller, peer} else (1, True)
        )


@when('the partition ends')
def _partition_ends(fleet):
    for transport in fleet.network.values():
        transport.call_outcome = lambda *_: (1, True)


@when(parsers.parse('the plan falls to {rate:d} a second everywhere else'))
def _plan_falls(fleet, rate):
    for name in fleet.names[1:]:
        fleet.in_force[name].replace_if_newer(config_of(2, rate))


@when(parsers.parse('the plan falls to {rate:d} a second at the instance'))
def _plan_falls_late(fleet, seen, rate):
    fleet.in_force['e0'].replace_if_newer(config_of(2, rate))
    seen['lower'] = (rate, fleet.clock.now())


@then(parsers.parse('at least {percent:d} percent of the rate was admitted'))
def _admitted_percent(seen, percent):
    assert seen['rate'] >= 400 * percent / 100


@then('no window exceeds the rate and the burst')
def _no_window(fleet):
    assert fleet.max_excess(400, 800) <= SLACK


@then('no window after the change exceeds the lower rate and burst')
def _no_window_lower(fleet, seen):
    rate, since = seen['lower']
    assert fleet.max_excess(rate, 2 * rate, since) <= SLACK
    assert seen['rate'] >= 0.95 * rate


@given(
    parsers.parse('an instance with a shift cap of {cap:d} requests a window'),
    target_fixture='rig',
)
def _shift_rig(loop, cap):
    async def build():
        rig = AdmissionRig(slots=500)
        await asyncio.sleep(3)
        return rig

    rig = loop.run_until_complete(build())
    rig.shift.growth = lambda service: cap
    return rig


@when(
    parsers.parse(
        '{per_s:d} requests a second arrive from a failed region '
        'for {seconds:d} seconds'
    )
)
def _shifted(loop, rig, seen, per_s, seconds):
    async def arrivals():
        admitted_at = []
        for _ in range(per_s * seconds):
            await asyncio.sleep(1 / per_s)
            req = rig.request(origin_region='de-cymru')
            outcome = await rig.admission.admit(req)
            if isinstance(outcome, Failure):
                seen['refusals'].append(outcome.failure())
                continue
            admitted_at.append(rig.clock.now())
            outcome.unwrap().release(SlotOutcome.answered, 0.1)
        return admitted_at

    seen['times'] = loop.run_until_complete(arrivals())


@then(
    parsers.parse('no window admits over {cap:d} more than the window before')
)
def _under_cap(seen, cap):
    assert worst_growth(seen['times']) <= cap


@then(
    parsers.parse('at least {cap:d} requests were admitted in the first window')
)
def _first_window(seen, cap):
    start = seen['times'][0]
    assert sum(at < start + 10 for at in seen['times']) >= cap


@then(parsers.parse('the last window admits at least {number:d} requests'))
def _last_window(seen, number):
    end = seen['times'][-1]
    assert sum(at > end - 10 for at in seen['times']) >= number


@then('all other requests were refused with reason shift-cap')
def _shift_refusals(seen):
    assert len(seen['times']) + len(seen['refusals']) == 1800
    assert {entry.reason for entry in seen['refusals']} == {Reason.shift_cap}


@given('a retry budget', target_fixture='budget')
def _budget():
    return RetryBudget(1)


@when(parsers.parse('{count:d} requests fail on all of their attempts'))
def _retry_until_refused(budget, seen, count):
    attempts = 0
    for _ in range(count):
        budget.count_request()
        attempts += 1
        while budget.try_retry():
            attempts += 1
    seen['attempts'] = (count, attempts)


@then('there were at most 1.1 attempts for each request')
def _attempts(seen):
    count, attempts = seen['attempts']
    assert 10 * attempts <= 11 * count
    assert attempts > 1.09 * count


@when('a request holds the only slot', target_fixture='held')
def _hold(loop, rig):
    outcome = loop.run_until_complete(
        rig.admission.admit(rig_request(loop, rig))
    )
    return outcome.unwrap()


def rig_request(loop, rig, **fields):
    """Build a request from outside the event loop, on its clock."""

    async def build():
        return rig.request(**fields)

    return loop.run_until_complete(build())


@when(parsers.parse('a request with a deadline of {ms:d} ms waits'))
def _wait(loop, rig, seen, ms):
    async def wait():
        started = rig.clock.now()
        seen['tokens'] = rig.rates.bucket(('c1', 'catalogue'))._tokens
        outcome = await rig.admission.admit(rig.request(1, ms / 1000))
        return outcome.failure(), rig.clock.now() - started

    seen['waited'] = loop.run_until_complete(wait())


@then(
    parsers.parse('it is refused after {ms:d} ms with reason deadline-exceeded')
)
def _refused_after(seen, ms):
    refusal, waited_s = seen['waited']
    assert refusal.reason == Reason.deadline and refusal.retry_after_ms > 0
    assert waited_s == pytest.approx(ms / 1000, abs=0.002)


@then('its caller was not charged')
def _not_charged(rig, seen):
    assert rig.rates.bucket(('c1', 'catalogue'))._tokens >= seen['tokens']


@when('a caller disconnects while its request waits')
def _disconnect(loop, rig):
    async def disconnect():
        waiting = asyncio.create_task(rig.admission.admit(rig.request(1)))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert rig.admission.waiting_count('catalogue') == 0

    loop.run_until_complete(disconnect())


@when('a caller disconnects at the moment it gets the slot')
def _disconnect_at_grant(loop, rig, held):
    async def disconnect():
        waiting = asyncio.create_task(rig.admission.admit(rig.request(1)))
        await asyncio.sleep(0.1)
        held.release(SlotOutcome.answered, 0.1)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        assert waiting.cancelled()

    loop.run_until_complete(disconnect())


@then('the next request gets the slot')
def _next_request_admitted(loop, rig):
    assert rig.slots.in_use == []
    req = rig_request(loop, rig)
    assert isinstance(
        loop.run_until_complete(rig.admission.admit(req)), Success
    )


@then('no caller that disconnected was charged')
def _disconnected_not_charged(rig):
    bucket = rig.rates.bucket(('c1', 'catalogue'))
    assert bucket._tokens == pytest.approx(bucket.share.burst)

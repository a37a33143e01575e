"""What must hold in a soak, judged by what was seen from outside."""

import collections
from collections.abc import Iterator

from .evidence import Call, Evidence, InjectedFault, OrderKind
from .plan import FaultKind

#: Statuses that promise that a request has not run and will not run.
PROMISES = frozenset((408, 421, 429, 503))
OK = 200
NOT_FOUND = 404
#: An acknowledged configuration is in force after this time, in seconds.
APPLY_S = 2.5
#: A drained failure domain gets nothing after this time, in seconds.
DRAINED_S = 5.0
#: A target that is listed as leaving gets nothing after this, in seconds.
LEAVING_S = 3.0
#: An instance is in touch this long after the last fault, in seconds.
TOUCH_S = 4.0
#: An answer may be this much later than the route allows, in seconds.
LATE_S = 0.5
#: Longest time that the routes of the soak allow, in seconds.
TIMEOUT_S = 1.5
#: A request that was not read within this time may end without an answer
#: when its instance stops, in seconds.
READ_S = 0.2
#: Kinds during which no request that was read may be cut.
PLANNED_KINDS = frozenset(
    (
        FaultKind.terminate,
        FaultKind.settings,
        FaultKind.configure,
        FaultKind.configure_race,
        FaultKind.configure_invalid,
    ),
)
#: Least part of the requests that is served once all is calm again.
CALM_PART = 0.9
#: Services that each path may run at.
SERVICES = {'/browse/': {'catalogue'}, '/publish/': {'publisher'}}


def violations(evidence: Evidence) -> list[str]:
    """Return everything that must not happen and did.

    :param evidence: what was seen.
    """
    found: list[str] = []
    for check in (
        _whole_answers,
        _at_most_once,
        _refusals,
        _services,
        _known_routes,
        _configuration,
        _invalid,
        _drains,
        _leaving,
        _timeouts,
        _planned_stops,
        _recovery,
        _exits,
    ):
        found.extend(check(evidence))
    return found


def _whole_answers(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.faulty:
            yield f'answer to {call.request_id}: {call.faulty}'


def _at_most_once(evidence: Evidence) -> Iterator[str]:
    once = {call.request_id for call in evidence.calls if call.once}
    counts = collections.Counter(run.request_id for run in evidence.runs)
    for request_id in sorted(once):
        if counts[request_id] > 1:
            yield f'{request_id} ran {counts[request_id]} times'


def _refusals(evidence: Evidence) -> Iterator[str]:
    ran = {run.request_id for run in evidence.runs}
    for call in evidence.calls:
        refused = call.status in PROMISES and call.once
        if refused and call.request_id in ran:
            yield f'{call.request_id} ran and was answered {call.status}'


def _services(evidence: Evidence) -> Iterator[str]:
    sent = {call.request_id: call for call in evidence.calls}
    for run in evidence.runs:
        call = sent.get(run.request_id)
        if call is None:
            continue
        prefix = next(name for name in SERVICES if run.path.startswith(name))
        if run.path != call.path or run.service not in SERVICES[prefix]:
            yield f'{run.request_id} for {call.path} ran at {run.service}'


def _known_routes(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.status == NOT_FOUND:
            yield f'{call.request_id} was told that {call.path} is unknown'


def _configuration(evidence: Evidence) -> Iterator[str]:
    reads = [
        order
        for order in evidence.orders
        if order.kind is OrderKind.read and order.status == OK
    ]
    for order in evidence.orders:
        if order.kind is not OrderKind.configure or order.status != OK:
            continue
        for read in reads:
            late = read.sent_at > order.ended_at + APPLY_S
            if late and read.version < order.version:
                yield (
                    f'{read.control} read version {read.version} after '
                    f'{order.version} was acknowledged'
                )
    if all(entry.sent_at < evidence.fault_free_from for entry in reads):
        yield 'the configuration could not be read when all was calm'


def _invalid(evidence: Evidence) -> Iterator[str]:
    for order in evidence.orders:
        if order.kind is OrderKind.invalid and order.status == OK:
            yield f'{order.control} acknowledged an invalid configuration'


def _drains(evidence: Evidence) -> Iterator[str]:
    """Judge drains that were acknowledged and never taken back."""
    drained: dict[str, float] = {}
    for order in evidence.orders:
        if order.kind is OrderKind.undrain:
            # It may be in force although its answer was lost.
            drained.pop(order.domain, None)
        elif order.kind is OrderKind.drain and order.status == OK:
            drained[order.domain] = order.ended_at
    for domain, since in drained.items():
        begin = max(since + DRAINED_S, evidence.fault_free_from + TOUCH_S)
        for run in evidence.runs:
            if run.domain == domain and run.at > begin:
                yield f'{run.request_id} ran in the drained domain {domain}'


def _leaving(evidence: Evidence) -> Iterator[str]:
    for run in evidence.runs:
        since = evidence.leaving.get(run.target, float('inf'))
        begin = max(since + LEAVING_S, evidence.fault_free_from + TOUCH_S)
        if run.at > begin:
            yield f'{run.request_id} ran at {run.target}, which leaves'


def _timeouts(evidence: Evidence) -> Iterator[str]:
    for call in _calm_calls(evidence):
        # A caller that does not run reads its answer late.
        took_s = _took_s(call) - _stalled_s(call, evidence)
        if took_s > TIMEOUT_S + LATE_S:
            yield f'{call.request_id} was answered after {took_s:.2f} s'


def _planned_stops(evidence: Evidence) -> Iterator[str]:
    """Judge requests that an instance had when it was asked to stop."""
    ran = {run.request_id for run in evidence.runs}
    unplanned = [
        harm
        for harm in evidence.injected_faults
        if harm.kind not in PLANNED_KINDS
    ]
    for stop in evidence.injected_faults:
        if stop.kind is not FaultKind.terminate:
            continue
        for call in evidence.calls:
            cut = call.instance == stop.on and not call.status
            held = call.request_id in ran or _took_s(call) > READ_S
            during = call.sent_at < stop.ended and call.ended_at > stop.began
            if cut and held and during and not _near(call, unplanned):
                yield f'{call.request_id} was cut by the stop of {stop.on}'


def _near(call: Call, harms: list[InjectedFault]) -> bool:
    return any(
        harm.began < call.ended_at and harm.ended + TOUCH_S > call.sent_at
        for harm in harms
    )


def _took_s(call: Call) -> float:
    return call.ended_at - call.sent_at


def _stalled_s(call: Call, evidence: Evidence) -> float:
    return sum(
        max(min(call.ended_at, ended) - max(call.sent_at, began), 0)
        for began, ended in evidence.stalls
    )


def _recovery(evidence: Evidence) -> Iterator[str]:
    calm = _calm_calls(evidence)
    served = sum(call.status == OK for call in calm)
    if not calm or served < CALM_PART * len(calm):
        yield f'{served} of {len(calm)} requests served when all was calm'


def _exits(evidence: Evidence) -> Iterator[str]:
    yield from evidence.exits


def _calm_calls(evidence: Evidence) -> list[Call]:
    begin = evidence.fault_free_from + TOUCH_S
    return [call for call in evidence.calls if call.sent_at > begin]

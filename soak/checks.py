"""Checks the evidence of a soak for violations of what the programs promise.

The checks use only what was seen from outside the programs: by callers,
targets and operators, and by the soak's own process, which starts them.
"""

import collections
from collections.abc import Iterator

from .cut_checks import callers_of_cut_instances
from .evidence import Arrival, Call, Evidence, InjectedFault, OrderKind
from .plan import FaultKind
from .poison_checks import poison_sent_on, refused_as_poison

#: Statuses that promise that a request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
OK = 200
NOT_FOUND = 404
#: Longest time until an acknowledged configuration is in force, in seconds.
APPLY_LIMIT_S = 2.5
#: Longest time until a drained domain gets no more requests, in seconds.
DRAIN_LIMIT_S = 5.0
#: Longest time until a leaving target gets no more requests, in seconds.
LEAVING_LIMIT_S = 3.0
#: Time after a 503 with a pause until an instance keeps it, in seconds.
PAUSE_REACTION_S = 0.5
#: Most requests that may reach a target from one instance in a pause.
MAX_ARRIVALS_IN_PAUSE = 2
#: Time around the disturbance of a target's link in which an answer that was
#: under way may be lost, in seconds.
LINK_SETTLE_S = 0.1
#: Kinds of faults that restart or freeze an entry instance.
INTERRUPTIONS = frozenset(
    (FaultKind.kill, FaultKind.terminate, FaultKind.pause),
)
#: Kinds of faults that cut entry instances off from all control instances.
CUTS = frozenset((FaultKind.links_cut,))
#: Kinds of faults that reset or silence open connections to a target.
TARGET_LINK_KINDS = frozenset(
    (
        FaultKind.target_down,
        FaultKind.target_silent,
        FaultKind.target_replaced,
        FaultKind.target_reassigned,
    ),
)
#: Longest time until instances are connected again after a fault, seconds.
RECONNECT_S = 4.0
#: Tolerance on the time-out of a route, in seconds.
TIMEOUT_TOLERANCE_S = 0.5
#: Time-out of all routes of the soak, in seconds.
ROUTE_TIMEOUT_S = 1.5
#: Time after which the instance has read a request, in seconds. A younger
#: request may end without an answer when its instance stops.
REQUEST_READ_S = 0.2
#: Kinds of faults during which no request that the instance has read may
#: end without an answer.
GRACEFUL_KINDS = frozenset(
    (
        FaultKind.terminate,
        FaultKind.settings,
        FaultKind.configure,
        FaultKind.configure_race,
        FaultKind.configure_invalid,
    ),
)
#: Time after the first answer with a limit from which on it binds, and after
#: the first answer to an instance from which on its requests count, in seconds.
LIMIT_REACTION_S = 4.0
LIMIT_KNOWN_S = 0.5
#: Length of the windows in which requests at a limited target are counted, in
#: seconds, and what it tolerates there: a multiple of the limit and some more.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
#: Least fraction of the requests that are served in the fault-free time,
#: once the instances are connected again.
MIN_SERVED_FRACTION = 0.9
#: Services that a request may run at, by prefix of its path.
SERVICES_BY_PREFIX = {'/browse/': {'catalogue'}, '/publish/': {'publisher'}}


def find_violations(evidence: Evidence) -> list[str]:
    """Return one line for each violation of a check.

    :param evidence: the evidence of one soak.
    """
    violations: list[str] = []
    for check in (
        _wrong_answers,
        _repeated_runs,
        _runs_after_refusal,
        _wrong_services,
        _unknown_routes,
        _lost_configurations,
        _acknowledged_invalid,
        _runs_in_drained_domains,
        _runs_at_leaving_targets,
        _arrivals_after_notices,
        _arrivals_in_pauses,
        _arrivals_over_limits,
        poison_sent_on,
        refused_as_poison,
        callers_of_cut_instances,
        _late_answers,
        _requests_cut_by_stops,
        _incomplete_recovery,
        _unexpected_exits,
    ):
        violations.extend(check(evidence))
    return violations


def _wrong_answers(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.faulty:
            yield f'answer to {call.request_id}: {call.faulty}'


def _repeated_runs(evidence: Evidence) -> Iterator[str]:
    at_most_once = {call.request_id for call in evidence.calls if call.once}
    counts = collections.Counter(run.request_id for run in evidence.runs)
    for request_id in sorted(at_most_once):
        if counts[request_id] > 1:
            yield f'{request_id} ran {counts[request_id]} times'


def _runs_after_refusal(evidence: Evidence) -> Iterator[str]:
    executed = {run.request_id for run in evidence.runs}
    for call in evidence.calls:
        refused = call.status in NOT_RUN_STATUSES and call.once
        if refused and call.request_id in executed:
            yield f'{call.request_id} ran and was answered {call.status}'


def _wrong_services(evidence: Evidence) -> Iterator[str]:
    calls = {call.request_id: call for call in evidence.calls}
    for run in evidence.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue
        prefix = next(
            path for path in SERVICES_BY_PREFIX if run.path.startswith(path)
        )
        if (
            run.path != call.path
            or run.service not in SERVICES_BY_PREFIX[prefix]
        ):
            yield f'{run.request_id} for {call.path} ran at {run.service}'


def _unknown_routes(evidence: Evidence) -> Iterator[str]:
    for call in evidence.calls:
        if call.status == NOT_FOUND:
            yield f'{call.request_id} got a 404: route {call.path} is unknown'


def _lost_configurations(evidence: Evidence) -> Iterator[str]:
    reads = [
        order
        for order in evidence.orders
        if order.kind is OrderKind.read and order.status == OK
    ]
    for order in evidence.orders:
        if order.kind is not OrderKind.configure or order.status != OK:
            continue
        for read in reads:
            due = read.sent_at > order.ended_at + APPLY_LIMIT_S
            if due and read.version < order.version:
                yield (
                    f'{read.control} read version {read.version} after '
                    f'{order.version} was acknowledged'
                )
    if all(item.sent_at < evidence.fault_free_from for item in reads):
        yield 'the configuration could not be read in the fault-free time'


def _acknowledged_invalid(evidence: Evidence) -> Iterator[str]:
    for order in evidence.orders:
        if order.kind is OrderKind.invalid and order.status == OK:
            yield f'{order.control} acknowledged an invalid configuration'


def _runs_in_drained_domains(evidence: Evidence) -> Iterator[str]:
    """Check drains that were acknowledged and not followed by an undrain."""
    drained_at: dict[str, float] = {}
    for order in evidence.orders:
        if order.kind is OrderKind.undrain:
            # An undrain may be in force although its answer was lost.
            drained_at.pop(order.domain, None)
        elif order.kind is OrderKind.drain and order.status == OK:
            drained_at[order.domain] = order.ended_at
    for domain, since in drained_at.items():
        begin = max(
            since + DRAIN_LIMIT_S, evidence.fault_free_from + RECONNECT_S
        )
        for run in evidence.runs:
            if run.domain == domain and run.at > begin:
                yield f'{run.request_id} ran in the drained domain {domain}'


def _runs_at_leaving_targets(evidence: Evidence) -> Iterator[str]:
    for run in evidence.runs:
        since = evidence.leaving.get(run.target, float('inf'))
        begin = max(
            since + LEAVING_LIMIT_S, evidence.fault_free_from + RECONNECT_S
        )
        if run.at > begin:
            yield f'{run.request_id} ran at the leaving target {run.target}'


def _arrivals_after_notices(evidence: Evidence) -> Iterator[str]:
    """Check requests sent after an instance passed on a leaving notice."""
    noticed_at = collections.defaultdict(list)
    for noticed in evidence.calls:
        link = (noticed.instance, noticed.leaving_target)
        noticed_at[link].append(noticed.ended_at)
    calls = {call.request_id: call for call in evidence.calls}
    for arrival in evidence.arrivals:
        call = calls.get(arrival.request_id)
        if call is None:
            continue
        due = [
            notice
            for notice in noticed_at[call.instance, arrival.target]
            if call.sent_at > notice + LEAVING_LIMIT_S
        ]
        if due and not _disturbed(
            call.instance, max(due), arrival.at, INTERRUPTIONS, evidence
        ):
            yield (
                f'{call.request_id}, sent {call.sent_at - min(due):.2f} s '
                f'after {call.instance} passed on the notice, reached the '
                f'leaving target {arrival.target}'
            )


def _arrivals_in_pauses(evidence: Evidence) -> Iterator[str]:
    """Check requests sent to targets that asked an instance for a pause."""
    instances = {call.request_id: call.instance for call in evidence.calls}
    arrivals_by_link = collections.defaultdict(list)
    for arrival in evidence.arrivals:
        link = (instances.get(arrival.request_id, ''), arrival.target)
        arrivals_by_link[link].append(arrival)
    for (instance, target), arrivals in arrivals_by_link.items():
        for refused in arrivals:
            end = refused.at + refused.pause_s
            # While the soak's own process stalls, the answer is passed on and
            # requests are read late.
            begin = refused.at + PAUSE_REACTION_S
            begin += _stalled_s(refused.at, end, evidence)
            count = sum(begin < later.at < end for later in arrivals)
            excused = (
                not instance
                or _answer_may_be_lost(refused, evidence)
                or _disturbed(
                    instance, refused.at, end, CUTS | INTERRUPTIONS, evidence
                )
            )
            if count > MAX_ARRIVALS_IN_PAUSE and not excused:
                yield (
                    f'{count} requests of {instance} reached {target} in the '
                    f'pause of {refused.pause_s} s that began with '
                    f'{refused.request_id}'
                )


def _arrivals_over_limits(evidence: Evidence) -> Iterator[str]:
    """Check requests sent to targets that named a limit."""
    by_target = collections.defaultdict(list)
    for arrival in evidence.arrivals:
        by_target[arrival.target].append(arrival)
    for target, arrivals in by_target.items():
        limited: list[Arrival] = []
        for arrival in sorted(arrivals, key=lambda one: one.at):
            # The limit of a target that names another one begins anew.
            if limited and limited[-1].limit_per_s != arrival.limit_per_s:
                yield from _over_limit(target, limited, evidence)
                limited = []
            if arrival.limit_per_s:
                limited.append(arrival)
        yield from _over_limit(target, limited, evidence)


def _over_limit(
    target: str, limited: list[Arrival], evidence: Evidence
) -> Iterator[str]:
    """Check the requests that a target got while it named one limit."""
    instances = {call.request_id: call.instance for call in evidence.calls}
    told_at: dict[str, float] = {}
    counted: collections.deque[float] = collections.deque()
    for arrival in limited:
        instance = instances.get(arrival.request_id, '')
        first_at = told_at.setdefault(instance, arrival.at)
        is_due = (
            arrival.at >= limited[0].at + LIMIT_REACTION_S
            and arrival.at >= first_at + LIMIT_KNOWN_S
        )
        began_at = arrival.at - LIMIT_WINDOW_S
        if not is_due or _disturbed(
            instance, began_at, arrival.at, CUTS | INTERRUPTIONS, evidence
        ):
            continue
        counted.append(arrival.at)
        while counted[0] <= began_at:
            counted.popleft()
        allowed = LIMIT_FACTOR * arrival.limit_per_s * LIMIT_WINDOW_S
        if len(counted) > allowed + LIMIT_SLACK:
            yield (
                f'{len(counted)} requests reached {target} within '
                f'{LIMIT_WINDOW_S} s, the last one {arrival.request_id}; it '
                f'had named a limit of {arrival.limit_per_s} a second'
            )
            return


def _answer_may_be_lost(refused: Arrival, evidence: Evidence) -> bool:
    """Tell whether a reset of the target's link may have dropped its answer.

    Connections are only reset, or silenced, when a fault begins or ends.
    """
    base_name = refused.target.rpartition('-')[0]
    return any(
        fault.kind in TARGET_LINK_KINDS
        and fault.on == base_name
        and abs(edge - refused.at) < LINK_SETTLE_S
        for fault in evidence.injected_faults
        for edge in (fault.began, fault.ended)
    )


def _disturbed(
    name: str,
    begin: float,
    end: float,
    kinds: frozenset[FaultKind],
    evidence: Evidence,
) -> bool:
    """Tell whether faults of some kinds were injected between two times.

    :param name: name that the faults were injected into; faults without a
        single subject count as well.
    """
    return any(
        fault.kind in kinds
        and fault.on in {'', name}
        and fault.began < end
        and fault.ended > begin
        for fault in evidence.injected_faults
    )


def _late_answers(evidence: Evidence) -> Iterator[str]:
    for call in _fault_free_calls(evidence):
        # While the soak's own process stalls, callers read answers late.
        stalled_s = _stalled_s(call.sent_at, call.ended_at, evidence)
        duration_s = _duration_s(call) - stalled_s
        if duration_s > ROUTE_TIMEOUT_S + TIMEOUT_TOLERANCE_S:
            yield f'{call.request_id} was answered after {duration_s:.2f} s'


def _requests_cut_by_stops(evidence: Evidence) -> Iterator[str]:
    """Check requests that an instance had read when it was asked to stop."""
    executed = {run.request_id for run in evidence.runs}
    abrupt = [
        fault
        for fault in evidence.injected_faults
        if fault.kind not in GRACEFUL_KINDS
    ]
    for stop in evidence.injected_faults:
        if stop.kind is not FaultKind.terminate:
            continue
        for call in evidence.calls:
            unanswered = call.instance == stop.on and not call.status
            was_read = (
                call.request_id in executed
                or _duration_s(call) > REQUEST_READ_S
            )
            during = call.sent_at < stop.ended and call.ended_at > stop.began
            if (
                unanswered
                and was_read
                and during
                and not _is_near(call, abrupt)
            ):
                yield f'{call.request_id} got no answer when {stop.on} stopped'


def _is_near(call: Call, faults: list[InjectedFault]) -> bool:
    return any(
        fault.began < call.ended_at and fault.ended + RECONNECT_S > call.sent_at
        for fault in faults
    )


def _duration_s(call: Call) -> float:
    return call.ended_at - call.sent_at


def _stalled_s(begin: float, end: float, evidence: Evidence) -> float:
    """Return how long the soak's own process stalled between two times."""
    return sum(
        max(min(end, stall_end) - max(begin, stall_begin), 0)
        for stall_begin, stall_end in evidence.stalls
    )


def _incomplete_recovery(evidence: Evidence) -> Iterator[str]:
    calls = _fault_free_calls(evidence)
    served = sum(call.status == OK for call in calls)
    if not calls or served < MIN_SERVED_FRACTION * len(calls):
        yield f'{served} of {len(calls)} requests served in the fault-free time'


def _unexpected_exits(evidence: Evidence) -> Iterator[str]:
    yield from evidence.exits


def _fault_free_calls(evidence: Evidence) -> list[Call]:
    begin = evidence.fault_free_from + RECONNECT_S
    return [call for call in evidence.calls if call.sent_at > begin]

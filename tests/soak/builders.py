"""Builders of evidence without violations, which tests then change."""

from typing import Any

import msgspec

from soak.evidence import Arrival, Call, Evidence, Order, OrderKind, Run

FAULT_FREE_FROM_S = 20.0
ENDED_AT_S = 32.0


def call(number: int, **changes: Any) -> Call:
    """Return a served request that is sent in the fault-free time."""
    fields: dict[str, Any] = {
        'request_id': f'r{number}',
        'instance': 'entry-a',
        'path': f'/publish/{number}',
        'once': True,
        'sent_at': FAULT_FREE_FROM_S + 5,
        'ended_at': FAULT_FREE_FROM_S + 5.1,
        'status': 200,
    }
    return Call(**{**fields, **changes})


def run(number: int, **changes: Any) -> Run:
    """Return the run of the request that has this number."""
    fields: dict[str, Any] = {
        'request_id': f'r{number}',
        'target': 't1',
        'service': 'publisher',
        'domain': 'north-a',
        'method': 'POST',
        'path': f'/publish/{number}',
        'at': FAULT_FREE_FROM_S + 5,
    }
    return Run(**{**fields, **changes})


def order(kind: OrderKind, **changes: Any) -> Order:
    """Return an order that was acknowledged."""
    fields: dict[str, Any] = {
        'kind': kind,
        'control': 'control-a',
        'sent_at': 1.0,
        'ended_at': 1.1,
        'status': 200,
        'version': 1,
    }
    return Order(**{**fields, **changes})


def sound_evidence() -> Evidence:
    """Return evidence in which no check finds a violation."""
    return Evidence(
        runs=[run(number) for number in range(40)],
        calls=[call(number) for number in range(40)],
        orders=[
            order(OrderKind.configure),
            order(OrderKind.read, sent_at=FAULT_FREE_FROM_S + 1),
        ],
        fault_free_from=FAULT_FREE_FROM_S,
        ended_at=ENDED_AT_S,
    )


def changed(original: Call, **changes: Any) -> Call:
    """Return a copy of a request with some fields changed."""
    return msgspec.structs.replace(original, **changes)


def arrival(number: int, **changes: Any) -> Arrival:
    """Return the arrival of a request at a target that serves it."""
    fields: dict[str, Any] = {
        'request_id': f'r{number}',
        'target': 't1-g1',
        'at': FAULT_FREE_FROM_S + 5,
    }
    return Arrival(**{**fields, **changes})

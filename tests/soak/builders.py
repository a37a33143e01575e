"""Evidence of soaks in which all is well, to be spoilt by tests."""

from typing import Any

import msgspec

from soak.evidence import Call, Evidence, Order, OrderKind, Run

CALM_FROM = 20.0
ENDED_AT = 32.0


def call(number: int, **changes: Any) -> Call:
    """Return a served request that is sent when all is calm."""
    fields: dict[str, Any] = {
        'request_id': f'r{number}',
        'instance': 'entry-a',
        'path': f'/publish/{number}',
        'once': True,
        'sent_at': CALM_FROM + 5,
        'ended_at': CALM_FROM + 5.1,
        'status': 200,
    }
    return Call(**{**fields, **changes})


def run(number: int, **changes: Any) -> Run:
    """Return the run of the request with the same number."""
    fields: dict[str, Any] = {
        'request_id': f'r{number}',
        'target': 't1',
        'service': 'publisher',
        'domain': 'north-a',
        'method': 'POST',
        'path': f'/publish/{number}',
        'at': CALM_FROM + 5,
    }
    return Run(**{**fields, **changes})


def order(kind: OrderKind, **changes: Any) -> Order:
    """Return an order that is acknowledged."""
    fields: dict[str, Any] = {
        'kind': kind,
        'control': 'control-a',
        'sent_at': 1.0,
        'ended_at': 1.1,
        'status': 200,
        'version': 1,
    }
    return Order(**{**fields, **changes})


def evidence() -> Evidence:
    """Return evidence without any violation."""
    return Evidence(
        runs=[run(number) for number in range(40)],
        calls=[call(number) for number in range(40)],
        orders=[
            order(OrderKind.configure),
            order(OrderKind.read, sent_at=CALM_FROM + 1),
        ],
        fault_free_from=CALM_FROM,
        ended_at=ENDED_AT,
    )


def changed(one: Call, **changes: Any) -> Call:
    """Return a request with other fields."""
    return msgspec.structs.replace(one, **changes)

"""Measures how long requests with keys take to authenticate, and the memory.

The targets are 5 us a request and 20 MB with 10,000 workspaces and 30,000
keys.
"""

import random
import secrets
import time
import tracemalloc

import msgspec

from cuminhoist.gateway.authentication import Authenticator
from cuminhoist.gateway.request_state import RequestState, RoutingState
from cuminhoist.gateway.routes import Route, RouteTable
from cuminhoist.gateway.wire import IncomingRequest
from cuminhoist.platform.configuration import decode_routes
from cuminhoist.platform.requests import PlatformWire

KEYS_PER_WORKSPACE = 3
REQUESTS = 20000
_HOST = 'shop.example'


class AuthenticationCost(msgspec.Struct, frozen=True):
    """Cost of one size of the configuration.

    :param find_us: time of a lookup of a key, in microseconds.
    :param request_us: time to authenticate a request, which removes the key
        from its headers, in microseconds.
    :param confirm_us: time to authenticate it again, unchanged, in
        microseconds.
    :param table_mb: memory of the configuration in force, in megabytes.
    :param decode_s: time to decode the configuration, in seconds.
    :param decode_peak_mb: most memory while it is decoded, in megabytes.
    """

    workspaces: int
    keys: int
    find_us: float
    request_us: float
    confirm_us: float
    table_mb: float
    decode_s: float
    decode_peak_mb: float


def measure(workspaces: int) -> AuthenticationCost:
    """Measure requests of callers of all workspaces in random order.

    :param workspaces: number of workspaces.
    """
    api_keys = [
        secrets.token_urlsafe(24)
        for _ in range(workspaces * KEYS_PER_WORKSPACE)
    ]
    body = _configuration(workspaces, api_keys)
    started = time.perf_counter()
    decode_routes(body).unwrap()
    decode_s = time.perf_counter() - started
    tracemalloc.start()
    routes = decode_routes(body).unwrap()
    table_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sent_keys = random.Random(1).choices(api_keys, k=REQUESTS)  # noqa: S311
    request_us, confirm_us = _request_us(routes, sent_keys)
    return AuthenticationCost(
        workspaces,
        len(api_keys),
        _find_us(routes, sent_keys),
        request_us,
        confirm_us,
        round(table_bytes / 1e6, 1),
        round(decode_s, 3),
        round(peak_bytes / 1e6, 1),
    )


def _configuration(workspaces: int, api_keys: list[str]) -> bytes:
    path = {
        'name': 'r',
        'path_prefix': '/',
        'type': 'safe',
        'timeout_ms': 1000,
        'backend': 'svc',
    }
    entries = [
        {
            'name': f'workspace-{number}',
            'api_keys': api_keys[number::workspaces],
            'rate_per_s': 10,
            'burst': 20,
        }
        for number in range(workspaces)
    ]
    return msgspec.json.encode(
        {
            'version': 'r1',
            'services': [{'name': 'svc'}],
            'hosts': [{'hostname': _HOST, 'paths': [path]}],
            'tenants': entries,
        }
    )


def _find_us(routes: RouteTable, sent_keys: list[str]) -> float:
    table = routes.workspaces
    if table is None:
        return 0
    started = time.perf_counter()
    for api_key in sent_keys:
        table.find(api_key)
    return _mean_us(started)


def _request_us(
    routes: RouteTable, sent_keys: list[str]
) -> tuple[float, float]:
    """Return the times of the first and of a further authentication."""
    authenticator = Authenticator(PlatformWire(), RoutingState(routes=routes))
    route = routes.find(_HOST, '/x')
    if route is None:
        return 0, 0
    states = [_request(api_key, route) for api_key in sent_keys]
    started = time.perf_counter()
    for arrived in states:
        authenticator.authenticate(arrived, relayed=False)
    request_us = _mean_us(started)
    started = time.perf_counter()
    for waiting in states:
        authenticator.confirm(waiting)
    return request_us, _mean_us(started)


def _request(api_key: str, route: Route) -> RequestState:
    req = IncomingRequest(
        request_id='id1',
        method='GET',
        host=_HOST,
        path='/x',
        request_target=b'/x',
        key='',
        left_s=1.0,
        headers=[
            (b'host', _HOST.encode()),
            (b'authorization', b'Bearer %b' % api_key.encode()),
            *((b'x-header-%d' % number, b'text') for number in range(6)),
        ],
        has_body=False,
        chunked=False,
        api_key=api_key,
    )
    return RequestState(req, route, 'svc')


def _mean_us(started: float) -> float:
    return round((time.perf_counter() - started) / REQUESTS * 1e6, 2)


def main() -> tuple[AuthenticationCost, ...]:
    """Return the cost with a hundred and with ten thousand workspaces."""
    return measure(100), measure(10000)


if __name__ == '__main__':
    print(msgspec.json.encode(main()).decode())  # noqa: WPS421

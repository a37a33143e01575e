"""Operators that configure, drain domains and read the configuration."""

import asyncio
import itertools
import random
import time
from typing import Any

import httpx

from .callers import HOST
from .checks import ROUTE_TIMEOUT_S
from .evidence import Evidence, Order, OrderKind
from .processes import OPERATORS_PORT, Instance

#: Time that an instance has to answer an order, in seconds.
ORDER_TIMEOUT_S = 1.0
#: Time for which an unanswered order is retried, in seconds.
ORDER_RETRY_S = 8.0
#: Pause between two reads of the configuration, in seconds.
READ_PAUSE_S = 0.5
_OK = 200
_MIN_CLIENT_ERROR = 400
_MIN_SERVER_ERROR = 500


def configuration(version: int) -> dict[str, Any]:
    """Return a valid configuration.

    :param version: number of its version; the objective varies with it.
    """
    common = {
        'timeout_ms': ROUTE_TIMEOUT_S * 1000,
        'aim_ms': 200 + version % 7,
        'priority': 1,
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
    }
    return {
        'version': f'r{version}',
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 100,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0,
                'cold_per_s': 0,
            }
            for name in ('catalogue', 'publisher')
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 1_000_000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'hosts': [
            {
                'hostname': HOST,
                'paths': [
                    {
                        'name': 'browse',
                        'path_prefix': '/browse/',
                        'type': 'safe',
                        'backend': 'catalogue',
                        **common,
                    },
                    {
                        'name': 'publish',
                        'path_prefix': '/publish/',
                        'type': 'unsafe',
                        'backend': 'publisher',
                        **common,
                    },
                ],
            },
        ],
    }


class Operator:
    """Sends orders to control instances and records the answers.

    :param controls: the control instances.
    :param evidence: gets a record of each order.
    :param rng: source of its random choices.
    """

    def __init__(
        self,
        controls: list[Instance],
        evidence: Evidence,
        rng: random.Random,
    ) -> None:
        self._controls = controls
        self._evidence = evidence
        self._rng = rng
        self._versions = itertools.count(1)

    async def configure(self) -> bool:
        """Send the next configuration; tell whether it was acknowledged."""
        version = next(self._versions)
        body = configuration(version)
        return await self._send_until_answered(
            OrderKind.configure, body, version, ''
        )

    async def send_invalid(self) -> None:
        """Send a configuration that must be rejected as invalid."""
        body = configuration(10_000)
        # The routes name services that the configuration lacks.
        body['services'] = []
        await self._send_until_answered(OrderKind.invalid, body, 10_000, '')

    async def drain(self, domain: str, *, drained: bool) -> bool:
        """Drain or undrain a failure domain; tell whether it was acknowledged.

        :param domain: the failure domain.
        :param drained: whether to drain it; otherwise it is undrained.
        """
        kind = OrderKind.drain if drained else OrderKind.undrain
        return await self._send_until_answered(kind, None, 0, domain)

    async def run_reads(self) -> None:
        """Read the configuration until cancelled."""
        while True:
            control = self._rng.choice(self._controls)
            await self._send(control, OrderKind.read, None, 0, '')
            await asyncio.sleep(READ_PAUSE_S)

    async def _send_until_answered(
        self,
        kind: OrderKind,
        body: dict[str, Any] | None,
        version: int,
        domain: str,
    ) -> bool:
        """Retry an order at random controls; tell if it was acknowledged.

        A 5xx status or no answer leads to a retry; a 4xx status is final.
        """
        deadline = time.monotonic() + ORDER_RETRY_S
        while time.monotonic() < deadline:
            control = self._rng.choice(self._controls)
            order = await self._send(control, kind, body, version, domain)
            if _OK <= order.status < _MIN_SERVER_ERROR:
                return order.status < _MIN_CLIENT_ERROR
            await asyncio.sleep(0.1)
        return False

    async def _send(
        self,
        control: Instance,
        kind: OrderKind,
        body: dict[str, Any] | None,
        version: int,
        domain: str,
    ) -> Order:
        method, path = {
            OrderKind.read: ('GET', '/-/config'),
            OrderKind.configure: ('PUT', '/-/config'),
            OrderKind.invalid: ('PUT', '/-/config'),
            OrderKind.drain: ('POST', f'/-/evacuate/{domain}'),
            OrderKind.undrain: ('DELETE', f'/-/evacuate/{domain}'),
        }[kind]
        sent_at = time.monotonic()
        status = 0
        try:
            async with httpx.AsyncClient(
                timeout=ORDER_TIMEOUT_S,
                trust_env=False,
                verify=False,  # noqa: S501
            ) as client:
                url = f'http://{control.host}:{OPERATORS_PORT}{path}'
                answer = await client.request(method, url, json=body)
        except httpx.HTTPError:
            status = 0
        else:
            status = answer.status_code
            if kind is OrderKind.read and status == _OK:
                version = int(answer.json()['version'].removeprefix('r'))
        order = Order(
            kind=kind,
            control=control.name,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=status,
            version=version,
            domain=domain,
        )
        self._evidence.orders.append(order)
        return order

"""Operators that change the configuration, drain domains and read back."""

import asyncio
import itertools
import random
import time
from typing import Any

import httpx

from .callers import HOST
from .checks import TIMEOUT_S
from .evidence import Evidence, Order, OrderKind
from .processes import OPERATORS_PORT, Instance

#: An instance that does not answer within this is left, in seconds.
ORDER_S = 1.0
#: An order is sent again until it is answered, at most this long, seconds.
PERSIST_S = 8.0
#: Pause between reads of the configuration, in seconds.
READ_S = 0.5
_OK = 200
_FIRST_FAILURE = 400
_FIRST_SERVER_FAILURE = 500


def configuration(version: int) -> dict[str, Any]:
    """Return a valid configuration.

    :param version: its version.
    """
    common = {
        'timeout_ms': TIMEOUT_S * 1000,
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
    """Sends orders to control instances and notes the answers.

    :param controls: the control instances.
    :param evidence: takes the orders.
    :param rng: source of its choices.
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
        """Put the next configuration in force; tell whether it was taken."""
        version = next(self._versions)
        body = configuration(version)
        return await self._persist(OrderKind.configure, body, version, '')

    async def send_invalid(self) -> None:
        """Send a configuration that must be refused."""
        body = configuration(10_000)
        # Its routes name services that it does not have.
        body['services'] = []
        await self._persist(OrderKind.invalid, body, 10_000, '')

    async def drain(self, domain: str, *, drained: bool) -> bool:
        """Drain a failure domain, or take that back.

        :param domain: the failure domain.
        :param drained: whether it gets nothing from now on.
        """
        kind = OrderKind.drain if drained else OrderKind.undrain
        return await self._persist(kind, None, 0, domain)

    async def run_reads(self) -> None:
        """Read the configuration until cancelled."""
        while True:
            control = self._rng.choice(self._controls)
            await self._once(control, OrderKind.read, None, 0, '')
            await asyncio.sleep(READ_S)

    async def _persist(
        self,
        kind: OrderKind,
        body: dict[str, Any] | None,
        version: int,
        domain: str,
    ) -> bool:
        until = time.monotonic() + PERSIST_S
        while time.monotonic() < until:
            control = self._rng.choice(self._controls)
            order = await self._once(control, kind, body, version, domain)
            if _OK <= order.status < _FIRST_SERVER_FAILURE:
                return order.status < _FIRST_FAILURE
            await asyncio.sleep(0.1)
        return False

    async def _once(
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
                timeout=ORDER_S,
                trust_env=False,
                verify=False,  # noqa: S501
            ) as client:
                url = f'http://{control.host}:{OPERATORS_PORT}{path}'
                reply = await client.request(method, url, json=body)
        except httpx.HTTPError:
            status = 0
        else:
            status = reply.status_code
            if kind is OrderKind.read and status == _OK:
                version = int(reply.json()['version'].removeprefix('r'))
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

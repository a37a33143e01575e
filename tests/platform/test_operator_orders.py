"""Tests of operators' orders.

Those of late orders guard against one that is applied after a newer one: its
sender has given up, or it waited in the socket while the process stood still.
"""

import asyncio

import msgspec
import pytest
from returns.result import Failure, Success

from cuminhoist.fleet.control_instance import ControlInstance
from cuminhoist.fleet.operator_orders import Acknowledged, Undecided
from cuminhoist.gateway.routes import RouteTable
from cuminhoist.platform.apps import operators_app
from cuminhoist.register.declared_state import DeclaredState
from tests.fleet.builders import SOUTH_A, instance_config
from tests.register.builders import InlineDisk

pytestmark = pytest.mark.looptime


class _Operator:
    """Sends orders to a control instance that is the only voter."""

    def __init__(self, folder):
        config = msgspec.structs.replace(
            instance_config(), data_folder=str(folder), first_start=True
        )
        clock = asyncio.get_running_loop().time
        #: Time for which the process has stood still, in seconds.
        self.stood_still_s = 0
        self.control = ControlInstance(
            config,
            None,
            Failure,
            clock,
            stall_clock=lambda: clock() + self.stood_still_s,
        )
        self.control.replica._acceptor._disk = InlineDisk()
        self._app = operators_app(self.control.orders)
        self._tasks = [
            asyncio.create_task(self.control.replica.run_proposals()),
            asyncio.create_task(self.control.orders.stalls.run()),
        ]

    async def order(self, method, *, leaves_after_s=None):
        """Return the status of the answer to an order for a domain.

        :param leaves_after_s: when the sender closes the connection.
        """
        loop = asyncio.get_running_loop()
        gone = loop.create_future()
        if leaves_after_s is not None:
            loop.call_later(leaves_after_s, gone.set_result, None)
        statuses = []

        async def send(event):
            statuses.append(event.get('status'))

        scope = {
            'path': f'/-/evacuate/{SOUTH_A}',
            'method': method,
            'state': {'caller_disconnected': gone},
        }
        await self._app(scope, None, send)
        return statuses[0]

    @property
    def drained(self):
        """The drained domains."""
        return self.control.replica.latest_chosen.drained


async def test_order_whose_sender_has_left_is_not_applied(tmp_path):
    """Guards against the end of a drain that its sender has given up.

    The sender's close comes right behind the order, after both were held up
    on their way. Meanwhile a newer order started the drain again.
    """
    operator = _Operator(tmp_path)
    assert await operator.order('POST') == 200
    assert await operator.order('DELETE', leaves_after_s=0.07) == 503
    assert operator.drained == {SOUTH_A}


async def test_awaited_orders_are_applied(tmp_path):
    """Guards against an order, or a repetition, that is refused."""
    operator = _Operator(tmp_path)
    for method in ('POST', 'POST', 'DELETE', 'DELETE', 'POST'):
        assert await operator.order(method) == 200
    assert operator.drained == {SOUTH_A}


async def test_order_read_after_a_standstill_is_not_applied(tmp_path):
    """Guards against an order that waited in the socket of a frozen process.

    Its sender may have gone on, and a newer order may have been decided.
    """
    operator = _Operator(tmp_path)
    assert await operator.order('POST') == 200
    operator.stood_still_s = 4
    assert await operator.order('DELETE') == 503
    assert operator.drained == {SOUTH_A}
    await asyncio.sleep(1.5)
    assert await operator.order('DELETE') == 200


async def test_order_read_in_late_turns_is_not_applied(tmp_path):
    """Guards against an order that waited through several short standstills.

    It is accepted, read and handled in turns of their own, so that each of
    them may be too short to count.
    """
    operator = _Operator(tmp_path)
    assert await operator.order('POST') == 200
    for _ in range(3):
        operator.stood_still_s += 0.4
        await asyncio.sleep(0.1)
    assert await operator.order('DELETE') == 503
    assert operator.drained == {SOUTH_A}
    await asyncio.sleep(1.5)
    assert await operator.order('DELETE') == 200


async def test_turns_that_are_hardly_late_refuse_nothing(tmp_path):
    """Guards against orders that a slow machine never takes."""
    operator = _Operator(tmp_path)
    for _ in range(30):
        operator.stood_still_s += 0.09
        await asyncio.sleep(0.1)
    assert await operator.order('POST') == 200
    assert operator.drained == {SOUTH_A}


def _numbered_orders(folder):
    """Return the orders of an instance; a body is the version's number."""
    orders = _Operator(folder).control.orders
    orders._decode = lambda body: Success(
        RouteTable(version=int(body), hosts={}, services={})
    )
    return orders


async def test_version_zero_is_acknowledged_and_read_back(tmp_path):
    """Guards against a first configuration that is not held (CONFIG)."""
    orders = _numbered_orders(tmp_path)
    assert await orders.read_configuration() is None
    assert await orders.replace_configuration(b'0') == Acknowledged()
    assert await orders.read_configuration() == b'0'
    assert await orders.replace_configuration(b'1') == Acknowledged()
    assert await orders.replace_configuration(b'0') == Acknowledged()
    assert await orders.read_configuration() == b'1'


async def test_version_zero_that_was_dropped_is_not_acknowledged(
    tmp_path, monkeypatch
):
    """Guards against the reply of a proposer whose build drops version 0."""
    orders = _numbered_orders(tmp_path)

    async def submit(_order):
        return DeclaredState()

    monkeypatch.setattr(orders._replica, 'submit', submit)
    assert await orders.replace_configuration(b'0') == Undecided()

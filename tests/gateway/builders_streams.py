"""Sends requests over connections whose received bytes a test chooses."""

import asyncio
from collections.abc import Callable

from cuminhoist.fleet.instance_config import Address
from cuminhoist.gateway.answer_limits import AnswerLimits
from cuminhoist.gateway.attempt import AttemptOutcome, AttemptSender
from cuminhoist.gateway.bodies import RequestBody
from cuminhoist.gateway.pacing import LinkPacer
from cuminhoist.gateway.target_connections import (
    ConnectOutcome,
    TargetConnections,
)
from cuminhoist.gateway.wire import IncomingRequest, WireFormat
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.steering.targets import TargetEntry, TargetState
from tests.builders_answers import FedTransport, opened_connection

TARGET = TargetEntry(
    name='t0',
    service='svc',
    address=Address('127.0.0.1', 1),
    domain='z',
    slots=3,
    state=TargetState.ready,
)
#: Never reached: each answer ends, or its connection does.
TIMEOUT_S = 60.0

Play = Callable[[FedTransport], None]


class FedConnections(TargetConnections):
    """Keeps one connection, to which a test feeds what a target sends."""

    def __init__(self) -> None:
        super().__init__(_zero, LinkPacer(float('inf'), _zero))
        self.play: Play = _send_nothing
        self.kept: list[ConnectOutcome] = []
        self.transport: FedTransport | None = None

    async def acquire(self, target, left_s) -> ConnectOutcome:
        while self.kept:
            connected = self.kept.pop()
            if connected.conn.usable:
                return connected
        conn, self.transport = opened_connection()
        self.transport.on_write = self._answer
        return ConnectOutcome(conn)

    def release(self, target, exchange) -> None:
        self.kept.append(ConnectOutcome(exchange.conn, reused=True))

    def set_idle_timeout(self, target, idle_timeout_s) -> None:
        """Keep connections however long they are idle."""

    def _answer(self, _head: bytes) -> None:
        asyncio.get_running_loop().call_soon(self.play, self.transport)


async def attempt(
    connections: FedConnections,
    request_id: str,
    play: Play,
    wire: WireFormat | None = None,
) -> tuple[AttemptOutcome, bytes | None]:
    """Send a request and return its outcome and the whole body of its answer.

    The body is None if there is no answer, or none that is complete.

    :param connections: the connection to the target.
    :param request_id: id of the request.
    :param play: feeds what the target sends.
    """
    connections.play = play
    sender = AttemptSender(wire or PlatformWire(), connections)
    outcome = await sender.send(
        _request(request_id),
        RequestBody(_no_event, 0),
        TARGET,
        AnswerLimits.from_left(TIMEOUT_S, TIMEOUT_S),
    )
    if outcome.answer is None:
        return outcome, None
    body = outcome.answer.body
    if not outcome.answer.body_complete:
        try:
            while chunk := await outcome.answer.exchange.read():
                body += chunk
        except Exception:
            return outcome, None
    return outcome, body


def _request(request_id: str) -> IncomingRequest:
    return IncomingRequest(
        request_id=request_id,
        method='POST',
        host='shop.example',
        path='/a/x',
        request_target=b'/a/x',
        key='',
        left_s=None,
        headers=[(b'x-request-id', request_id.encode())],
        has_body=False,
        chunked=False,
    )


async def _no_event():
    raise AssertionError('the request has no body')


def _send_nothing(_transport: FedTransport) -> None:
    raise AssertionError('no answer is set')


def _zero() -> float:
    return 0

"""Forwards requests to other entry instances.

Each request is signed, and is sent once: a request that a peer may have run is
not sent again here. A refusal of the peer is told from an answer of a target
by a header.
"""

import msgspec
from returns.result import Failure, Result, Success

from .attempt_client import AttemptClient, target_outcome
from .attempts import Answer, Attempt, ForwardingError
from .clock import Clock, SystemClock
from .connection_pool import Address, ConnectionLimits, PoolTransport
from .exchange import Exchange
from .headers import HOP_HEADER, RAN_HEADER, REFUSAL_HEADER
from .hop_signing import Hop, HopRequest, HopSigner
from .problems import ProblemDetails, Refusal
from .settings import Instance
from .slots import SlotOutcome
from .types import Ran, Reason

#: Per peer; a request that would need another connection is refused.
MAX_PEER_CONNECTIONS = 512
MAX_IDLE_PEER_CONNECTIONS = 32
MAX_PROBLEM_BYTES = 64 * 1024

_REFUSAL_MARK = (REFUSAL_HEADER.encode(), b'1')
_NOT_RUN_MARK = (RAN_HEADER.encode(), Ran.not_run.encode())


class PeerClient:
    """Sends requests to other entry instances; does not retry.

    :param signer: signs the hop header.
    :param clock: source of time.
    """

    def __init__(self, signer: HopSigner, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self._signer = signer
        self._attempt_client = AttemptClient(
            PoolTransport(
                ConnectionLimits(
                    MAX_PEER_CONNECTIONS, MAX_IDLE_PEER_CONNECTIONS
                ),
                clock,
            ),
            clock,
            peer_outcome,
        )

    async def send(
        self,
        peer: Instance,
        route: HopRequest,
        origin: Hop,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the answer, or the peer's refusal.

        :param peer: entry instance that receives the request.
        :param route: method, ``/service/path?query`` and caller.
        :param origin: instance, domain and home region of the request.
        :param attempt: request to send; its path is replaced by that of the
            route.
        """
        header = self._signer.sign(route, peer.name, origin, attempt.timeout_s)
        signed = msgspec.structs.replace(
            attempt,
            path=f'/v1/services{route.path}',
            headers=[
                *attempt.headers,
                (HOP_HEADER.encode(), header.encode()),
            ],
        )
        address = Address(peer.host, peer.http_port)
        outcome = await self._attempt_client.send(address, signed)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            if _REFUSAL_MARK in answer.headers:
                return Failure(await _read_refusal(answer))
        return outcome

    def close_idle_connections(self, peer: Instance) -> None:
        """Close the idle connections to a peer that has left the deployment.

        :param peer: the peer.
        """
        self._attempt_client.transport.close_idle_connections(
            Address(peer.host, peer.http_port)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._attempt_client.close()


def peer_outcome(exchange: Exchange) -> SlotOutcome:
    """Return the outcome of an exchange with a peer.

    :param exchange: the exchange with the peer.
    """
    if _REFUSAL_MARK not in exchange.headers:
        return target_outcome(exchange)
    if _NOT_RUN_MARK in exchange.headers:
        return SlotOutcome.not_run
    return SlotOutcome.unknown


async def _read_refusal(answer: Answer) -> Refusal:
    # Whether the request ran is in the headers, in case the body is lost.
    ran = Ran.not_run if _NOT_RUN_MARK in answer.headers else Ran.unknown
    peer_lost = Refusal(ran=ran, reason=Reason.target_lost)
    try:
        body = await _read_problem(answer)
        problem = msgspec.json.decode(body, type=ProblemDetails)
    except (ForwardingError, msgspec.DecodeError, RecursionError):
        return peer_lost
    finally:
        answer.abort()
    return Refusal(
        ran=ran,
        reason=problem.reason,
        detail=problem.detail,
        plan=problem.plan,
        retry_after_ms=problem.retry_after_ms,
    )


async def _read_problem(answer: Answer) -> bytes:
    body = bytearray()
    async for chunk in answer.body:
        body += chunk
        if len(body) > MAX_PROBLEM_BYTES:
            break
    return bytes(body)


def origin_hop(instance: str, domain: str, region: str) -> Hop:
    """Return the hop of a request that has not been forwarded yet.

    :param instance: the instance that received it from the caller.
    :param domain: failure domain of that instance.
    :param region: home region of the request.
    """
    return Hop(instance, domain, region, '', 0, '')

"""Forwarding of requests to other entry instances."""

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

#: Connections to each peer; more requests than this are refused.
PEER_CONNECTIONS = 512
PEER_IDLE = 32
MAX_PROBLEM_BYTES = 64 * 1024

_MARKER = (REFUSAL_HEADER.encode(), b'1')
_NOT_RUN = (RAN_HEADER.encode(), Ran.not_run.encode())


class PeerClient:
    """Sends requests to other entry instances; never repeats one by itself.

    :param signer: signs the hop header.
    :param clock: source of time.
    """

    def __init__(self, signer: HopSigner, clock: Clock | None = None) -> None:
        clock = clock or SystemClock()
        self._signer = signer
        self._carrier = AttemptClient(
            PoolTransport(ConnectionLimits(PEER_CONNECTIONS, PEER_IDLE), clock),
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

        :param peer: where to send it.
        :param route: method, ``/service/path?query`` and caller.
        :param origin: gives origin, domain and region of the request.
        :param attempt: what to send; its path is taken from the route.
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
        outcome = await self._carrier.send(address, signed)
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            if _MARKER in answer.headers:
                return Failure(await _read_refusal(answer))
        return outcome

    def forget(self, peer: Instance) -> None:
        """Close the idle connections to a peer that has left.

        :param peer: the peer.
        """
        self._carrier.transport.close_idle_connections(
            Address(peer.host, peer.http_port)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._carrier.close()


def peer_outcome(exchange: Exchange) -> SlotOutcome:
    """Tell how an exchange with a peer ended.

    :param exchange: the exchange.
    """
    if _MARKER not in exchange.headers:
        return target_outcome(exchange)
    if _NOT_RUN in exchange.headers:
        return SlotOutcome.not_run
    return SlotOutcome.unknown


async def _read_refusal(answer: Answer) -> Refusal:
    # The head alone tells whether the request ran, should the body be lost.
    ran = Ran.not_run if _NOT_RUN in answer.headers else Ran.unknown
    lost = Refusal(ran=ran, reason=Reason.target_lost)
    try:
        body = await _read_problem(answer)
        problem = msgspec.json.decode(body, type=ProblemDetails)
    except (ForwardingError, msgspec.DecodeError):
        return lost
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
    """Return what a hop says about the origin of a request.

    :param instance: the instance that got it from the caller.
    :param domain: failure domain of that instance.
    :param region: home region of the request.
    """
    return Hop(instance, domain, region, '', 0, '')

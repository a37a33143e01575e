"""Sends single attempts of requests to targets."""

import abc
from collections.abc import Callable
from typing import Self

from returns.result import Failure, Result, Success

from .attempt_client import AttemptClient, is_shed
from .attempts import Answer, Attempt, Headers, IncompleteAnswerError
from .clock import Clock
from .connection_pool import Address, ConnectionLimits, PoolTransport
from .problems import Refusal
from .settings import Target
from .types import Ran, Reason

__all__ = [
    'Answer',
    'IncompleteAnswerError',
    'Attempt',
    'Headers',
    'HttpxTargetClient',
    'TargetClient',
]


class TargetClient(abc.ABC):
    """Sends attempts to targets; never sends one twice by itself."""

    @abc.abstractmethod
    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer, or a refusal.

        :param target: receiver of the attempt.
        :param attempt: the request to send.
        """


class HttpxTargetClient(TargetClient):
    """Sends attempts to targets over a pool of connections to each target.

    :param clock: source of time.
    :param on_close: called with the name of a target that closes an idle
        connection, which may be the first sign that it is leaving.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        on_close: Callable[[str], None] | None = None,
    ) -> None:
        self._attempt_client = AttemptClient(
            PoolTransport(ConnectionLimits(1, 1), clock, self._report_close),
            clock,
        )
        self._on_close = on_close
        self._addresses: dict[str, Address] = {}

    @classmethod
    def from_targets(
        cls,
        targets: tuple[Target, ...],
        clock: Clock | None = None,
    ) -> Self:
        """Build a client with the connection limits of some targets.

        :param targets: the targets.
        :param clock: source of time.
        """
        client = cls(clock)
        for target in targets:
            client.register_target(target)
        return client

    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer, or a refusal.

        :param target: receiver of the attempt.
        :param attempt: the request to send.
        """
        outcome = await self._attempt_client.send(
            self.register_target(target), attempt
        )
        if isinstance(outcome, Success):
            answer = outcome.unwrap()
            if is_shed(answer.status, answer.headers):
                answer.abort()
                return Failure(
                    Refusal(ran=Ran.not_run, reason=Reason.target_refused)
                )
        return outcome

    def register_target(self, target: Target) -> Address:
        """Return the address of a target; set the limits of a new address.

        :param target: the target.
        """
        address = self._addresses.get(target.name)
        if address is None or address != Address(target.host, target.port):
            address = Address(target.host, target.port)
            self._addresses[target.name] = address
            self._attempt_client.transport.apply_limits(
                address,
                ConnectionLimits(target.connections, target.slots),
            )
        return address

    def close_idle_connections(self, target: Target) -> None:
        """Close the idle connections to a target that has a new owner.

        :param target: the target.
        """
        self._attempt_client.transport.close_idle_connections(
            Address(target.host, target.port)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._attempt_client.close()

    def _report_close(self, address: Address) -> None:
        if self._on_close is not None:
            for name, known_address in self._addresses.items():
                if known_address == address:
                    self._on_close(name)

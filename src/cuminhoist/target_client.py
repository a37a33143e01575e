"""One attempt of a request at a target."""

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
    """Sends attempts to targets; never repeats one by itself."""

    @abc.abstractmethod
    async def send(
        self,
        target: Target,
        attempt: Attempt,
    ) -> Result[Answer, Refusal]:
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """


class HttpxTargetClient(TargetClient):
    """Sends attempts to targets over one pool of connections for each.

    :param clock: source of time.
    :param on_close: called with the name of a target that closes an idle
        connection, which may be the first sign that it leaves.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        on_close: Callable[[str], None] | None = None,
    ) -> None:
        self._carrier = AttemptClient(
            PoolTransport(ConnectionLimits(1, 1), clock, self._closed),
            clock,
        )
        self._on_close = on_close
        self._known: dict[str, Address] = {}

    @classmethod
    def from_targets(
        cls,
        targets: tuple[Target, ...],
        clock: Clock | None = None,
    ) -> Self:
        """Build a client that knows the limits of some targets.

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
        """Send one attempt and return the head of the answer.

        :param target: where to send it.
        :param attempt: what to send.
        """
        outcome = await self._carrier.send(
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
        """Return the address of a target and set its limits.

        :param target: the target.
        """
        address = self._known.get(target.name)
        if address is None or address != Address(target.host, target.port):
            address = Address(target.host, target.port)
            self._known[target.name] = address
            self._carrier.transport.apply_limits(
                address,
                ConnectionLimits(target.connections, target.slots),
            )
        return address

    def forget(self, target: Target) -> None:
        """Close the idle connections to a target that has another owner.

        :param target: the target.
        """
        self._carrier.transport.close_idle_connections(
            Address(target.host, target.port)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._carrier.close()

    def _closed(self, address: Address) -> None:
        if self._on_close is not None:
            for name, known in self._known.items():
                if known == address:
                    self._on_close(name)

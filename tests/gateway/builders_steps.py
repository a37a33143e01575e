"""Targets that send their answers in steps, and callers of several requests."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from tests.builders_pipelining import PipeliningCaller

from .builders import (
    HOST,
    GatewayHarness,
    ScriptedTarget,
    answer,
    gateway,
    header,
)

#: A link so slow that answers are passed on from 5,000 bytes on.
LINK_BYTES_PER_S = 250_000
#: Time limit of the route, in seconds.
TIMEOUT_S = 1.0
#: A body that is passed on before it is complete.
BODY = bytes(range(256)) * 120
#: The end of a step that sends nothing any more, but keeps the connection.
STALL = None

#: Seconds before a step, and how many bytes of head and body have been sent
#: after it; all of them, or none more and the connection is closed.
Step = tuple[float, int | None]
ALL = -1


class StepTarget(ScriptedTarget):
    """Sends the answer to each path in steps; those to others at once.

    :param steps: the steps by path. Without a last one that sends all, the
        connection is closed after them, or kept if it is ``STALL``.
    :param body: body of the answers that are sent in steps.
    """

    def __init__(
        self, steps: dict[str, list[Step]], body: bytes = BODY
    ) -> None:
        super().__init__(answer)
        self._steps = steps
        self._body = body

    @property
    def paths(self) -> list[str]:
        """Paths of the requests that have arrived."""
        return [head.split(b' ')[1].decode() for head in self.heads]

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                steps = self._steps.get(head.split(b' ')[1].decode())
                if steps is None:
                    writer.write(answer(head))
                elif not await self._send(reader, writer, head, steps):
                    break
        self.closed_connections += 1
        writer.close()

    async def _send(self, reader, writer, head, steps) -> bool:
        """Send an answer; return whether the connection goes on."""
        encoded = answer(head, self._body)
        start = len(encoded) - len(self._body)
        sent = 0
        for delay_s, size in steps:
            closed = asyncio.ensure_future(reader.read(1))
            await asyncio.wait((closed,), timeout=delay_s)
            if closed.done():
                return False
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)
            if size is STALL:
                await reader.read()
                return False
            end = len(encoded) if size == ALL else start + size
            writer.write(encoded[sent:end])
            sent = end
        return sent == len(encoded)


class SafeCaller(PipeliningCaller):
    """A caller of requests that may be repeated."""

    def request(self, *numbers: int) -> None:
        """Send requests with these numbers as paths."""
        self.send(
            *(
                (
                    f'GET /a/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
                    f'X-Request-Id: id{number}\r\n\r\n'
                ).encode()
                for number in numbers
            )
        )

    async def read_status(self) -> tuple[int, bytes]:
        """Return the status and the body of the next answer."""
        head = await self.read_head()
        length = int(header(head, 'content-length'))
        async with asyncio.timeout(5):
            body = await self.reader.readexactly(length)
        return int(head.split(b' ')[1]), body

    async def read_answers(self, count: int) -> list[tuple[int, bytes]]:
        """Return so many answers, or fewer if the connection ends before."""
        answers = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while len(answers) < count:
                answers.append(await self.read_status())
        return answers


@contextlib.asynccontextmanager
async def slow_link(
    *targets: ScriptedTarget, **changes
) -> AsyncIterator[tuple[GatewayHarness, SafeCaller]]:
    """Run a gateway on a slow link by the time of the loop, and a caller.

    :param targets: its targets.
    :param changes: arguments of the gateway that differ from the defaults.
    """
    options = {
        'timeout_s': TIMEOUT_S,
        'link_bytes_per_s': LINK_BYTES_PER_S,
        'now': asyncio.get_running_loop().time,
        **changes,
    }
    async with gateway(*targets, **options) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        try:
            yield harness, SafeCaller(reader, writer)
        finally:
            writer.close()

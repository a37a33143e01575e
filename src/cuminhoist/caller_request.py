"""Requests of callers before and after their checks."""

from collections.abc import AsyncIterator

import msgspec

from .attempts import Attempt, OnEnd
from .entitlements import Entitlement
from .headers import Headers
from .hop_signing import Hop
from .settings import RequestKind, Service

#: A request can be retried while the body bytes read fit into this.
MAX_REPLAY_BYTES = 64 * 1024


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request as the HTTP layer read it.

    :param client_ip: IP address of the client; empty if unknown.
    :param deadline_s: time that the caller allows for the answer, in seconds;
        None if it sets no limit.
    :param hop: instance that forwarded it; None if it came from a caller.
    :param traceparent: trace context of the caller; empty for none.
    """

    service: str
    caller: str
    kind: str
    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    client_ip: str = ''
    deadline_s: float | None = None
    idempotency_key: str = ''
    hop: Hop | None = None
    traceparent: str = ''


class ReplayBody:
    """A body that a retry can send again while it is short.

    Bytes are buffered as they are sent, up to ``MAX_REPLAY_BYTES``.

    :param source: the caller's body; read only as far as it is sent.
    """

    def __init__(self, source: AsyncIterator[bytes]) -> None:
        self._source = source
        self._buffered: list[bytes] | None = []
        self._read_bytes = 0

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from its beginning."""
        return self._buffered is not None

    async def stream(self) -> AsyncIterator[bytes]:
        """Return the body from its beginning."""
        for chunk in self._buffered or ():
            yield chunk
        async for chunk in self._source:
            self._buffer(chunk)
            yield chunk

    def _buffer(self, chunk: bytes) -> None:
        self._read_bytes += len(chunk)
        if self._read_bytes > MAX_REPLAY_BYTES:
            self._buffered = None
        elif self._buffered is not None:
            self._buffered.append(chunk)


class CheckedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that its caller is entitled to send.

    :param entitlement: rate and weight of the caller at the service.
    :param deadline_at: monotonic time of its deadline.
    :param home_domain: home failure domain of the client.
    :param home_region: region of that failure domain.
    """

    req: CallerRequest
    service: Service
    kind: RequestKind
    entitlement: Entitlement
    deadline_at: float
    home_domain: str
    home_region: str
    body: ReplayBody

    def new_attempt(
        self, now: float, on_end: OnEnd, traceparent: str
    ) -> Attempt:
        """Return an attempt that sends the request from its beginning.

        :param now: monotonic time.
        :param on_end: called with the outcome of the attempt.
        :param traceparent: trace context to pass on.
        """
        return Attempt(
            self.req.method,
            self.req.path,
            self.req.headers,
            self.body.stream(),
            self.deadline_at - now,
            on_end=on_end,
            traceparent=traceparent,
        )

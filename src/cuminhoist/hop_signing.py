"""Signed headers of requests between entry instances."""

import base64
import collections
import hashlib
import hmac
import secrets
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock

#: Clocks of two instances may differ this much; a wider window only makes the
#: memory of nonces longer.
MAX_SKEW_S = 60.0
#: A hop cannot ask for more time than this.
MAX_HOP_S = 3600.0
MAX_NONCES = 500_000
_NONCE_BYTES = 12
_TAG_BYTES = 16
_FIELDS = 2
_MS = 1000


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Who forwarded a request.

    :param origin: the instance that got it from the caller.
    :param domain: failure domain of that instance.
    :param region: home region of the request.
    :param destination: the instance that it was sent to.
    :param expires_ms: Unix time after which the header is void.
    :param nonce: random text; a second use is refused.
    :param may_queue: whether the request may wait there for a slot.
    """

    origin: str
    domain: str
    region: str
    destination: str
    expires_ms: int
    nonce: str
    may_queue: bool = False


class HopRequest(msgspec.Struct, frozen=True, array_like=True):
    """The parts of a request that a hop header is bound to."""

    method: str
    path: str
    caller: str


class HopError(msgspec.Struct, frozen=True):
    """Why a hop header is not valid.

    :param forged: whether it was not made with the key of this cluster; the
        request is then a caller's, whatever its header says.
    """

    reason: str
    forged: bool


class HopSigner:
    """Makes and checks hop headers.

    :param cluster_key: secret shared by all instances of a cluster.
    :param instance: name of this instance.
    :param clock: source of time.
    :param nonce: source of random texts.
    """

    def __init__(
        self,
        cluster_key: str,
        instance: str,
        clock: Clock,
        nonce: Callable[[], str] | None = None,
    ) -> None:
        self._key = hashlib.blake2b(cluster_key.encode()).digest()
        self._instance = instance
        self._clock = clock
        self._nonce = nonce or _random_nonce
        self._seen: dict[str, float] = {}
        self._order: collections.deque[str] = collections.deque()

    def sign(
        self,
        route: HopRequest,
        destination: str,
        origin: Hop,
        timeout_s: float,
    ) -> str:
        """Return the header for a request to another instance.

        :param route: the request.
        :param destination: the instance that it is sent to.
        :param origin: gives origin, domain and region; the rest is replaced.
        :param timeout_s: time left until the deadline, in seconds.
        """
        hop = msgspec.structs.replace(
            origin,
            destination=destination,
            expires_ms=int((self._clock.wall() + timeout_s) * _MS),
            nonce=self._nonce(),
        )
        body = msgspec.json.encode(hop)
        return f'{_text(body)}.{_text(self._tag(body, route))}'

    def verify(self, header: str, route: HopRequest) -> Result[Hop, HopError]:
        """Return the hop of a request, or why its header is not valid.

        :param header: the header as received; may be forged.
        :param route: the request as received.
        """
        parts = header.split('.')
        if len(parts) != _FIELDS:
            return Failure(HopError('malformed', forged=True))
        body, tag = _bytes(parts[0]), _bytes(parts[1])
        if not hmac.compare_digest(tag, self._tag(body, route)):
            return Failure(HopError('wrong tag', forged=True))
        try:
            hop = msgspec.json.decode(body, type=Hop)
        except msgspec.DecodeError:
            return Failure(HopError('malformed', forged=True))
        return self._check_use(hop)

    def _check_use(self, hop: Hop) -> Result[Hop, HopError]:
        if hop.destination != self._instance:
            return Failure(HopError('sent to another instance', forged=False))
        left_s = hop.expires_ms / _MS - self._clock.wall()
        if not -MAX_SKEW_S < left_s < MAX_HOP_S + MAX_SKEW_S:
            return Failure(HopError('expired', forged=False))
        self._forget()
        if hop.nonce in self._seen:
            return Failure(HopError('used before', forged=False))
        if len(self._seen) >= MAX_NONCES:
            return Failure(HopError('too many hops', forged=False))
        self._seen[hop.nonce] = self._clock.now() + left_s + MAX_SKEW_S
        self._order.append(hop.nonce)
        return Success(hop)

    def _forget(self) -> None:
        # Deadlines differ, so the oldest nonce may hold back younger ones that
        # are void already; their number is bounded by MAX_NONCES.
        now = self._clock.now()
        while self._order and self._seen[self._order[0]] < now:
            self._seen.pop(self._order.popleft())

    def _tag(self, body: bytes, route: HopRequest) -> bytes:
        return hashlib.blake2b(
            msgspec.msgpack.encode((body, route)),
            key=self._key,
            digest_size=_TAG_BYTES,
            person=b'hop',
        ).digest()


def _random_nonce() -> str:
    return secrets.token_urlsafe(_NONCE_BYTES)


def _text(content: bytes) -> str:
    return base64.urlsafe_b64encode(content).decode()


def _bytes(text: str) -> bytes:
    try:
        content = base64.b64decode(text.encode(), altchars=b'-_', validate=True)
    except ValueError:
        return b''
    # Other texts decode to the same bytes; only one of them is accepted.
    return content if _text(content) == text else b''

"""Passes requests on through another entry instance.

An entry instance that reaches no target sends its callers' requests to one
that does. That instance places them and answers as if the caller had come to
it; it never relays them again.
"""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from ..exchange import Echo, Headers, RequestHead
from ..steering.targets import TargetEntry
from .answers import Send
from .attempt import AttemptOutcome, AttemptSender
from .authentication import Authenticator
from .bodies import Receive, RequestBody
from .request_state import RequestState
from .retry_policy import MIN_ATTEMPT_S
from .target_connections import TargetConnections
from .wire import (
    RELAYED_WORKSPACE,
    AnswerMetadata,
    IncomingRequest,
    WireFormat,
)

#: Address of the caller of a relayed request.
CALLER_HEADER = b'x-cuminhoist-relayed-for'
#: Workspace of a relayed request, in front of the address of its caller;
#: missing without one. The key itself stays at the relaying instance.
WORKSPACE_HEADER = b'x-cuminhoist-relayed-workspace'
#: Entry instances that one request is offered to.
MAX_PEERS = 3
#: Time for which an entry instance that did not serve a request is tried after
#: the others, in seconds.
AVOIDED_S = 1.0
#: Statuses of an entry instance's own refusals that promise that the request
#: has not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

App = Callable[[Any, Receive, Send], Awaitable[None]]
#: Returns the entry instances that may take a request, the nearest first, given
#: the regions in which it may run.
FindPeers = Callable[[frozenset[str]], list[TargetEntry]]


class RelayWire(WireFormat):
    """Format of requests and answers between entry instances.

    :param wire: format of requests and answers of targets.
    """

    def __init__(self, wire: WireFormat) -> None:
        self._wire = wire

    def decode_request(self, scope: Any) -> IncomingRequest:
        """Return the request of an ASGI scope.

        :param scope: the scope.
        """
        return self._wire.decode_request(scope)

    def identify(self, req: IncomingRequest, workspace: str) -> IncomingRequest:
        """Return a request without its key, as one of a workspace.

        :param req: the request.
        :param workspace: name of the workspace; empty for none.
        """
        return self._wire.identify(req, workspace)

    def encode_attempt(
        self, req: IncomingRequest, left_s: float, target_name: str
    ) -> RequestHead:
        """Return the head of a relayed request, with caller and workspace.

        :param req: the request.
        :param left_s: time left for it, in seconds.
        :param target_name: name of the entry instance.
        """
        head = self._wire.encode_attempt(req, left_s, target_name)
        headers = list(head.headers)
        if req.workspace:
            headers.append((WORKSPACE_HEADER, req.workspace.encode()))
        headers.append((CALLER_HEADER, req.caller.encode('latin-1')))
        return msgspec.structs.replace(head, headers=headers)

    def echoed_header(self, req: IncomingRequest) -> Echo | None:
        """Return the header that a target's answer repeats, or None.

        A refusal of the instance itself repeats none.

        :param req: the request.
        """
        echo = self._wire.echoed_header(req)
        return echo and msgspec.structs.replace(echo, required=False)

    def read_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what an answer tells; the target's notices concern others.

        :param status: HTTP status of the answer.
        :param headers: its headers, names in lower case.
        """
        metadata = self._wire.read_metadata(status, headers)
        refused = not metadata.stamped and status in _NOT_RUN_STATUSES
        return AnswerMetadata(
            not_run=refused,
            pause_s=metadata.pause_s if refused else 0,
            stamped=metadata.stamped,
            contradicts_itself=metadata.contradicts_itself,
        )

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets.

        :param headers: headers of the answer.
        """
        return self._wire.answer_headers(headers)


class Relay:
    """Sends requests of callers to other entry instances.

    :param wire: format of requests and answers of targets.
    :param connections: connections to entry instances.
    :param authenticator: authenticates requests again between attempts.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        wire: WireFormat,
        connections: TargetConnections,
        authenticator: Authenticator,
        now: Callable[[], float],
    ) -> None:
        self.find_peers: FindPeers = _no_peers
        self._sender = AttemptSender(RelayWire(wire), connections)
        self._authenticator = authenticator
        self._now = now
        self._avoided_until: dict[str, float] = {}

    async def send(
        self, state: RequestState, body: RequestBody
    ) -> AttemptOutcome | None:
        """Return the outcome at the last instance that was tried, if any.

        :param state: the request.
        :param body: its body.
        """
        outcome: AttemptOutcome | None = None
        for peer in self._peers(state.allowed_regions):
            left_s = state.ends_at - self._now()
            if left_s < MIN_ATTEMPT_S or not body.can_resend:
                break
            if self._authenticator.confirm(state) is not None:
                break
            state.mark_sent()
            outcome = await self._sender.send(
                state.req, body, peer, state.answer_limits(self._now())
            )
            state.may_have_run = state.may_have_run or outcome.may_have_run
            state.trail.append(
                f'relayed to {peer.name}: {outcome.ending} {outcome.detail}'
            )
            if outcome.answer is not None or outcome.may_have_run:
                break
            self._avoided_until[peer.name] = self._now() + AVOIDED_S
        return outcome

    def _peers(self, allowed_regions: frozenset[str]) -> list[TargetEntry]:
        now = self._now()
        peers = self.find_peers(allowed_regions)
        peers.sort(key=lambda peer: self._avoided_until.get(peer.name, 0) > now)
        return peers[:MAX_PEERS]


def relay_app(serve: App) -> App:
    """Return the application that serves requests of other entry instances.

    :param serve: serves requests of callers.
    """

    async def answer(scope: Any, receive: Receive, send: Send) -> None:
        headers = list(scope['headers'])
        workspace = ''
        # The relaying instance has added the last one; others are the
        # caller's own.
        for index in reversed(range(len(headers))):
            name, caller = headers[index]
            if name == CALLER_HEADER:
                headers.pop(index)
                scope['client'] = (caller.decode('latin-1'), 0)
                workspace = _pop_workspace(headers, index - 1)
                break
        scope['headers'] = headers
        scope['state']['relayed'] = True
        scope['state'][RELAYED_WORKSPACE] = workspace
        await serve(scope, receive, send)

    return answer


def _pop_workspace(headers: Headers, index: int) -> str:
    """Return the workspace of a relayed request; empty for none.

    Only the header directly in front of the caller's address is the relaying
    instance's own. A caller can't place one there, as each instance adds its
    headers behind all of the caller's.

    :param headers: headers of the request; the workspace is removed.
    :param index: where the workspace is, if there is one.
    """
    if index < 0 or headers[index][0] != WORKSPACE_HEADER:
        return ''
    return headers.pop(index)[1].decode('utf-8', 'surrogateescape')


def _no_peers(_allowed_regions: frozenset[str]) -> list[TargetEntry]:
    return []

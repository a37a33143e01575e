"""Interface for the headers of requests and answers in a deployment.

The platform implements it, so that the gateway names no header.
"""

import abc
from typing import Any

import msgspec

from ..exchange import Echo, Headers, RequestHead
from ..steering.target_load import TargetLoad


#: Field of the state of an ASGI scope with the workspace of a relayed request,
#: as the relaying entry instance found it; empty for none.
RELAYED_WORKSPACE = 'relayed_workspace'


class IncomingRequest(msgspec.Struct, frozen=True):
    """A request of a caller, decoded.

    :param request_id: identity that the caller gave to this attempt.
    :param caller: IP address of the caller; empty if it is unknown.
    :param host: canonical name of the host; empty if it is missing or
        malformed.
    :param path: path without the query, as the caller sent it.
    :param request_target: path and query as the caller sent them.
    :param key: identity of the object that the request is about, or empty.
    :param left_s: time that the caller waits, in seconds; None if it did not
        send it.
    :param headers: headers that are passed on to the target.
    :param has_body: whether a body follows.
    :param body_bytes: declared length of the body, in bytes; None if it is
        framed as chunks.
    :param chunked: whether the body is framed as chunks.
    :param api_key: key of the caller's workspace; empty for none.
    :param workspace: name of the workspace once it is known; the target gets
        it instead of the key. Known from the start if another entry instance
        has relayed the request.
    """

    request_id: str
    method: str
    host: str
    path: str
    request_target: bytes
    key: str
    left_s: float | None
    headers: Headers
    has_body: bool
    chunked: bool
    body_bytes: int | None = None
    caller: str = ''
    api_key: str = ''
    workspace: str = ''


class AnswerMetadata(msgspec.Struct, frozen=True):
    """What the headers of an answer tell about the target.

    :param not_run: whether the target states that it did not run the
        request.
    :param misdirected: whether another target has the address now.
    :param load: load of the target; None if the answer does not tell.
    :param odd_load: the text of a load header that can't be parsed, for the
        log; empty otherwise.
    :param closes_connection: whether the target closes the connection.
    :param target_leaving: whether the target is about to stop and must not
        get new requests.
    :param pause_s: how long this instance shall send it no requests, in
        seconds; 0 if the answer does not ask for a pause.
    :param odd_pause: the text of a pause that is ignored or bounded, for the
        log; empty otherwise.
    :param limit_per_s: requests per second that the target takes from all
        instances together; infinite if it names no limit.
    :param idle_timeout_s: how long the target keeps an idle connection, in
        seconds; None if the answer does not tell.
    :param stamped: whether the target marked the answer as its own.
    :param contradicts_itself: whether the answer says of the same thing more
        than once or in two ways, so that it may have been read from two
        answers.
    """

    not_run: bool = False
    misdirected: bool = False
    load: TargetLoad | None = None
    closes_connection: bool = False
    target_leaving: bool = False
    pause_s: float = 0
    odd_pause: str = ''
    limit_per_s: float = float('inf')
    idle_timeout_s: float | None = None
    stamped: bool = True
    odd_load: str = ''
    contradicts_itself: bool = False


class WireFormat(abc.ABC):
    """Decodes requests and answers, and encodes attempts at targets."""

    @abc.abstractmethod
    def decode_request(self, scope: Any) -> IncomingRequest:
        """Return the request of an ASGI scope.

        :param scope: the scope.
        """

    @abc.abstractmethod
    def identify(self, req: IncomingRequest, workspace: str) -> IncomingRequest:
        """Return a request without its key, as one of a workspace.

        :param req: the request.
        :param workspace: name of the workspace; empty for none.
        """

    @abc.abstractmethod
    def encode_attempt(
        self,
        req: IncomingRequest,
        left_s: float,
        target_name: str,
    ) -> RequestHead:
        """Return the request head of an attempt at a target.

        :param req: the request.
        :param left_s: time left for the attempt, in seconds.
        :param target_name: identity of the target that must answer.
        """

    @abc.abstractmethod
    def echoed_header(self, req: IncomingRequest) -> Echo | None:
        """Return the header that the answer must repeat, or None.

        :param req: the request.
        """

    @abc.abstractmethod
    def read_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what the headers of an answer tell about the target.

        :param status: HTTP status of the answer.
        :param headers: its headers, names in lower case.
        """

    @abc.abstractmethod
    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets.

        :param headers: headers of the target's answer.
        """

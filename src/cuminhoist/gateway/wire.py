"""How requests and answers look on the wire of a deployment."""

import abc
from typing import Any

import msgspec

from ..exchange import Headers, RequestHead


class IncomingRequest(msgspec.Struct, frozen=True):
    """A request of a caller, decoded.

    :param request_id: identity of this attempt of the caller.
    :param host: name of the host, without a port.
    :param path: path without the query, as the caller sent it.
    :param request_target: path and query as the caller sent them.
    :param key: identity of the object that the request is about, or empty.
    :param left_s: time that the caller waits, in seconds; None if it does
        not say.
    :param headers: what is passed on.
    :param has_body: whether a body follows.
    :param chunked: whether the body is framed as chunks.
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


class AnswerMetadata(msgspec.Struct, frozen=True):
    """What a target says of itself beside its answer.

    :param not_run: whether the target states that it did not run the
        request.
    :param misdirected: whether another target has the address.
    :param has_free_slots: whether it states that it has free slots; None if it
        does not say.
    :param leaving: whether it closes the connection.
    :param idle_s: how long it keeps an idle connection; None if not said.
    """

    not_run: bool = False
    misdirected: bool = False
    has_free_slots: bool | None = None
    leaving: bool = False
    idle_s: float | None = None


class WireFormat(abc.ABC):
    """Decodes requests and answers, and encodes what is passed on."""

    @abc.abstractmethod
    def decode_request(self, scope: Any) -> IncomingRequest:
        """Return the request of an ASGI scope.

        :param scope: the scope.
        """

    @abc.abstractmethod
    def encode_attempt(
        self,
        req: IncomingRequest,
        left_s: float,
        target_name: str,
    ) -> RequestHead:
        """Return the head of an attempt at a target.

        :param req: the request.
        :param left_s: time that the target may take, in seconds.
        :param target_name: identity of the target that must answer.
        """

    @abc.abstractmethod
    def echoed_header(self, req: IncomingRequest) -> tuple[bytes, bytes] | None:
        """Return the header that the answer to a request repeats.

        :param req: the request.
        """

    @abc.abstractmethod
    def read_metadata(self, status: int, headers: Headers) -> AnswerMetadata:
        """Return what a target says beside its answer.

        :param status: status of the answer.
        :param headers: its headers, names in lower case.
        """

    @abc.abstractmethod
    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that the caller gets.

        :param headers: those of the target.
        """

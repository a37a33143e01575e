"""Orders the unanswered requests of one caller's connection."""

import collections
import itertools

from .pipelined_request import PipelinedRequest
from .withdrawals import Withdrawal, WithdrawalCause


class RequestPipeline:
    """Decides which requests may run, and whose answer may be sent.

    Idempotent requests overlap. One that may run at most once waits until
    those before it are answered, because an answer before it may end the
    connection and it must not have run then. Those behind it wait for it,
    because they may depend on its effect.

    None starts behind an answer that has begun to be sent but has not arrived
    from its target to its end, because it may end the connection.
    """

    def __init__(self) -> None:
        self._requests: collections.deque[PipelinedRequest] = (
            collections.deque()
        )
        #: Whether no further request starts behind the first one.
        self._held = False

    def __len__(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._requests)

    def __contains__(self, req: PipelinedRequest) -> bool:
        """Tell whether a request is unanswered and not withdrawn.

        :param req: the request.
        """
        return req in self._requests

    @property
    def last(self) -> PipelinedRequest | None:
        """The unanswered request that was read last, if there is one."""
        return self._requests[-1] if self._requests else None

    @property
    def body_bytes(self) -> int:
        """Body bytes of all unanswered requests."""
        return sum(req.body_bytes for req in self._requests)

    @property
    def kept_bytes(self) -> int:
        """What is kept for all unanswered requests beside their bodies."""
        return sum(req.kept_bytes for req in self._requests)

    def add(self, req: PipelinedRequest) -> None:
        """Add a request that was read behind the others.

        :param req: the request.
        """
        self._requests.append(req)
        self._update()

    def declare(self, req: PipelinedRequest, overlaps: bool) -> None:
        """Note whether a request may run beside others.

        :param req: the request.
        :param overlaps: whether it may.
        """
        req.overlaps = overlaps
        self._update()

    def is_first(self, req: PipelinedRequest) -> bool:
        """Tell whether it is this request's turn.

        :param req: the request.
        """
        return bool(self._requests) and self._requests[0] is req

    def complete(self, req: PipelinedRequest) -> None:
        """Remove the first request, whose answer is complete.

        :param req: the request.
        """
        if self.is_first(req):
            self._requests.popleft()
            self._held = False
            self._update()

    def has_started_behind(self, req: PipelinedRequest) -> bool:
        """Tell whether any request behind one was allowed to start.

        :param req: the request.
        """
        later = itertools.dropwhile(
            lambda other: other is not req, self._requests
        )
        return any(other.may_start for other in later if other is not req)

    def hold_behind(self, req: PipelinedRequest) -> None:
        """Let no further request behind the first one start.

        :param req: the first request; nothing happens for another one.
        """
        self._held = self._held or self.is_first(req)

    def release_behind(self, req: PipelinedRequest) -> None:
        """Let requests behind the first one start again.

        :param req: the first request; nothing happens for another one.
        """
        if self._held and self.is_first(req):
            self._held = False
            self._update()

    def withdraw_after(
        self, req: PipelinedRequest, cause: WithdrawalCause
    ) -> None:
        """Cancel the requests behind one.

        :param req: the request; it stays.
        :param cause: what happens to its answer.
        """
        withdrawal = Withdrawal(cause, req.place.number)
        while req in self._requests and self._requests[-1] is not req:
            self._requests.pop().withdraw(withdrawal)

    def withdraw_from(self, req: PipelinedRequest) -> None:
        """Cancel a request whose answer is cut, and those behind it.

        :param req: the request.
        """
        if req in self._requests:
            self.withdraw_after(req, WithdrawalCause.cut_answer)
            self._requests.pop().withdraw(
                Withdrawal(WithdrawalCause.cut_answer, req.place.number)
            )

    def withdraw_all(self, cause: WithdrawalCause) -> None:
        """Cancel all requests.

        :param cause: why the connection ends.
        """
        while self._requests:
            self._requests.pop().withdraw(Withdrawal(cause))

    def _update(self) -> None:
        if self._requests:
            self._requests[0].allow_start()
            self._requests[0].give_turn()
        for index, req in enumerate(self._requests):
            if not req.overlaps or (index and self._held):
                break
            req.allow_start()

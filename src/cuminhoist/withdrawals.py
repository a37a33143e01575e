"""Says why requests of callers are withdrawn before they are answered."""

import enum

import msgspec


class WithdrawalCause(enum.StrEnum):
    """Why the answer to a request is not needed any more."""

    disconnected = 'caller-disconnected'
    #: An answer before it was cut, or its own was.
    cut_answer = 'answer-cut'
    #: The connection closes after an answer before it, or in a stop.
    closing = 'connection-closes'
    #: The connection was closed because memory for callers is short.
    memory = 'memory-full'


class Withdrawal(msgspec.Struct, frozen=True):
    """Why one request was withdrawn.

    :param cause: what happened.
    :param by_request: number on the connection of the request whose answer
        was cut or closes the connection; 0 if it was no answer.
    """

    cause: WithdrawalCause
    by_request: int = 0

"""Chooses the next voters when instances ask to join.

A new instance takes a silent voter's place where possible, so that the quorum
does not grow with each replaced instance.
"""

from collections.abc import Sequence

from .declared_state import Voter

#: Upper limit of voters; nine tolerate the failure of any four.
MAX_VOTERS = 9


def next_voters(
    voters: tuple[Voter, ...],
    joining: Sequence[Voter],
    silent: Sequence[Voter],
) -> tuple[Voter, ...]:
    """Return the voters after the joining instances have been added.

    An instance that has lost its disk replaces the voter of its host. Any
    other instance replaces a silent voter, or is added if none is silent and
    the limit permits.

    :param voters: the present voters.
    :param joining: instances that ask to become voters.
    :param silent: voters that may be replaced.
    """
    updated = set(voters)
    replaceable = list(silent)
    for voter in joining:
        same_host = [
            other
            for other in updated
            if other.address.host == voter.address.host
        ]
        if same_host:
            updated -= set(same_host)
            replaceable = [
                other for other in replaceable if other not in same_host
            ]
        elif replaceable:
            updated.discard(replaceable.pop(0))
        if len(updated) < MAX_VOTERS:
            updated.add(voter)
    return tuple(sorted(updated))

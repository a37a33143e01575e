"""Who holds the declared state after instances come and go."""

from collections.abc import Sequence

from .declared_state import Voter

#: Voters at most: a majority of nine outlives any four.
MAX_VOTERS = 9


def next_voters(
    voters: tuple[Voter, ...],
    joining: Sequence[Voter],
    silent: Sequence[Voter],
) -> tuple[Voter, ...]:
    """Return the voters after some instances have joined.

    An instance that has lost its disk takes its own former place. Another
    new instance takes the place of a silent voter, or a place of its own.

    :param voters: the present voters.
    :param joining: instances that ask for a vote.
    :param silent: voters that may be replaced.
    """
    chosen = set(voters)
    replaceable = list(silent)
    for voter in joining:
        former = [
            other
            for other in chosen
            if other.address.host == voter.address.host
        ]
        if former:
            chosen -= set(former)
            replaceable = [
                other for other in replaceable if other not in former
            ]
        elif replaceable:
            chosen.discard(replaceable.pop(0))
        if len(chosen) < MAX_VOTERS:
            chosen.add(voter)
    return tuple(sorted(chosen))

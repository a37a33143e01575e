"""Divides the allowances of workspaces among regions.

Each region starts with an equal share of each allowance. A region gives a
part of its share to another one that asks for it. Each region counts all that
it has ever given to each other region; its share is the equal one plus all
that it has been given minus all that it gave. Only the dispatcher of a region
raises its counters, and a share is deducted before it is sent, so the shares
never sum to more than 1, whatever messages are lost, late or repeated and
whichever regions are in contact.
"""

from collections.abc import Iterable, Mapping

import msgspec

#: The whole of an allowance, in parts. Whole numbers keep sums exact; all
#: usual numbers of regions divide this one.
WHOLE = 27720


class ShareTransfer(msgspec.Struct, frozen=True, array_like=True):
    """What a region has given to another one since the first configuration.

    :param given: all parts of the workspace's allowance given so far.
    :param former: all that had been given before the last transfer.
    :param tokens: tokens that belong to the last transfer.
    """

    workspace: str
    source: str
    receiver: str
    given: int
    former: int = 0
    tokens: float = 0


class ShareRequest(msgspec.Struct, frozen=True, array_like=True):
    """A region asks for a part of the others' shares.

    :param demand_per_s: requests of the workspace that arrive there, a second.
    :param share: its share, in parts.
    :param wanted: the share that it can use, in parts.
    """

    workspace: str
    region: str
    demand_per_s: float
    share: int
    wanted: int


class ShareLedger:
    """All transfers that an instance knows, and the shares that follow.

    :param regions: all regions of the deployment.
    """

    def __init__(self, regions: Iterable[str]) -> None:
        self.regions = frozenset(regions)
        self._given: dict[str, dict[tuple[str, str], int]] = {}

    def parts(self, workspace: str, region: str) -> int:
        """Return the share of a region, in parts of ``WHOLE``.

        Two instances that both take themselves for the dispatcher of a region
        may give more than its share. All other shares then count less, so
        that the sum is kept.

        :param workspace: name of the workspace.
        :param region: name of the region.
        """
        equal = WHOLE // len(self.regions)
        transfers = self._transfers(workspace)
        if not transfers:
            return equal
        parts = dict.fromkeys(self.regions, equal)
        for (source, receiver), given in transfers.items():
            parts[source] -= given
            parts[receiver] += given
        positive = sum(max(one, 0) for one in parts.values())
        return max(parts[region], 0) * WHOLE // max(positive, WHOLE)

    def give(
        self, workspace: str, source: str, receiver: str, parts: int
    ) -> ShareTransfer:
        """Deduct a part of a share; return the transfer to send.

        :param workspace: name of the workspace.
        :param source: region whose dispatcher gives the part.
        :param receiver: the region that gets it.
        :param parts: the part.
        """
        transfers = self._given.setdefault(workspace, {})
        former = transfers.get((source, receiver), 0)
        transfers[source, receiver] = former + parts
        return ShareTransfer(
            workspace, source, receiver, former + parts, former
        )

    def apply(self, transfer: ShareTransfer) -> bool:
        """Record a transfer; return whether it is new.

        :param transfer: the transfer.
        """
        if not {transfer.source, transfer.receiver} <= self.regions:
            return False
        transfers = self._given.setdefault(transfer.workspace, {})
        pair = (transfer.source, transfer.receiver)
        if transfer.given <= transfers.get(pair, 0):
            return False
        transfers[pair] = transfer.given
        return True

    def follows(self, transfer: ShareTransfer) -> bool:
        """Tell whether all transfers before this one are known.

        :param transfer: the transfer.
        """
        pair = (transfer.source, transfer.receiver)
        known = self._transfers(transfer.workspace).get(pair, 0)
        return known == transfer.former

    def in_force(self) -> tuple[ShareTransfer, ...]:
        """Return all transfers, for instances that may not know them."""
        return tuple(
            ShareTransfer(workspace, source, receiver, given, given)
            for workspace, transfers in self._given.items()
            for (source, receiver), given in transfers.items()
        )

    def workspaces(self) -> Iterable[str]:
        """Return the workspaces with transfers."""
        return self._given.keys()

    def _transfers(self, workspace: str) -> Mapping[tuple[str, str], int]:
        return self._given.get(workspace, {})


def parts_to_give(request: ShareRequest, own: int, own_demand: float) -> int:
    """Return which part of its share a region gives to another one.

    The two then hold shares in proportion to their demands, as far as the
    other one can use its share.

    :param request: request of the other region.
    :param own: share of this region, in parts.
    :param own_demand: requests of the workspace that arrive here, a second.
    """
    demand = request.demand_per_s + own_demand
    if demand <= 0:
        return 0
    both = request.share + own
    fair = int(both * request.demand_per_s / demand)
    return max(min(fair, request.wanted) - request.share, 0)

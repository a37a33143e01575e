"""Keeps the allowances of an entry instance that has no dispatcher.

It decides by its part of its region's share: all entry instances of the
region have the same part. Their dispatcher leaves out the parts of those that
are not linked to it.
"""

from collections.abc import Mapping

import msgspec

from .allowance_shares import WHOLE
from .allowance_sizes import Allowance, AllowanceSizes
from .allowances import Allowances
from .recent import RecentMax

#: Longest usual time between two checks, in seconds. They are made ten times
#: a second, and later where the processor is short.
CHECK_INTERVAL_S = 0.25


class RegionShares(msgspec.Struct, frozen=True, array_like=True):
    """Shares of one region, or their changes.

    :param parts: shares in parts of ``WHOLE``, by workspace.
    :param others: share of all other workspaces; None to keep what is known.
    """

    parts: dict[str, int]
    others: int | None = None


class LocalAllowances:
    """Allowances as one entry instance keeps them.

    :param sizes: computes the sizes of buckets.
    :param buckets: buckets of the local dispatcher.
    """

    def __init__(self, sizes: AllowanceSizes, buckets: Allowances) -> None:
        self._sizes = sizes
        self._buckets = buckets
        self._limits: Mapping[str, Allowance] = {}
        self._parts: dict[str, int] = {}
        self._other_parts = 0
        self._entry_counts = RecentMax(sizes.bounds.absent_s)
        self._entry_count = 1
        self._in_contact_at = float('-inf')
        self._is_cut_off = True

    def apply_limits(self, limits: Mapping[str, Allowance], now: float) -> None:
        """Put the limits of the configuration in force.

        :param limits: allowances of the workspaces that have a limit.
        :param now: monotonic time in seconds.
        """
        self._limits = limits
        self._resize(now)

    def apply_shares(self, shares: RegionShares, now: float) -> None:
        """Put the shares of the region in force.

        :param shares: the shares, all or those that have changed.
        :param now: monotonic time in seconds.
        """
        if shares.others is None:
            self._parts.update(shares.parts)
        else:
            self._parts = dict(shares.parts)
            self._other_parts = shares.others
        self._resize(now)

    def keep(self, entry_count: int, now: float, *, in_contact: bool) -> None:
        """Record that this process runs, and what it knows of the region.

        :param entry_count: entry instances of the region, at least 1.
        :param now: monotonic time in seconds.
        :param in_contact: whether a control instance that reaches a quorum
            has told this number of late. Without contact the dispatcher
            leaves out the part of this instance only for some time.
        """
        self._buckets.keep(now, CHECK_INTERVAL_S)
        if in_contact:
            self._in_contact_at = now
        silence_s = now - self._in_contact_at
        is_cut_off = silence_s > self._sizes.bounds.window_s
        entry_count = self._entry_counts.record(entry_count, now)
        if (entry_count, is_cut_off) != (self._entry_count, self._is_cut_off):
            self._entry_count = entry_count
            self._is_cut_off = is_cut_off
            self._resize(now)

    def _resize(self, now: float) -> None:
        self._buckets.set_sizes(
            {
                workspace: self._sizes.entry_size(
                    allowance,
                    self._parts.get(workspace, self._other_parts) / WHOLE,
                    self._entry_count,
                    cut_off=self._is_cut_off,
                )
                for workspace, allowance in self._limits.items()
            },
            now,
        )

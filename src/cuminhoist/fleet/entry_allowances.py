"""Allowances of an entry instance that decides without a dispatcher."""

from typing import Self

from ..gateway.routes import RouteTable
from ..steering.allowance_sizes import AllowanceSizes
from ..steering.allowances import Allowances
from ..steering.local_allowances import LocalAllowances
from .allowance_limits import allowances_of
from .instance_config import InstanceConfig
from .messages import View


class EntryAllowances:
    """Tells the local allowances what the control instances tell.

    :param local: allowances of the local dispatcher.
    """

    def __init__(self, local: LocalAllowances) -> None:
        self.local = local
        self._region_entry_count = 1

    @classmethod
    def from_config(cls, config: InstanceConfig, buckets: Allowances) -> Self:
        """Return the allowances of an entry instance without any limit.

        :param config: configuration of the instance.
        :param buckets: buckets of its local dispatcher.
        """
        regions = {config.region, *config.regions.values()}
        sizes = AllowanceSizes(len(regions), config.limits.allowance_bounds)
        return cls(LocalAllowances(sizes, buckets))

    def replace_routes(self, routes: RouteTable, now: float) -> None:
        """Put the limits of a configuration in force.

        :param routes: the routes.
        :param now: monotonic time in seconds.
        """
        self.local.apply_limits(allowances_of(routes), now)

    def keep(self, view: View | None, now: float) -> None:
        """Record that this process runs, and what it knows of its region.

        :param view: newest valid view of a control instance, if any.
        :param now: monotonic time in seconds.
        """
        if view is not None:
            self._region_entry_count = max(view.region_entries, 1)
        self.local.keep(
            self._region_entry_count,
            now,
            in_contact=view is not None and view.confirmed,
        )

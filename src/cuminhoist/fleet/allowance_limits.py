"""Allowances of workspaces, as the routes in force name them."""

import math

from ..gateway.routes import RouteTable
from ..steering.allowance_sizes import Allowance


def allowances_of(routes: RouteTable | None) -> dict[str, Allowance]:
    """Return the allowances of the workspaces that have a limit.

    :param routes: the routes in force; None before the first configuration.
    """
    if routes is None or routes.workspaces is None:
        return {}
    return {
        name: Allowance(workspace.rate_per_s, workspace.burst)
        for name, workspace in routes.workspaces.by_name.items()
        if math.isfinite(workspace.rate_per_s)
    }

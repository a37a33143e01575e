"""Regions that a configuration allows for the requests to each service."""

from collections.abc import Mapping

from .routes import RouteTable


def homes_by_service(
    table: RouteTable,
) -> Mapping[str, frozenset[frozenset[str]]]:
    """Return the sets of regions that may serve requests to each service.

    A set that stands for all regions is left out.

    :param table: routes and workspaces of a configuration.
    """
    by_service: dict[str, set[frozenset[str]]] = {}
    for routes in table.hosts.values():
        for route in routes:
            for weighted in route.weighted_services:
                by_service.setdefault(weighted.service, set()).add(
                    route.allowed_regions
                )
    by_workspace = {frozenset[str]()}
    if table.workspaces is not None:
        by_workspace.update(
            workspace.allowed_regions
            for workspace in table.workspaces.by_name.values()
        )
    return {
        service: frozenset(
            homes
            for by_route in sets
            for regions in by_workspace
            if (homes := _both(by_route, regions))
        )
        for service, sets in by_service.items()
    }


def _both(
    by_route: frozenset[str], by_workspace: frozenset[str]
) -> frozenset[str]:
    """Return the regions that both allow; empty sets stand for all regions.

    Without a common region the result is empty too; such requests are refused
    before they are placed.
    """
    if by_route and by_workspace:
        return by_route & by_workspace
    return by_route or by_workspace

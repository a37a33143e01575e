"""Tests of the regions that a configuration allows for each service.

They guard against homes of which no region reserves any slots.
"""

from cuminhoist.gateway.routes import RouteTable, WeightedService
from cuminhoist.gateway.service_homes import homes_by_service
from cuminhoist.gateway.workspaces import Workspace, WorkspaceTable

from .builders import route

NORTH, BOTH = frozenset(('north',)), frozenset(('north', 'west'))


def test_homes_of_routes_splits_and_workspaces():
    """Guards against a split or a workspace whose homes are left out."""
    split = (WeightedService('a', 1), WeightedService('b', 1))
    table = RouteTable(
        1,
        {
            'h': (
                route(weighted_services=split, allowed_regions=BOTH),
                route(weighted_services=(WeightedService('c', 1),)),
            )
        },
        {},
        workspaces=WorkspaceTable.from_keys(
            [
                (Workspace('w', allowed_regions=NORTH), ('k',)),
                (Workspace('x', allowed_regions=frozenset(('south',))), ('l',)),
                (Workspace('y'), ('m',)),
            ]
        ),
    )
    by_service = homes_by_service(table)
    assert by_service['a'] == by_service['b'] == {BOTH, NORTH}
    assert by_service['c'] == {NORTH, frozenset(('south',))}

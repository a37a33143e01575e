"""Global traffic steering across failure domains and regions.

The package exports what a program needs to validate the files of a deployment
and to run an instance. Other names are imported from their modules.
"""

from typing import TYPE_CHECKING, Any

from .config_model import (
    Accepted,
    Allowance,
    Allowances,
    Caller,
    Change,
    ChangeOutcome,
    Configuration,
    Conflict,
    Drain,
    Plan,
    Plans,
    Rejected,
    ShiftCap,
    Unavailable,
)
from .config_validation import (
    check_allowances,
    check_change,
    check_drain,
    check_plans,
    check_settings,
    check_topology,
)
from .exceptions import (
    CuminhoistError,
    FieldError,
    InvariantError,
    TransportError,
)
from .settings import Role, Settings, Topology, load_struct
from .types import DrainScope, Ran, Reason

if TYPE_CHECKING:
    from .node import Node

__all__ = (
    'Accepted',
    'Allowance',
    'Allowances',
    'Caller',
    'Change',
    'ChangeOutcome',
    'Configuration',
    'Conflict',
    'CuminhoistError',
    'Drain',
    'DrainScope',
    'FieldError',
    'InvariantError',
    'Node',
    'Plan',
    'Plans',
    'Ran',
    'Reason',
    'Rejected',
    'Role',
    'Settings',
    'ShiftCap',
    'Topology',
    'TransportError',
    'Unavailable',
    'check_allowances',
    'check_change',
    'check_drain',
    'check_plans',
    'check_settings',
    'check_topology',
    'load_struct',
)


def __getattr__(name: str) -> Any:
    """Import :class:`Node` on first use.

    The libraries that it imports would lengthen the start of the command-line
    tool by 40%.

    :param name: name of an attribute that the module lacks.
    """
    if name != 'Node':
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    from .node import Node

    return Node

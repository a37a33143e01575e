"""HTTP interface for operators."""

from typing import Any

from litestar import get, post

from .inforce import ConfigInForce
from .lists import Change, ChangeOutcome, Configuration
from .state import ControlState


def change_handler(state: ControlState, in_force: ConfigInForce) -> Any:
    """Return the handler of changes.

    :param state: the state that changes apply to.
    :param in_force: the configuration of this instance.
    """

    @post('/v1/control/changes', status_code=200)
    async def submit(data: Change) -> ChangeOutcome:
        outcome = state.apply(data)
        in_force.advance(state.config)
        return outcome

    return submit


def config_handler(in_force: ConfigInForce) -> Any:
    """Return the handler that shows the configuration in force.

    :param in_force: the configuration of this instance.
    """

    @get('/v1/control/config', sync_to_thread=False)
    def show() -> Configuration:
        return in_force.current or Configuration()

    return show

"""HTTP interface for operators."""

from typing import Any

from litestar import get, post

from .control import ControlLog
from .inforce import ConfigInForce
from .lists import Change, ChangeOutcome, Configuration


def change_handler(log: ControlLog) -> Any:
    """Return the handler of changes.

    :param log: decides on changes.
    """

    @post('/v1/control/changes', status_code=200)
    async def submit(data: Change) -> ChangeOutcome:
        return await log.submit(data)

    return submit


def config_handler(in_force: ConfigInForce) -> Any:
    """Return the handler that shows the configuration in force.

    :param in_force: the configuration of this instance.
    """

    @get('/v1/control/config', sync_to_thread=False)
    def show() -> Configuration:
        return in_force.current or Configuration()

    return show

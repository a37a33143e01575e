"""Waits for what other tasks bring about."""

import asyncio
from collections.abc import Callable

#: How often a condition is looked at, in seconds.
STEP_S = 0.01
#: A condition that does not come true is a failure after this many steps.
MAX_STEPS = 2000


async def eventually(condition: Callable[[], bool]) -> None:
    """Return once a condition is true; fail if it never is."""
    for _ in range(MAX_STEPS):
        if condition():
            return
        await asyncio.sleep(STEP_S)
    raise AssertionError('the condition has not come true')

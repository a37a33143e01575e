"""Polls for conditions that other tasks of a test make true."""

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.01
#: A condition that is still false after this many polls fails the test.
MAX_POLLS = 2000


async def eventually(condition: Callable[[], bool]) -> None:
    """Return once a condition is true; fail if it stays false."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)
    raise AssertionError('the condition stayed false')

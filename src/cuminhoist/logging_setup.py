"""Logging set-up: short sentences with a fixed prefix for each part."""

import logging
import sys
from typing import Any

from loguru import logger as _root

from .settings import LogSettings

_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<10} {message}'


def logger(part: str) -> Any:
    """Return the logger of one part of the program.

    :param part: prefix of its lines.
    """
    return _root.bind(part=part)


def configure_logs(cfg: LogSettings) -> None:
    """Send logs to standard error as text or JSON lines.

    :param cfg: level and shape of the lines.
    """
    # One line for each request of a library's client helps nobody.
    for library in ('httpx', 'httpcore', 'uvicorn.access'):
        logging.getLogger(library).setLevel(logging.WARNING)
    _root.remove()
    _root.configure(extra={'part': '-'})
    _root.add(
        sys.stderr,
        level=cfg.level,
        format=_FORMAT,
        serialize=cfg.json,
    )

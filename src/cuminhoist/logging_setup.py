"""Sets up logging; each part of the program logs under its own prefix."""

import logging
import sys
from typing import Any

from loguru import logger as _root_logger

from .settings import LogSettings

_FORMAT = '{time:HH:mm:ss.SSS} {level:<7} {extra[part]:<10} {message}'


def logger(part: str) -> Any:
    """Return the logger of one part of the program.

    :param part: name of the part, printed in front of its messages.
    """
    return _root_logger.bind(part=part)


def configure_logs(cfg: LogSettings) -> None:
    """Write logs to standard error, as text or JSON lines.

    :param cfg: level and format of the lines.
    """
    # These libraries log a line for each request at level INFO.
    for library in ('httpx', 'httpcore', 'uvicorn.access'):
        logging.getLogger(library).setLevel(logging.WARNING)
    _root_logger.remove()
    _root_logger.configure(extra={'part': '-'})
    _root_logger.add(
        sys.stderr,
        level=cfg.level,
        format=_FORMAT,
        serialize=cfg.json,
    )

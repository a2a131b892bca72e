"""Log output: one line an event, with a fixed prefix for each part."""

from __future__ import annotations

import sys

from loguru import logger

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} " + "{extra[process]} "


def set_up_logs(*, process: str, level: str) -> None:
    """Send logs of this process to standard error from ``level`` up."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(sys.stderr, format=_FORMAT + "{message}", level=level, backtrace=False)

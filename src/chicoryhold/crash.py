"""Ends the process when one of the threads that it can't work without has failed."""

from __future__ import annotations

import os
import threading
from collections.abc import Callable

from loguru import logger

CRASH_EXIT_CODE = 70


def exit_after_failure(component: str, name: str, error: BaseException | None) -> None:
    """Log that ``name`` has failed and exit, so that the supervisor restarts us."""
    logger.opt(exception=error).critical(
        "{}: {} failed; the process exits.", component, name
    )
    logger.remove()  # writes the lines that wait for their reader
    os._exit(CRASH_EXIT_CODE)


def create_critical_thread(run: Callable[[], object], *, name: str) -> threading.Thread:
    """Return a daemon thread that ends the process if ``run`` raises."""

    def run_or_exit() -> None:
        try:
            run()
        except Exception as error:
            exit_after_failure("thread", name, error)

    return threading.Thread(target=run_or_exit, name=name, daemon=True)

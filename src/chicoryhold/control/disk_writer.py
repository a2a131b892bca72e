"""Writes to a control replica's disk, repeated until they succeed."""

from __future__ import annotations

import time
from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.control.storage import Storage

RETRY_DELAY_SECONDS = 0.2
LONG_WRITE_SECONDS = 0.25  # as long as a heartbeat's interval


class DiskWriter:
    """Runs writes to ``storage`` one after the other.

    No message that depends on a write may be sent before it succeeds. The replica
    therefore blocks here, and the other replicas continue without it.
    """

    def __init__(self, *, storage: Storage, clock: Clock) -> None:
        self._storage = storage
        self._clock = clock

    @property
    def log_bytes(self) -> int:
        return self._storage.log_bytes

    def write(self, action: Callable[[Storage], None]) -> None:
        """Run ``action``, and repeat it while it raises ``OSError``."""
        started = self._clock.now()
        failed = False
        while True:
            try:
                action(self._storage)
                break
            except OSError as error:
                if not failed:
                    logger.bind(reason=str(error)).error(
                        "control: disk write failed; retrying."
                    )
                failed = True
                time.sleep(RETRY_DELAY_SECONDS)
        if failed:
            logger.info("control: disk write succeeded after retrying.")
        self._log_if_long(self._clock.now() - started)

    def _log_if_long(self, seconds: float) -> None:
        if seconds >= LONG_WRITE_SECONDS:
            logger.bind(seconds=round(seconds, 3), log_bytes=self.log_bytes).warning(
                "control: a disk write took long; nothing was sent meanwhile."
            )

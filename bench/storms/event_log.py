"""What was done to which host, beside the logs of the hosts."""

from __future__ import annotations

import threading
import time
from pathlib import Path

import msgspec

FILE_NAME = "events.log"


class EventLog:
    """Writes one JSON object a line, with times as in the logs. Thread-safe."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME
        self._lock = threading.Lock()
        self._newest_at = time.monotonic()

    @property
    def newest_at(self) -> float:
        """When the newest event was written, on the monotonic clock."""
        return self._newest_at

    def write(self, host: str, event: str, **fields: object) -> None:
        line = {"at": time.time(), "process": host, "event": f"trial: {event}"}
        with self._lock, self._path.open("ab") as file:
            file.write(msgspec.json.encode(line | fields) + b"\n")
            self._newest_at = time.monotonic()

"""Log output: one line an event, with a fixed prefix for each part."""

from __future__ import annotations

import sys
import threading
import time
from collections.abc import Callable
from typing import TextIO

import attrs
import msgspec
from loguru import logger

LINES_PER_SECOND = 100
LINES_AT_ONCE = 300

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} " + "{extra[process]} "


def set_up_logs(*, process: str, level: str) -> None:
    """Send logs of this process to standard error from ``level`` up."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(sys.stderr, format=_text_format, level=level, backtrace=False)


def _text_format(record: dict) -> str:
    """Return loguru's template of one line: the message, then its bound fields."""
    names = [name for name in record["extra"] if name != "process"]
    fields = "".join(f" {name}={{extra[{name}]}}" for name in names)
    return _FORMAT + "{message}" + fields + "\n{exception}"


def configure_json_logging(*, process: str, level: str) -> None:
    """Send logs as JSON, one object a line, to standard output from ``level`` up."""
    logger.remove()
    logger.configure(extra={"process": process})
    sink = StructuredSink(output=sys.stdout, limit=VolumeLimit(now=time.monotonic))
    logger.add(sink.write, format="{message}", level=level, backtrace=False)


@attrs.define(kw_only=True)
class VolumeLimit:
    """Bounds how many lines are written; the rest are counted."""

    now: Callable[[], float]
    _level: float = attrs.field(default=LINES_AT_ONCE, init=False)
    _at: float = attrs.field(default=0.0, init=False)
    _left_out: int = attrs.field(default=0, init=False)

    def admits(self) -> bool:
        now = self.now()
        refill = (now - self._at) * LINES_PER_SECOND
        self._level = min(LINES_AT_ONCE, self._level + refill)
        self._at = now
        if self._level < 1:
            self._left_out += 1
            return False
        self._level -= 1
        return True

    def take_left_out(self) -> int:
        """Return how many lines were left out since the last call."""
        left_out, self._left_out = self._left_out, 0
        return left_out


class StructuredSink:
    """Writes records as JSON lines; under load it leaves lines out, with a count."""

    def __init__(self, *, output: TextIO, limit: VolumeLimit) -> None:
        self._output = output
        self._limit = limit
        self._lock = threading.Lock()

    def write(self, message) -> None:
        """Write one loguru message, or leave it out."""
        with self._lock:
            if not self._limit.admits():
                return
            left_out = self._limit.take_left_out()
            self._output.write(_line_of(message.record, left_out))
            self._output.flush()


def _line_of(record: dict, left_out: int) -> str:
    fields = {
        "at": record["time"].timestamp(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    if left_out:
        fields["lines_left_out"] = left_out
    return msgspec.json.encode(fields, enc_hook=str).decode() + "\n"

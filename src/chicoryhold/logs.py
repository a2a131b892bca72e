"""Log output: one line per event. Each event starts with its component's name."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable
from typing import TextIO

import attrs
import msgspec
from loguru import logger

LINES_PER_SECOND = 100
BURST_LINES = 300

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} " + "{extra[process]} "


def configure_text_logging(*, process: str, level: str) -> None:
    """Write logs of this process to standard error as text, from ``level`` up."""
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(sys.stderr, format=_text_format, level=level, backtrace=False)
    forward_library_errors()


def _text_format(record: dict) -> str:
    """Return loguru's template of one line: the message, then its bound fields."""
    names = [name for name in record["extra"] if name != "process"]
    fields = "".join(f" {name}={{extra[{name}]}}" for name in names)
    return _FORMAT + "{message}" + fields + "\n{exception}"


def configure_json_logging(*, process: str, level: str) -> None:
    """Write logs to standard output as JSON, one object per line, from ``level`` up."""
    logger.remove()
    logger.configure(extra={"process": process})
    sink = JsonLogSink(output=sys.stdout, now=time.monotonic)
    logger.add(sink.write, format="{message}", level=level, backtrace=False)
    forward_library_errors()


def forward_library_errors() -> None:
    """Write what libraries log with Python's ``logging``, from ``ERROR`` up.

    That includes exceptions of HTTP applications and of callbacks of futures.
    """
    handler = _LibraryErrorHandler(level=logging.ERROR)
    logging.basicConfig(handlers=[handler], force=True)


class _LibraryErrorHandler(logging.Handler):
    def emit(self, record: logging.LogRecord) -> None:
        error = record.exc_info[1] if record.exc_info else None
        logger.opt(exception=error).log(
            record.levelname, "library: {}: {}", record.name, record.getMessage()
        )


@attrs.define(kw_only=True)
class LogRateLimiter:
    """A token bucket that limits the number of log lines and counts dropped ones."""

    now: Callable[[], float]
    _tokens: float = attrs.field(default=BURST_LINES, init=False)
    _refilled_at: float = attrs.field(default=0.0, init=False)
    _dropped: int = attrs.field(default=0, init=False)

    def try_acquire(self) -> bool:
        """Take a token for one line, or count the line as dropped."""
        now = self.now()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        return True

    def take_dropped_count(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


class JsonLogSink:
    """Writes records as JSON lines.

    Lines above the rate limit are dropped; the next line that is written holds their
    number as ``lines_left_out``. Warnings and errors have a limit of their own: a flood
    of refusals must not hide why they are refused.
    """

    def __init__(self, *, output: TextIO, now: Callable[[], float]) -> None:
        self._output = output
        self._usual = LogRateLimiter(now=now)
        self._warnings = LogRateLimiter(now=now)
        self._lock = threading.Lock()

    def write(self, message) -> None:
        """Write one loguru message, or drop it if the rate limit is exceeded."""
        is_warning = message.record["level"].no >= logging.WARNING
        limiter = self._warnings if is_warning else self._usual
        with self._lock:
            if not limiter.try_acquire():
                return
            dropped = limiter.take_dropped_count()
            self._output.write(_json_line(message.record, dropped))
            self._output.flush()


def _json_line(record: dict, dropped: int) -> str:
    fields = {
        "at": record["time"].timestamp(),
        "level": record["level"].name,
        "event": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        fields["exception"] = repr(record["exception"].value)
    if dropped:
        fields["lines_left_out"] = dropped
    return msgspec.json.encode(fields, enc_hook=str).decode() + "\n"

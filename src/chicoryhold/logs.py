"""Log output: one line per event. Each event starts with its component's name."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable, Hashable
from datetime import UTC, datetime
from typing import Protocol

import attrs
import msgspec
from loguru import logger

from chicoryhold.log_queue import LogQueue

LINES_PER_SECOND = 100
BURST_LINES = 300
DROPPED_EVENT = "log: lines were dropped because their reader was slow."

_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level: <7} " + "{extra[process]} "


def configure_text_logging(*, process: str, level: str) -> LogQueue:
    """Write logs of this process to standard error as text, from ``level`` up.

    Returns the queue of the lines, which ``logger.remove`` stops.
    """
    queue = LogQueue(
        descriptor=sys.stderr.fileno(),
        report=lambda count: _text_report(process, count),
    )
    logger.remove()
    logger.configure(extra={"process": process})
    logger.add(
        TextLogSink(output=queue), format=_text_format, level=level, backtrace=False
    )
    forward_library_errors()
    return queue


def _text_format(record: dict) -> str:
    """Return loguru's template of one line: the message, then its bound fields."""
    names = [name for name in record["extra"] if name != "process"]
    fields = "".join(f" {name}={{extra[{name}]}}" for name in names)
    return _FORMAT + "{message}" + fields + "\n{exception}"


def _text_report(process: str, count: int) -> str:
    at = datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return f"{at} WARNING {process} {DROPPED_EVENT} lines={count}\n"


def configure_json_logging(*, process: str, level: str) -> LogQueue:
    """Write logs to standard output as JSON, one object per line, from ``level`` up.

    Returns the queue of the lines, which ``logger.remove`` stops.
    """
    queue = LogQueue(
        descriptor=sys.stdout.fileno(),
        report=lambda count: _json_report(process, count),
    )
    logger.remove()
    logger.configure(extra={"process": process})
    sink = JsonLogSink(output=queue, now=time.monotonic)
    logger.add(sink, format="{message}", level=level, backtrace=False)
    forward_library_errors()
    return queue


def _json_report(process: str, count: int) -> str:
    fields = {
        "at": time.time(),
        "level": "WARNING",
        "event": DROPPED_EVENT,
        "process": process,
        "lines": count,
    }
    return msgspec.json.encode(fields).decode() + "\n"


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

    def restore_dropped_count(self, dropped: int) -> None:
        """Count lines as dropped again whose number couldn't be written."""
        self._dropped += dropped


class LineOutput(Protocol):
    """Takes lines without waiting for their reader, as :class:`LogQueue` does."""

    def put(self, line: str, *, kind: Hashable) -> bool:
        """Take a line, or drop it and return ``False``."""

    def stop(self) -> None:
        """Write what waits, within a bounded time."""


class TextLogSink:
    """Writes records as they are formatted."""

    def __init__(self, *, output: LineOutput) -> None:
        self._output = output

    def write(self, message) -> None:
        """Write one loguru message, or drop it if its reader is slow."""
        self._output.put(message, kind=_kind(message.record))

    def stop(self) -> None:
        self._output.stop()


class JsonLogSink:
    """Writes records as JSON lines.

    Lines above the rate limit are dropped; the next line that is written holds their
    number as ``lines_left_out``. Warnings and errors have a limit of their own: a flood
    of refusals must not hide why they are refused.
    """

    def __init__(self, *, output: LineOutput, now: Callable[[], float]) -> None:
        self._output = output
        self._usual = LogRateLimiter(now=now)
        self._warnings = LogRateLimiter(now=now)
        self._lock = threading.Lock()

    def write(self, message) -> None:
        """Write one loguru message, or drop it: too many lines, or a slow reader."""
        is_warning = message.record["level"].no >= logging.WARNING
        limiter = self._warnings if is_warning else self._usual
        with self._lock:
            if not limiter.try_acquire():
                return
            dropped = limiter.take_dropped_count()
            line = _json_line(message.record, dropped)
            if not self._output.put(line, kind=_kind(message.record)):
                limiter.restore_dropped_count(dropped)

    def stop(self) -> None:
        self._output.stop()


def _kind(record: dict) -> Hashable:
    """Return what the lines of one place in the code have in common."""
    return record["name"], record["line"]


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

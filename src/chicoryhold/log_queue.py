"""Log lines on their way to a file descriptor whose reader may pause.

A thread that has something to log never waits for that reader: one thread of the queue
does. Beyond a limit lines are dropped, of kinds that already have some waiting first.
"""

from __future__ import annotations

import os
import select
import threading
import time
from collections import Counter, deque
from collections.abc import Callable, Hashable
from typing import NamedTuple

MAX_WAITING_BYTES = 2**20
KEPT_LINES = 8  # of each kind, beyond the limit
MAX_KEPT_BYTES = 2**20  # of these, for kinds without a bound
REPORT_SECONDS = 1.0  # between two reports of dropped lines
STOP_SECONDS = 0.5  # for the lines that wait at the end


class _Line(NamedTuple):
    data: bytes
    kind: Hashable


class LogQueue:
    """Writes lines to a file descriptor in a thread of its own. Thread-safe.

    ``report`` returns the line that says how many lines were dropped. It is written
    once the reader goes on, at most every ``REPORT_SECONDS``.
    """

    def __init__(
        self, *, descriptor: int, report: Callable[[int], str],
        now: Callable[[], float] = time.monotonic,
    ) -> None:  # fmt: skip
        self._descriptor = descriptor
        self._report = report
        self._now = now
        # Reentrant: a finalizer that logs may interrupt the thread that holds it.
        self._changed = threading.Condition(threading.RLock())
        self._lines: deque[_Line] = deque()
        self._kinds: Counter[Hashable] = Counter()
        self._bytes = 0
        self._dropped = 0
        self._reported = 0
        self._reported_at = float("-inf")
        self._is_stopping = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    @property
    def dropped_count(self) -> int:
        """How many lines were dropped since the start."""
        return self._dropped

    def put(self, line: str, *, kind: Hashable) -> bool:
        """Queue a line, or drop and count it. Returns whether it is queued.

        While too much waits, only a kind with fewer than ``KEPT_LINES`` lines waiting
        gets one more.
        """
        data = line.encode(errors="backslashreplace")
        with self._changed:
            if not self._has_room(len(data), kind):
                self._dropped += 1
                return False
            self._lines.append(_Line(data, kind))
            self._kinds[kind] += 1
            self._bytes += len(data)
            self._changed.notify()
            return True

    def _has_room(self, size: int, kind: Hashable) -> bool:
        total = self._bytes + size
        if total <= MAX_WAITING_BYTES:
            return True
        is_kept = self._kinds[kind] < KEPT_LINES
        return is_kept and total <= MAX_WAITING_BYTES + MAX_KEPT_BYTES

    def stop(self) -> None:
        """Write what waits, for at most ``STOP_SECONDS``, and end the thread."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        self._thread.join(STOP_SECONDS)

    def _run(self) -> None:
        while (line := self._next_line()) is not None:
            self._write(line)
            self._write_report()

    def _next_line(self) -> _Line | None:
        """Wait for the next line, which goes on to count as waiting.

        ``None`` once all are written and the queue is stopping.
        """
        with self._changed:
            while not self._lines:
                if self._is_stopping:
                    return None
                self._changed.wait()
            return self._lines[0]

    def _write(self, line: _Line) -> None:
        is_written = self._write_bytes(line.data)
        with self._changed:
            self._lines.popleft()
            self._bytes -= len(line.data)
            self._kinds[line.kind] -= 1
            if not self._kinds[line.kind]:
                del self._kinds[line.kind]
            if not is_written:
                self._dropped += 1

    def _write_report(self) -> None:
        """Write how many lines were dropped, if that is due."""
        with self._changed:
            dropped, is_last = self._dropped, not self._lines
        now = self._now()
        is_due = is_last or now >= self._reported_at + REPORT_SECONDS
        if dropped == self._reported or not is_due:
            return
        self._reported_at = now
        report = self._report(dropped - self._reported)
        if self._write_bytes(report.encode()):
            self._reported = dropped

    def _write_bytes(self, data: bytes) -> bool:
        """Write ``data``, however long its reader takes. False if it has no reader."""
        rest = memoryview(data)
        while rest:
            try:
                rest = rest[os.write(self._descriptor, rest) :]
            except BlockingIOError:
                self._wait_until_writable()
            except OSError:
                return False
        return True

    def _wait_until_writable(self) -> None:
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        poll.poll()

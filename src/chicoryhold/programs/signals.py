"""Signal handling and exit of long-running processes."""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, suppress
from queue import Empty, SimpleQueue

from chicoryhold.clock import Clock

NOTICE_SECONDS = 0.25  # until a signal is handled that didn't interrupt the wait


class StopSignal:
    """Whether the process was asked to stop, and when. Further requests change nothing.

    A signal handler interrupts the main thread anywhere, also in ``wait`` and in
    another handler, so it must not acquire a lock that the main thread may hold:
    ``threading.Event`` has one, ``SimpleQueue.put`` is reentrant.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._requested_at: float | None = None
        self._requests: SimpleQueue[None] = SimpleQueue()

    @property
    def is_set(self) -> bool:
        return self._requested_at is not None

    @property
    def requested_at(self) -> float | None:
        """The time of the first request on the clock, ``None`` before it."""
        return self._requested_at

    def set(self) -> None:
        """Ask the process to stop."""
        if self._requested_at is None:
            self._requested_at = self._clock.now()
        self._requests.put(None)

    def wait(self) -> float:
        """Return the time of the request to stop, once there is one."""
        while self._requested_at is None:
            # A signal that arrives just before the wait doesn't always interrupt it.
            with suppress(Empty):
                self._requests.get(timeout=NOTICE_SECONDS)
        return self._requested_at


@contextmanager
def stop_signals(*, clock: Clock) -> Iterator[StopSignal]:
    """Yield a ``StopSignal`` that is set by SIGTERM or SIGINT.

    Once it is set, the process is ending, and further signals change nothing, even
    after the block.
    """
    stopping = StopSignal(clock=clock)

    def on_signal(number: int, frame: object) -> None:
        stopping.set()

    previous = {
        number: signal.signal(number, on_signal)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield stopping
    finally:
        if not stopping.is_set:
            for number, handler in previous.items():
                signal.signal(number, handler)


@contextmanager
def reload_on_sighup(reload: Callable[[], None]) -> Iterator[None]:
    """Call ``reload`` at each SIGHUP, which would otherwise end the process.

    It runs in a signal handler, so it must not acquire a lock, as logging does.
    After the block, SIGHUP is ignored: the process is ending.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: reload())
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


def ignore_sighup() -> AbstractContextManager[None]:
    """Ignore SIGHUP, for a program that reads its settings only once."""
    return reload_on_sighup(lambda: None)


def exit_after(seconds: float) -> None:
    """Exit the process after ``seconds`` even if some threads don't stop.

    For a process that has completed its work: a thread that waits for a disk or a peer
    must not delay the exit until the platform kills the process.
    """
    timer = threading.Timer(seconds, os._exit, args=(0,))
    timer.daemon = True
    timer.start()

"""Signal handling and exit of long-running processes."""

from __future__ import annotations

import os
import signal
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager


@contextmanager
def stop_signals() -> Iterator[threading.Event]:
    """Yield an event that is set by SIGTERM or SIGINT."""
    stopping = threading.Event()

    def on_signal(number: int, frame: object) -> None:
        stopping.set()

    previous = {
        number: signal.signal(number, on_signal)
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield stopping
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@contextmanager
def reload_on_sighup(reload: Callable[[], None]) -> Iterator[None]:
    """Call ``reload`` at each SIGHUP, which would otherwise end the process."""
    previous = signal.signal(signal.SIGHUP, lambda number, frame: reload())
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def exit_after(seconds: float) -> None:
    """Exit the process after ``seconds`` even if some threads don't stop.

    For a process that has completed its work: a thread that waits for a disk or a peer
    must not delay the exit until the platform kills the process.
    """
    timer = threading.Timer(seconds, os._exit, args=(0,))
    timer.daemon = True
    timer.start()

"""How a long-running program hears signals, and ends."""

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
    """Call ``reload`` at each SIGHUP, which would end the process otherwise."""
    previous = signal.signal(signal.SIGHUP, lambda number, frame: reload())
    try:
        yield
    finally:
        signal.signal(signal.SIGHUP, previous)


def exit_after(seconds: float) -> None:
    """End this process after ``seconds`` even if a part of it can't stop.

    For a process whose work is done: a thread that waits for a disk or a peer must
    not keep it until the platform kills it.
    """
    timer = threading.Timer(seconds, os._exit, args=(0,))
    timer.daemon = True
    timer.start()

"""A control host that stands still now and then."""

from __future__ import annotations

import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from bench.background import in_background
from bench.stops.hosts import PlatformProcess

QUIET_SECONDS = (1.0, 5.0)
PAUSE_SECONDS = (0.5, 4.5)


class ControlPauses:
    """Pauses the control host again and again; it runs at the end."""

    def __init__(self, *, control: PlatformProcess, seed: int) -> None:
        self._control = control
        self._random = Random(f"{seed}-control")
        self._closing = threading.Event()

    @contextmanager
    def running(self) -> Iterator[None]:
        with in_background(self._run, closing=self._closing):
            yield

    def _run(self) -> None:
        draw = self._random.uniform
        while not self._closing.wait(draw(*QUIET_SECONDS)):
            self._control.send_signal(signal.SIGSTOP)
            self._closing.wait(draw(*PAUSE_SECONDS))
            self._control.send_signal(signal.SIGCONT)

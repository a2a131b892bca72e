"""Reports of stand-in targets to the control hosts."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

import attrs

from bench.background import in_background
from bench.calls import call
from bench.stops.targets import StopTarget

REPORT_INTERVAL_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0


@attrs.define(kw_only=True)
class ReportedTarget:
    """A target and what its reports say."""

    target: StopTarget
    service: str
    domain: str
    slots: int
    state: str = "ready"
    is_known: threading.Event = attrs.field(factory=threading.Event)
    _sequence: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def report_to(self, control: tuple[str, int]) -> None:
        """Report once. What isn't acknowledged isn't sent again."""
        status = call(
            control,
            "PUT",
            f"/instances/{self.target.instance}",
            body=self._body(),
            timeout=REPORT_TIMEOUT_SECONDS,
        )
        if status == 200:
            self.is_known.set()

    def sign_off_at(self, control: tuple[str, int]) -> bool:
        """Say that the target is gone; return whether that is acknowledged."""
        path = f"/instances/{self.target.instance}"
        return call(control, "DELETE", path, timeout=REPORT_TIMEOUT_SECONDS) == 200

    def _body(self) -> str:
        with self._lock:
            self._sequence += 1
            status = {
                "state": self.state,
                "sequence": self._sequence,
                "cold_left_s": 0,
            }
        fields = {
            "address": self.target.address,
            "born": self.target.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.domain,
                "slots": self.slots,
            },
            "status": status,
        }
        return json.dumps(fields)


class Reporter:
    """Reports the targets to one control host again and again."""

    def __init__(
        self, *, control: tuple[str, int],
        targets: Callable[[], Sequence[ReportedTarget]],
    ) -> None:  # fmt: skip
        self._control = control
        self._targets = targets
        self._closing = threading.Event()

    @contextmanager
    def running(self) -> Iterator[None]:
        with in_background(self._run, closing=self._closing):
            yield

    def _run(self) -> None:
        while True:
            for reported in self._targets():
                reported.report_to(self._control)
            if self._closing.wait(REPORT_INTERVAL_SECONDS):
                return

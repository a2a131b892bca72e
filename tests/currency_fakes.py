"""What a host believes of the age of its copy, for tests of other matters."""

from __future__ import annotations

from chicoryhold.clock import Clock
from chicoryhold.gateway.currency import CopyCurrency
from chicoryhold.metrics import Metrics


def a_current_copy(clock: Clock) -> CopyCurrency:
    return CopyCurrency(
        clock=clock, copy_age=lambda: 0.0, metrics=Metrics(process="test")
    )

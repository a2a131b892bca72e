"""What targets state of themselves, for tests."""

from __future__ import annotations

from chicoryhold.clock import Clock
from chicoryhold.metrics import Metrics
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.routing.target_statements import MAX_LEAVING, TargetStatements


def a_statements(
    clock: Clock, *, limits: StatedLimits | None = None, max_leaving: int = MAX_LEAVING
) -> TargetStatements:
    metrics = Metrics(process="test")
    return TargetStatements(
        limits=limits or StatedLimits(clock=clock, metrics=metrics),
        clock=clock,
        metrics=metrics,
        max_leaving=max_leaving,
    )

"""Logs what single attempts of a delivery show, and by which state they were made."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.gateway.request import RoutedRequest
from chicoryhold.metrics import Metrics
from chicoryhold.routing.selection import Choice


class AttemptLog:
    """Logs attempts with the state of the target by which it was chosen. Thread-safe.

    ``copy_age`` returns the age of this host's copy of the control state in seconds.
    """

    def __init__(
        self, *, clock: Clock, metrics: Metrics, copy_age: Callable[[], float]
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._copy_age = copy_age

    def record_failure(
        self, routed: RoutedRequest, choice: Choice, attempt: int, reason: str,
        **fields: object,
    ) -> None:  # fmt: skip
        """Log and count an attempt that got no usable response."""
        self._metrics.count("chicoryhold_failed_attempts", state=choice.state.value)
        view = choice.view
        logger.bind(
            request=routed.request.request_id,
            attempt=attempt,
            target=view.record.instance,
            address=view.record.address,
            service=routed.service,
            state=choice.state.value,
            revision=choice.revision,
            age=round(self._copy_age(), 2),
            expected=round(choice.expected_latency, 3),
            in_flight=view.in_flight,
            failures=view.failures,
            left=round(routed.deadline - self._clock.now(), 3),
            reason=reason,
            **fields,
        ).info("delivery: attempt failed.")

"""Logs what single attempts of a delivery show, and by which state they were made."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.gateway.attempt import Attempt
from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord
from chicoryhold.targets.exchange import ConnectionUse


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
        self, attempt: Attempt, reason: str, *, use: ConnectionUse | None = None,
        **fields: object,
    ) -> None:  # fmt: skip
        """Log and count an attempt that got no usable response.

        ``use`` names the connection on which the target refused or failed.
        """
        choice = attempt.choice
        self._metrics.count("chicoryhold_failed_attempts", state=choice.state.value)
        view = choice.view
        logger.bind(
            request=attempt.routed.request.request_id,
            attempt=attempt.number,
            target=view.record.instance,
            address=view.record.address,
            service=attempt.routed.service,
            state=choice.state.value,
            revision=choice.revision,
            age=round(self._copy_age(), 2),
            expected=round(choice.expected_latency, 3),
            in_flight=view.in_flight,
            failures=view.failures,
            left=round(attempt.routed.deadline - self._clock.now(), 3),
            reason=reason,
            port=use.port if use else 0,
            use=use.number if use else 0,
            **fields,
        ).info("delivery: attempt failed.")

    def record_leaving(self, attempt: Attempt, target: TargetRecord) -> None:
        """Log the first answer in which ``target`` says that it leaves."""
        logger.bind(**self._leaving_fields(attempt, target)).info(
            "delivery: a target says that it leaves."
        )

    def record_late(
        self, attempt: Attempt, target: TargetRecord, seconds: float
    ) -> None:
        """Log an attempt made ``seconds`` after ``target`` had said that it leaves."""
        self._metrics.count("chicoryhold_late_attempts")
        logger.bind(
            **self._leaving_fields(attempt, target), seconds=round(seconds, 3)
        ).warning("delivery: a target that had said that it leaves got a request.")

    def _leaving_fields(
        self, attempt: Attempt, target: TargetRecord
    ) -> dict[str, object]:
        """Return what tells an old copy from a choice made by an earlier state."""
        return {
            "request": attempt.routed.request.request_id,
            "attempt": attempt.number,
            "target": target.instance,
            "born": target.born_ms,
            "address": target.address,
            "domain": target.domain,
            "service": attempt.routed.service,
            "state": attempt.choice.state.value,
            "revision": attempt.choice.revision,
            "state_now": target.state.value,
            "age": round(self._copy_age(), 2),
        }

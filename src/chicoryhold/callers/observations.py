"""What the metrics say of each request that reached its route."""

from __future__ import annotations

import enum

import attrs
from opentelemetry.metrics import Meter
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind
from chicoryhold.targets.exchange import TargetResponse

LATENCY_BOUNDS_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class ServedResult(enum.Enum):
    """``RATE_EXCEEDED`` is right by the table; the last two burn the objective."""

    ANSWERED = "answered"
    RATE_EXCEEDED = "rate_exceeded"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class Served:
    """One request of an organisation, empty on open routes, to a service."""

    service: str
    organisation: str
    result: ServedResult
    seconds: float


def result_of(outcome: Result[TargetResponse, Refusal]) -> ServedResult:
    """Return how an outcome counts."""
    match outcome:
        case Ok(answer) if answer.status < 500:
            return ServedResult.ANSWERED
        case Err(refusal) if refusal.kind is RefusalKind.RATE_EXCEEDED:
            return ServedResult.RATE_EXCEEDED
        case Err(refusal) if refusal.kind in (
            RefusalKind.TIMED_OUT,
            RefusalKind.ANSWER_BROKEN,
        ):
            return ServedResult.FAILED
        case Err(_):
            return ServedResult.REFUSED
    return ServedResult.FAILED


class RequestMetrics:
    """Counts requests and their latency by service and organisation."""

    def __init__(self, *, meter: Meter) -> None:
        self._requests = meter.create_counter(
            "chicoryhold_requests", description="Requests to services by result"
        )
        self._latency = meter.create_histogram(
            "chicoryhold_request_seconds",
            unit="s",
            description="Time from the caller's request to its answer",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
        )

    def observe(self, served: Served) -> None:
        """Count one request."""
        labels = {"service": served.service, "organisation": served.organisation}
        self._latency.record(served.seconds, {"service": served.service})
        self._requests.add(1, {**labels, "result": served.result.value})

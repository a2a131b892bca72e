"""Metrics of the requests that were matched to a route."""

from __future__ import annotations

import enum

import attrs
from opentelemetry.metrics import Meter
from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind
from chicoryhold.targets.exchange import TargetResponse

LATENCY_BOUNDS_SECONDS = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class RequestResult(enum.Enum):
    """How a request counts in the metrics.

    ``RATE_EXCEEDED`` is correct for an organisation above its limit and does not count
    against the service-level objective; ``REFUSED`` and ``FAILED`` do.
    """

    ANSWERED = "answered"
    RATE_EXCEEDED = "rate_exceeded"
    REFUSED = "refused"
    FAILED = "failed"


@attrs.frozen(kw_only=True)
class CompletedRequest:
    """A request to a service. ``organisation`` is empty on open routes."""

    service: str
    organisation: str
    result: RequestResult
    seconds: float


def classify_outcome(outcome: Result[TargetResponse, Refusal]) -> RequestResult:
    """Return how ``outcome`` counts in the metrics."""
    match outcome:
        case Ok(response) if response.status < 500:
            return RequestResult.ANSWERED
        case Err(refusal) if refusal.kind is RefusalKind.RATE_EXCEEDED:
            return RequestResult.RATE_EXCEEDED
        case Err(refusal) if refusal.kind in (
            RefusalKind.TIMED_OUT,
            RefusalKind.ANSWER_BROKEN,
        ):
            return RequestResult.FAILED
        case Err(_):
            return RequestResult.REFUSED
    return RequestResult.FAILED


class RequestMetrics:
    """Counts requests by service and organisation, and latency by service."""

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

    def observe(self, request: CompletedRequest) -> None:
        """Record the result and the latency of ``request``."""
        labels = {"service": request.service, "organisation": request.organisation}
        self._latency.record(request.seconds, {"service": request.service})
        self._requests.add(1, {**labels, "result": request.result.value})

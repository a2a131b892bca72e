"""OpenTelemetry metrics in Prometheus text format, and the health endpoints.

The SDK takes a fifth of a process's start-up time and much of its memory, and most
processes are never scraped. It is therefore loaded at the first scrape, and everything
recorded before is passed to it then.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from chicoryhold.http.server import serve_http

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

ReadinessCheck = Callable[[], str]
Labels = Mapping[str, str]

PLAIN_TEXT = "text/plain; charset=utf-8"
MAX_PENDING_MEASUREMENTS = 20_000  # kept until the SDK is loaded; later ones are lost


def create_meter(process: str) -> Meter:
    """Return this process's OpenTelemetry meter, which ``/metrics`` exports."""
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    resource = Resource.create({"service.name": process})
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], resource=resource
    )
    return provider.get_meter("chicoryhold")


class Metrics:
    """Counters, histograms and gauges of one process. Thread-safe.

    A label must have few possible values: use organisations, routes and kinds, never
    callers.
    """

    def __init__(self, *, process: str) -> None:
        self._process = process
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._pending: list[tuple[str, float, dict[str, str]]] = []
        self._histograms: dict[str, Any] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._registered: dict[str, str] = {}
        self._meter: Meter | None = None
        self._serves_existing = False

    @classmethod
    def for_existing_meter(cls, meter: Meter | None = None) -> Metrics:
        """Return an instance that also serves the instruments of an existing meter.

        What is recorded here is exported through ``meter``.
        """
        metrics = cls(process="")
        metrics._serves_existing = True
        metrics._meter = meter
        return metrics

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter. Its exported name ends in ``_total``."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration in a histogram."""
        histogram = self._histograms.get(name)
        if histogram is not None:
            histogram.record(seconds, labels)
            return
        with self._lock:
            if len(self._pending) < MAX_PENDING_MEASUREMENTS:
                self._pending.append((name, seconds, labels))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge that calls ``read`` for its value at each scrape."""
        self._gauges[name] = read

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the metrics in Prometheus text format."""
        from prometheus_client import REGISTRY, generate_latest
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        with self._lock:
            if not self._serves_existing:
                self._meter = self._meter or create_meter(self._process)
            if self._meter is not None:
                self._export_to(self._meter)
        return CONTENT_TYPE_LATEST, generate_latest(REGISTRY)

    def _export_to(self, meter: Meter) -> None:
        for name in {name for name, _ in self._counts} - set(self._registered):
            meter.create_observable_counter(
                name, callbacks=[self._counter_callback(name)]
            )
            self._registered[name] = "counter"
        for name in set(self._gauges) - set(self._registered):
            meter.create_observable_gauge(name, callbacks=[self._gauge_callback(name)])
            self._registered[name] = "gauge"
        pending, self._pending = self._pending, []
        for name, seconds, labels in pending:
            if name not in self._histograms:
                self._histograms[name] = meter.create_histogram(name, unit="s")
            self._histograms[name].record(seconds, labels)

    def _counter_callback(self, name: str) -> Callable[[object], Iterable[object]]:
        from opentelemetry.metrics import Observation

        def callback(_: object) -> Iterable[object]:
            counts = list(self._counts.items())
            return [
                Observation(value, dict(labels))
                for (counter, labels), value in counts
                if counter == name
            ]

        return callback

    def _gauge_callback(self, name: str) -> Callable[[object], Iterable[object]]:
        from opentelemetry.metrics import Observation

        return lambda _: [Observation(self._gauges[name]())]


@contextmanager
def serve_metrics(
    address: str, unready_reason: ReadinessCheck, metrics: Metrics | None = None
) -> Iterator[None]:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz`` on ``address``.

    ``unready_reason`` returns why the process isn't ready, or an empty string if it is.
    """
    source = metrics or Metrics.for_existing_meter()

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        status, content_type, body = _respond(
            str(environ["PATH_INFO"]), unready_reason, source
        )
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    with serve_http(app, address, threads=1):
        yield


def _respond(
    path: str, unready_reason: ReadinessCheck, metrics: Metrics
) -> tuple[str, str, bytes]:
    if path == "/metrics":
        content_type, body = metrics.render()
        return "200 OK", content_type, body
    if path == "/healthz":
        return "200 OK", PLAIN_TEXT, b"ok\n"
    if path == "/readyz":
        reason = unready_reason()
        status = "503 Service Unavailable" if reason else "200 OK"
        return status, PLAIN_TEXT, f"{reason or 'ready'}\n".encode()
    return "404 Not Found", PLAIN_TEXT, b"use /metrics, /healthz or /readyz\n"

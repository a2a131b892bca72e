"""Metrics by OpenTelemetry, served in the Prometheus text format with health pages.

The SDK takes a fifth of a process's start and a good part of its memory, and most
processes are never asked. So it is loaded at the first look at the metrics; what was
counted before is handed over then.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from chicoryhold.http_server import serve_http

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter

Ready = Callable[[], str]
Labels = Mapping[str, str]

PLAIN = "text/plain; charset=utf-8"
MOST_WAITING = 20_000  # measurements kept for a meter that isn't loaded yet


def create_meter(process: str) -> Meter:
    """Return the OpenTelemetry meter of this process, exported by the metrics page."""
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider
    from opentelemetry.sdk.resources import Resource

    resource = Resource.create({"service.name": process})
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], resource=resource
    )
    return provider.get_meter("chicoryhold")


class Metrics:
    """Counters, histograms and gauges of one process. Safe to use from many threads.

    Labels must come from small sets: organisations, routes and kinds, never callers.
    """

    def __init__(self, *, process: str) -> None:
        self._process = process
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        self._waiting: list[tuple[str, float, dict[str, str]]] = []
        self._histograms: dict[str, Any] = {}
        self._gauges: dict[str, Callable[[], float]] = {}
        self._described: dict[str, str] = {}
        self._meter: Meter | None = None
        self._serves_existing = False

    @classmethod
    def of_existing_meter(cls) -> Metrics:
        """Return what serves the instruments of a meter that the process made."""
        metrics = cls(process="")
        metrics._serves_existing = True
        return metrics

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter; its name ends in ``_total`` where it is served."""
        key = (name, tuple(sorted(labels.items())))
        with self._lock:
            self._counts[key] = self._counts.get(key, 0) + amount

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Put a duration into a histogram."""
        histogram = self._histograms.get(name)
        if histogram is not None:
            histogram.record(seconds, labels)
            return
        with self._lock:
            if len(self._waiting) < MOST_WAITING:
                self._waiting.append((name, seconds, labels))

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Serve what ``read`` returns at each look."""
        self._gauges[name] = read

    def page(self) -> tuple[str, bytes]:
        """Return the content type and the text in the Prometheus format."""
        from prometheus_client import REGISTRY, generate_latest
        from prometheus_client.exposition import CONTENT_TYPE_LATEST

        with self._lock:
            if not self._serves_existing:
                self._meter = self._meter or create_meter(self._process)
                self._hand_over(self._meter)
        return CONTENT_TYPE_LATEST, generate_latest(REGISTRY)

    def _hand_over(self, meter: Meter) -> None:
        for name in {name for name, _ in self._counts} - set(self._described):
            meter.create_observable_counter(name, callbacks=[self._reader(name)])
            self._described[name] = "counter"
        for name in set(self._gauges) - set(self._described):
            meter.create_observable_gauge(name, callbacks=[self._gauge_reader(name)])
            self._described[name] = "gauge"
        waiting, self._waiting = self._waiting, []
        for name, seconds, labels in waiting:
            if name not in self._histograms:
                self._histograms[name] = meter.create_histogram(name, unit="s")
            self._histograms[name].record(seconds, labels)

    def _reader(self, name: str) -> Callable[[object], Iterable[object]]:
        from opentelemetry.metrics import Observation

        def read(_: object) -> Iterable[object]:
            counts = list(self._counts.items())
            return [
                Observation(value, dict(labels))
                for (counted, labels), value in counts
                if counted == name
            ]

        return read

    def _gauge_reader(self, name: str) -> Callable[[object], Iterable[object]]:
        from opentelemetry.metrics import Observation

        return lambda _: [Observation(self._gauges[name]())]


@contextmanager
def serve_metrics(
    address: str, ready: Ready, metrics: Metrics | None = None
) -> Iterator[None]:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz`` on ``address``.

    ``ready`` returns why the process isn't ready, or an empty text.
    """
    source = metrics or Metrics.of_existing_meter()

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        status, content_type, body = _page(str(environ["PATH_INFO"]), ready, source)
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    with serve_http(app, address, threads=1):
        yield


def _page(path: str, ready: Ready, metrics: Metrics) -> tuple[str, str, bytes]:
    if path == "/metrics":
        content_type, body = metrics.page()
        return "200 OK", content_type, body
    if path == "/healthz":
        return "200 OK", PLAIN, b"ok\n"
    if path == "/readyz":
        reason = ready()
        status = "503 Service Unavailable" if reason else "200 OK"
        return status, PLAIN, f"{reason or 'ready'}\n".encode()
    return "404 Not Found", PLAIN, b"use /metrics, /healthz or /readyz\n"

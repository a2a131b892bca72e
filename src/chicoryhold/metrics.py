"""Metrics by OpenTelemetry, served in the Prometheus text format with health pages."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from werkzeug.wrappers import Request, Response

from chicoryhold.http_server import serve_http

Ready = Callable[[], str]


def create_meter(process: str) -> Meter:
    """Return the meter of this process, exported by :func:`serve_metrics`."""
    resource = Resource.create({"service.name": process})
    provider = MeterProvider(
        metric_readers=[PrometheusMetricReader()], resource=resource
    )
    return provider.get_meter("chicoryhold")


@contextmanager
def serve_metrics(address: str, ready: Ready) -> Iterator[None]:
    """Serve ``/metrics``, ``/healthz`` and ``/readyz`` on ``address``.

    ``ready`` returns why the process isn't ready, or an empty text.
    """

    @Request.application
    def app(request: Request) -> Response:
        if request.path == "/metrics":
            return Response(generate_latest(REGISTRY), content_type=CONTENT_TYPE_LATEST)
        if request.path == "/healthz":
            return Response("ok\n")
        if request.path == "/readyz":
            reason = ready()
            return Response(f"{reason or 'ready'}\n", status=503 if reason else 200)
        return Response("use /metrics, /healthz or /readyz\n", status=404)

    with serve_http(app, address, threads=1):
        yield

"""Metrics by OpenTelemetry, served in the Prometheus text format with health pages."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest
from prometheus_client.exposition import CONTENT_TYPE_LATEST
from waitress.server import create_server
from werkzeug.wrappers import Request, Response

from chicoryhold.errors import AddressInUse

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


@contextmanager
def serve_http(app: Callable, address: str, *, threads: int) -> Iterator[int]:
    """Serve a WSGI application in a background thread; yields the port."""
    host, _, port = address.rpartition(":")
    try:
        server = create_server(
            app,
            host=host,
            port=int(port),
            threads=threads,
            ident=None,
            clear_untrusted_proxy_headers=True,
            channel_timeout=30,
            max_request_header_size=65_536,
            max_request_body_size=1_048_576,
        )
    except OSError as error:
        raise AddressInUse(
            f"can't listen on {address}: {error.strerror}; stop the other process or "
            "change the address in the settings"
        ) from error
    thread = threading.Thread(target=server.run, name="http", daemon=True)
    thread.start()
    try:
        yield server.effective_port
    finally:
        server.close()

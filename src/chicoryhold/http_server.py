"""Serving WSGI applications by waitress."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from chicoryhold.errors import AddressInUse

QUEUED_REQUESTS = "chicoryhold.queued_requests"
CONNECTION_LIMIT = 1_000
CONNECTION_IDLE_SECONDS = 30
LARGEST_HEADERS = 65_536
LARGEST_BODY = 1_048_576


def never() -> bool:
    """Return false: the default for a server that keeps its connections."""
    return False


def _channel_class(closing: Callable[[], bool]) -> type[HTTPChannel]:
    """Return a channel that closes after each answer while ``closing()`` is true.

    The application finds under ``QUEUED_REQUESTS`` how many requests wait for a
    thread, which waitress itself doesn't bound.

    WSGI forbids an application to send the Connection header, and waitress answers
    500 if it does, so the wish has to come from below the application.
    """

    class Task(WSGITask):
        def get_environment(self) -> dict:
            environ = super().get_environment()
            environ[QUEUED_REQUESTS] = len(self.channel.server.task_dispatcher.queue)
            return environ

        def build_response_header(self) -> bytes:
            if closing():
                self.request.headers["CONNECTION"] = "close"
            return super().build_response_header()

    class Channel(HTTPChannel):
        task_class = Task

    return Channel


@contextmanager
def serve_http(
    app: Callable, address: str, *, threads: int, closing: Callable[[], bool] = never
) -> Iterator[int]:
    """Serve a WSGI application in a background thread; yields the port.

    While ``closing()`` is true, connections are closed after their next answer.
    """
    host, _, port = address.rpartition(":")
    try:
        server = create_server(
            app,
            host=host,
            port=int(port),
            threads=threads,
            ident=None,
            clear_untrusted_proxy_headers=True,
            connection_limit=CONNECTION_LIMIT,
            channel_timeout=CONNECTION_IDLE_SECONDS,
            max_request_header_size=LARGEST_HEADERS,
            max_request_body_size=LARGEST_BODY,
        )
    except OSError as error:
        raise AddressInUse(
            f"can't listen on {address}: {error.strerror}; stop the other process or "
            "change the address in the settings"
        ) from error
    server.channel_class = _channel_class(closing)
    thread = threading.Thread(target=server.run, name="http", daemon=True)
    thread.start()
    try:
        yield server.effective_port
    finally:
        server.close()

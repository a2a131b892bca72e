"""Serving WSGI applications by waitress."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from waitress.channel import HTTPChannel
from waitress.server import create_server
from waitress.task import WSGITask

from chicoryhold.clock import BootClock
from chicoryhold.errors import AddressInUse
from chicoryhold.targets.cancellation import Cancellation

QUEUED_REQUESTS = "chicoryhold.queued_requests"
ARRIVED_AT = "chicoryhold.arrived_at"
CANCELLATION = "chicoryhold.cancellation"
CONNECTION_LIMIT = 1_000
LOOP_SECONDS = 5  # longest sleep; work and answers wake the loop at once
READ_AHEAD = 1  # requests; reading on is how a caller that left is noticed
CONNECTION_IDLE_SECONDS = 30
LARGEST_HEADERS = 65_536
LARGEST_BODY = 1_048_576


_CLOCK = BootClock()


def never() -> bool:
    """Return false: the default for a server that keeps its connections."""
    return False


def _channel_class(should_close: Callable[[], bool]) -> type[HTTPChannel]:
    """Return a channel that closes after each answer while ``closing()`` is true.

    The application finds under ``QUEUED_REQUESTS`` how many requests wait for a
    thread, which waitress itself doesn't bound; under ``ARRIVED_AT`` when the request
    was whole, on the boot clock; and under ``CANCELLATION`` what is set when the
    caller closes its connection.

    WSGI forbids an application to send the Connection header, and waitress answers
    500 if it does, so the wish has to come from below the application.
    """

    class Task(WSGITask):
        def get_environment(self) -> dict:
            environ = super().get_environment()
            channel = self.channel
            environ[QUEUED_REQUESTS] = len(channel.server.task_dispatcher.queue)
            environ[ARRIVED_AT] = channel.arrived_at
            environ[CANCELLATION] = channel.begin_cancellation()
            return environ

        def build_response_header(self) -> bytes:
            if should_close():
                self.request.headers["CONNECTION"] = "close"
            return super().build_response_header()

    class Channel(HTTPChannel):
        task_class = Task
        arrived_at = 0.0
        cancellation: Cancellation | None = None

        def received(self, data: bytes) -> bool:
            self.arrived_at = _CLOCK.now()
            return super().received(data)

        def begin_cancellation(self) -> Cancellation:
            self.cancellation = Cancellation()
            if not self.connected:
                self.cancellation.set()
            return self.cancellation

        def handle_close(self) -> None:
            super().handle_close()
            if self.cancellation is not None:
                self.cancellation.set()

    return Channel


@contextmanager
def serve_http(
    app: Callable, address: str, *, threads: int,
    should_close: Callable[[], bool] = never,
    max_body_bytes: int = LARGEST_BODY,
    idle_timeout_seconds: int = CONNECTION_IDLE_SECONDS,
) -> Iterator[int]:  # fmt: skip
    """Serve a WSGI application in a background thread; yields the port.

    ``largest_body`` in bytes; ``idle_seconds`` is how long a connection may be idle.
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
            channel_timeout=idle_timeout_seconds,
            channel_request_lookahead=READ_AHEAD,
            asyncore_use_poll=True,
            asyncore_loop_timeout=LOOP_SECONDS,
            max_request_header_size=LARGEST_HEADERS,
            max_request_body_size=max_body_bytes,
        )
    except OSError as error:
        raise AddressInUse(
            f"can't listen on {address}: {error.strerror}; stop the other process or "
            "change the address in the settings"
        ) from error
    server.channel_class = _channel_class(should_close)
    thread = threading.Thread(target=server.run, name="http", daemon=True)
    thread.start()
    try:
        yield server.effective_port
    finally:
        server.close()

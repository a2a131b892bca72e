"""Stand-in targets that note when requests arrive, are answered and are broken off.

The header ``Work-Seconds`` sets how long a request works, ``Answer-Bytes`` how long its
answer is. A target that leaves says so in all its answers. One that turns a request
away mostly sends the refusal again, before the next answer on that connection.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from random import Random

from bench.stops.records import Arrival, Ledger

HEALTH_PATH = "/health"
POLL_SECONDS = 0.1
MILLISECONDS_PER_SECOND = 1000
OTHER_INSTANCE_STATUS = 421
COPIED_SHARE = 0.7  # of the refusals


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def setup(self) -> None:
        super().setup()
        self.is_idle = True
        self._copied_id = ""
        self.server.handlers.add(self)

    def finish(self) -> None:
        self.server.handlers.discard(self)
        super().finish()

    def log_message(self, format: str, *arguments: object) -> None:
        return

    def do_GET(self) -> None:
        self.is_idle = False
        try:
            self._handle()
        finally:
            self.is_idle = True
            self.close_connection |= self.server.has_ended

    do_POST = do_GET

    def _handle(self) -> None:
        if self.path == HEALTH_PATH:
            self._answer(503 if self.server.is_leaving else 200, 0)
        elif self.headers.get("Expect-Instance") in (None, self.server.instance):
            self._handle_request()
        else:
            self._refuse()

    def _refuse(self) -> None:
        """Turn away a request that is meant for another instance, without notice."""
        try:
            self._read_body()
            self._answer(OTHER_INSTANCE_STATUS, 0)
        except OSError:
            self.close_connection = True
        if self.server.random.random() < COPIED_SHARE:
            self._copied_id = self.headers.get("Request-Id", "")

    def _handle_request(self) -> None:
        arrival = self.server.ledger.add_arrival(
            self.headers["Request-Id"],
            self.server.incarnation,
            source=self.client_address[0],
        )
        try:
            self._read_body()
            arrival.read_at = time.monotonic()
            if self._work(arrival.read_at):
                self._answer_request(arrival)
                return
        except OSError:
            pass
        arrival.broken_at = time.monotonic()
        self.close_connection = True

    def _read_body(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        if len(self.rfile.read(length)) < length:
            raise ConnectionError("the connection ended before the body")

    def _work(self, started_at: float) -> bool:
        """Work until the request is done or its deadline passes.

        Returns whether the connection is still there.
        """
        end_at = started_at + min(self._work_seconds, self._deadline_seconds)
        poll = select.poll()
        poll.register(self.connection, select.POLLIN)
        while (remaining := end_at - time.monotonic()) > 0:
            if poll.poll(remaining * MILLISECONDS_PER_SECOND):
                return bool(self.connection.recv(1, socket.MSG_PEEK))
        return True

    @property
    def _work_seconds(self) -> float:
        return float(self.headers.get("Work-Seconds", 0))

    @property
    def _deadline_seconds(self) -> float:
        return int(self.headers["Deadline-Ms"]) / MILLISECONDS_PER_SECOND

    def _answer_request(self, arrival: Arrival) -> None:
        in_time = self._work_seconds <= self._deadline_seconds
        size = int(self.headers.get("Answer-Bytes", 0)) if in_time else 0
        self._answer(200 if in_time else 504, size)
        arrival.answered_at = time.monotonic()

    def _answer(self, status: int, size: int) -> None:
        copied_id, self._copied_id = self._copied_id, ""
        if copied_id:
            self._write_answer(OTHER_INSTANCE_STATUS, 0, copied_id)
        self._write_answer(status, size, self.headers.get("Request-Id", ""))
        self.wfile.flush()

    def _write_answer(self, status: int, size: int, request_id: str) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(size))
        self.send_header("Instance-Id", self.server.instance)
        if self.server.is_leaving:
            self.send_header("Server-Leaving", "1")
        if self.server.is_leaving and self.server.closes_when_leaving:
            self.send_header("Connection", "close")
        if status == OTHER_INSTANCE_STATUS:
            self.send_header("Not-Executed", "1")
        if request_id:
            self.send_header("Request-Id", request_id)
        if request_id and status != OTHER_INSTANCE_STATUS:
            self.send_header("Server-Seal", self.server.incarnation)
        self.end_headers()
        self.wfile.write(bytes(size))


class StopTarget(ThreadingHTTPServer):
    """One incarnation of a target; it answers after the time that a request names.

    ``address`` is ``ip:port``, where port 0 stands for a free one. ``born_ms`` is the
    start in Unix milliseconds. With ``closes_when_leaving`` the answers of a target
    that leaves also close their connections.
    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(
        self, *, address: str, instance: str, born_ms: int, ledger: Ledger,
        closes_when_leaving: bool = False,
    ) -> None:  # fmt: skip
        ip, port = address.split(":")
        super().__init__((ip, int(port)), _Handler)
        self.instance = instance
        self.born_ms = born_ms
        self.ledger = ledger
        self.address = f"{ip}:{self.server_port}"
        self.closes_when_leaving = closes_when_leaving
        self.is_leaving = False
        self.has_ended = False
        self.handlers: set[_Handler] = set()
        self.random = Random(instance)

    @property
    def incarnation(self) -> str:
        return f"{self.instance}/{self.born_ms}"

    def handle_error(self, request: object, client_address: object) -> None:
        """Leave connections that end between requests without notice."""

    @contextmanager
    def running(self) -> Iterator[None]:
        threading.Thread(
            target=self.serve_forever, args=[POLL_SECONDS], daemon=True
        ).start()
        try:
            yield
        finally:
            self.end()

    def end(self) -> None:
        """Take no more connections and requests; those at work are answered."""
        self.shutdown()
        self.server_close()
        self.has_ended = True
        for handler in tuple(self.handlers):
            if handler.is_idle:
                _end_reading(handler.connection)


def _end_reading(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        pass  # it has ended by itself

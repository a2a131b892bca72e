"""A simulated target, which announces itself, responds to requests and injects faults.

The request header ``Trial`` selects a fault: ``short`` or ``long`` (the body is shorter
or longer than its Content-Length), ``swapped`` (a wrong request ID), ``silent`` (no
response), ``die`` (the process exits), ``crash SECONDS`` (all connections end, the port
refuses new ones for this long, then a new instance announces itself), ``shed``
(refused, not run), ``error`` (status 500) or ``slow SECONDS``. ``GET /trial/seen``,
sent directly to the target, returns all requests that ran here, also those before a
crash. ``GET /trial/limit/RATE`` makes each later answer name this limit, and without a
rate none again. ``GET /trial/leave`` makes each later answer say that the target
leaves, while it goes on to announce itself as before.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from uuid import uuid4

import urllib3
from absl import flags

from chicoryhold.callers.target_answers import (
    LEAVING_HEADER,
    LEAVING_VALUE,
    LIMIT_HEADER,
)
from chicoryhold.programs.running import run_program

USAGE = """Runs a simulated target.

usage: %s --service=NAME --address=IP:PORT --entry=IP:PORT,... --token=TOKEN
"""
LIMIT_PATH = "/trial/limit/"
LEAVE_PATH = "/trial/leave"
ANNOUNCE_INTERVAL_SECONDS = 0.5
ANNOUNCE_TIMEOUT_SECONDS = 3.0
CRASH_CHECK_INTERVAL_SECONDS = 0.02
MAX_DRAIN_SECONDS = 10.0

_SERVICE = flags.DEFINE_string("service", "menus", "The service that it provides.")
_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:0", "The listening address.")
_ENTRY = flags.DEFINE_list("entry", [], "Entry hosts to announce itself to.")
_TOKEN = flags.DEFINE_string("token", "", "The announcement token.")
_SLOTS = flags.DEFINE_integer(
    "slots", 4, "Number of requests it can handle concurrently."
)
_LINGER = flags.DEFINE_float(
    "linger", 0.0, "Seconds between the end of draining and the exit."
)
_DELAY = flags.DEFINE_float("delay", 0.0, "Seconds by which each response is delayed.")


class _RequestLog:
    """The requests that ran here and the highest number that ran concurrently."""

    def __init__(self) -> None:
        self.requests: list[dict] = []
        self.concurrent = 0
        self.max_concurrent = 0
        self.limit: str | None = None
        self.is_leaving = False
        self.lock = threading.Lock()


_REQUEST_LOG = _RequestLog()


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # With Nagle's algorithm, each response would wait for the caller's delayed
    # acknowledgement.
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *arguments: object) -> None:
        return

    def do_GET(self) -> None:
        if self.path == "/trial/seen":
            self._send_request_log()
        elif self.path.startswith(LIMIT_PATH):
            _REQUEST_LOG.limit = self.path.removeprefix(LIMIT_PATH) or None
            self._respond(200, b"")
        elif self.path == LEAVE_PATH:
            _REQUEST_LOG.is_leaving = True
            self._respond(200, b"")
        else:
            self._handle_request()

    def do_POST(self) -> None:
        self._handle_request()

    do_PUT = do_DELETE = do_POST

    def _handle_request(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        fault, _, value = self.headers.get("Trial", "").partition(" ")
        if fault == "shed":
            self._respond(503, b"busy", extra={"Chicoryhold-Ran": "no"})
            return
        with _REQUEST_LOG.lock:
            _REQUEST_LOG.concurrent += 1
            _REQUEST_LOG.max_concurrent = max(
                _REQUEST_LOG.max_concurrent, _REQUEST_LOG.concurrent
            )
            _REQUEST_LOG.requests.append(
                {
                    "method": self.command,
                    "path": self.path,
                    "headers": dict(self.headers.items()),
                    "body": body.decode("latin-1"),
                    "at": time.monotonic(),
                }
            )
            number = len(_REQUEST_LOG.requests)
        try:
            time.sleep(_DELAY.value)
            self._respond_with_fault(fault, value, number)
        finally:
            with _REQUEST_LOG.lock:
                _REQUEST_LOG.concurrent -= 1

    def _respond_with_fault(self, fault: str, value: str, number: int) -> None:
        body = json.dumps(
            {
                "service": _SERVICE.value,
                "path": self.path,
                "number": number,
                "organisation": self.headers.get("Chicoryhold-Organisation", ""),
            }
        ).encode()
        if fault == "slow":
            time.sleep(float(value))
        if fault == "silent":
            time.sleep(3600)
        if fault == "die":
            os._exit(1)
        if fault == "crash":
            self.server.crash(float(value))
            self.close_connection = True
            return
        if fault == "short":
            self._respond(200, body, content_length=len(body) + 10)
            self.close_connection = True
        elif fault == "long":
            self._respond(200, body, content_length=len(body) - 10)
        elif fault == "swapped":
            self._respond(200, body, request_id=uuid4().hex)
        elif fault == "error":
            self._respond(500, b"failed")
        else:
            self._respond(200, body)

    def _respond(
        self, status: int, body: bytes, *, content_length: int | None = None,
        request_id: str | None = None, extra: dict[str, str] | None = None,
    ) -> None:  # fmt: skip
        own_request_id = self.headers.get("Chicoryhold-Request-Id", "")
        self.send_response(status)
        self.send_header(
            "Content-Length",
            str(len(body) if content_length is None else content_length),
        )
        self.send_header("Chicoryhold-Request-Id", request_id or own_request_id)
        if _REQUEST_LOG.limit is not None:
            self.send_header(LIMIT_HEADER, _REQUEST_LOG.limit)
        if _REQUEST_LOG.is_leaving:
            self.send_header(LEAVING_HEADER, LEAVING_VALUE)
        for name, text in (extra or {}).items():
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def _send_request_log(self) -> None:
        with _REQUEST_LOG.lock:
            request_log = {
                "requests": list(_REQUEST_LOG.requests),
                "most_at_once": _REQUEST_LOG.max_concurrent,
            }
        self._respond(200, json.dumps(request_log).encode())


class _Server(ThreadingHTTPServer):
    """Accepts requests until it crashes; ``down_seconds`` is how long it stays down."""

    daemon_threads = True

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(address, _Handler)
        self.crashed = threading.Event()
        self.down_seconds = 0.0
        self._sockets: set[socket.socket] = set()

    def get_request(self) -> tuple[socket.socket, object]:
        connection, address = super().get_request()
        self._sockets.add(connection)
        return connection, address

    def close_request(self, request: socket.socket) -> None:
        self._sockets.discard(request)
        super().close_request(request)

    def crash(self, seconds: float) -> None:
        """Stop listening and end all connections, as when the process crashes."""
        self.down_seconds = seconds
        # Closing alone would have no effect while another thread waits for it.
        self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()
        for connection in list(self._sockets):
            with contextlib.suppress(OSError):  # its caller has closed it
                connection.shutdown(socket.SHUT_RDWR)
        self.crashed.set()


class _Announcer:
    """Renews the target's announcement at the first entry host that accepts it."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._instance = uuid4().hex
        self._sequence = 0
        self._pool = urllib3.PoolManager(retries=False)

    def announce(self, *, draining: bool) -> int | None:
        """Return how many requests entry hosts have in flight to this target.

        Returns ``None`` if no entry host accepted the announcement.
        """
        self._sequence += 1
        announcement = {
            "service": _SERVICE.value,
            "address": self._address,
            "instance": self._instance,
            "sequence": self._sequence,
            "slots": _SLOTS.value,
            "connections": 900,
            "draining": draining,
            "load": 0.0,
        }
        for entry in _ENTRY.value:
            requests_in_flight = self._send(entry, announcement)
            if requests_in_flight is not None:
                return requests_in_flight
        return None

    def _send(self, entry: str, announcement: dict) -> int | None:
        headers = {"Authorization": f"Bearer {_TOKEN.value}"}
        url = f"http://{entry}/v1/announcements"
        try:
            response = self._pool.request(
                "POST",
                url,
                json=announcement,
                headers=headers,
                timeout=ANNOUNCE_TIMEOUT_SECONDS,
            )
            return response.json()["in_use"] if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None


def _main(arguments: list[str]) -> None:
    host, _, port = _ADDRESS.value.rpartition(":")
    stopping = threading.Event()
    signal.signal(signal.SIGTERM, lambda number, frame: stopping.set())
    address = (host, int(port))
    while not stopping.is_set():
        server = _Server(address)
        _REQUEST_LOG.is_leaving = False
        address = server.server_address
        threading.Thread(target=server.serve_forever, daemon=True).start()
        _announce_until_end(server, stopping)
        stopping.wait(server.down_seconds)


def _announce_until_end(server: _Server, stopping: threading.Event) -> None:
    """Return when the server has crashed, or has drained because of a stop."""
    host, port = server.server_address[:2]
    announcer = _Announcer(f"{host}:{port}")
    next_due = time.monotonic() + ANNOUNCE_INTERVAL_SECONDS
    while not stopping.wait(CRASH_CHECK_INTERVAL_SECONDS):
        if server.crashed.is_set():
            return
        if time.monotonic() >= next_due:
            next_due = time.monotonic() + ANNOUNCE_INTERVAL_SECONDS
            announcer.announce(draining=False)
    while announcer.announce(draining=True):
        time.sleep(0.1)
    time.sleep(_LINGER.value)
    _wait_until_answered()


def _wait_until_answered() -> None:
    """Wait for the requests that the target works on, for a limited time."""
    deadline = time.monotonic() + MAX_DRAIN_SECONDS
    while _REQUEST_LOG.concurrent and time.monotonic() < deadline:
        time.sleep(CRASH_CHECK_INTERVAL_SECONDS)


if __name__ == "__main__":
    run_program(_main, usage=USAGE)

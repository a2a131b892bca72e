"""Stand-in targets that note when requests arrive, are answered and are broken off.

The header ``Work-Seconds`` sets how long a request works, ``Answer-Bytes`` how long its
answer is.
"""

from __future__ import annotations

import json
import select
import socket
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from bench.calls import call
from bench.stops.records import Arrival, Ledger

HEALTH_PATH = "/health"
REPORT_INTERVAL_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.1
MILLISECONDS_PER_SECOND = 1000


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format: str, *arguments: object) -> None:
        return

    def do_GET(self) -> None:
        if self.path == HEALTH_PATH:
            self._answer(200, 0)
            return
        self._handle_request()

    def do_POST(self) -> None:
        self._handle_request()

    def _handle_request(self) -> None:
        arrival = self.server.ledger.add_arrival(
            self.headers["Request-Id"], self.server.instance
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
        self.send_response(status)
        self.send_header("Content-Length", str(size))
        self.send_header("Instance-Id", self.server.instance)
        if "Request-Id" in self.headers:
            self.send_header("Request-Id", self.headers["Request-Id"])
            self.send_header("Server-Seal", f"seal-{self.server.instance}")
        self.end_headers()
        self.wfile.write(bytes(size))
        self.wfile.flush()


class StopTarget(ThreadingHTTPServer):
    """A target that answers each request after the time that it names."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *, ip: str, instance: str, ledger: Ledger) -> None:
        super().__init__((ip, 0), _Handler)
        self.instance = instance
        self.ledger = ledger
        self.address = f"{ip}:{self.server_port}"

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
            self.shutdown()
            self.server_close()


class Reporter:
    """Reports the targets to the control host again and again."""

    def __init__(
        self, *, control: tuple[str, int], targets: Sequence[StopTarget],
        service: str, domain: str, slots: int,
    ) -> None:  # fmt: skip
        self._control = control
        self._targets = targets
        self._service = service
        self._domain = domain
        self._slots = slots
        self._born_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        self._sequence = 0
        self._closing = threading.Event()

    @contextmanager
    def running(self) -> Iterator[None]:
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        try:
            yield
        finally:
            self._closing.set()
            thread.join()

    def _run(self) -> None:
        while True:
            self._sequence += 1
            for target in self._targets:
                self._report(target)
            if self._closing.wait(REPORT_INTERVAL_SECONDS):
                return

    def _report(self, target: StopTarget) -> None:
        report = {
            "address": target.address,
            "born": self._born_ms,
            "info": {
                "service": self._service,
                "version": "v1",
                "zone": self._domain,
                "slots": self._slots,
            },
            "status": {"state": "ready", "sequence": self._sequence, "cold_left_s": 0},
        }
        # A report without an answer isn't sent again: the next one follows soon.
        call(
            self._control,
            "PUT",
            f"/instances/{target.instance}",
            body=json.dumps(report),
            timeout=REPORT_TIMEOUT_SECONDS,
        )


@contextmanager
def running_targets(
    *, count: int, ip: str, service: str, ledger: Ledger
) -> Iterator[Sequence[StopTarget]]:
    """Run targets of one service until the block ends."""
    with ExitStack() as stack:
        targets = [
            StopTarget(ip=ip, instance=f"i-{service}-{number}", ledger=ledger)
            for number in range(count)
        ]
        for target in targets:
            stack.enter_context(target.running())
        yield targets

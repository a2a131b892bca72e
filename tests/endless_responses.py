"""Responses that never end, and exchanges with the targets that send them."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from chicoryhold.clock import BootClock
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.dialect import Dialect
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse
from tests.sick_target import BLOCK, ID_HEADER, Script, SickTarget, dribbled, head

LENIENT = Dialect(request_id_header=ID_HEADER, lenient_framing=True)
DEADLINE_SECONDS = 0.8
SLACK_SECONDS = 0.3
MAX_BODY_BYTES = 16 * 1024 * 1024
GIVE_UP_SECONDS = 4.0  # a hanging exchange is reported after this time
CHUNKED = head("Transfer-Encoding: chunked")
HEADS = {
    "head, dribbled": dribbled("HTTP/1.1 200 OK\r\nDate: "),
    "status line": Script(repeated=BLOCK),
    "header line": Script(start="HTTP/1.1 200 OK\r\nDate: ", repeated=BLOCK),
    "header lines": Script(
        start="HTTP/1.1 200 OK\r\n", repeated=b"A: " + b"x" * 60_000 + b"\r\n"
    ),
    "100 Continue": Script(repeated=b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "103 Early Hints": Script(repeated=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "headers of an interim head": Script(
        start="HTTP/1.1 100 Continue\r\n", repeated=b"A: b\r\n" * 1000
    ),
}
BODIES = {
    "body without length": Script(start=head(), repeated=BLOCK),
    "body without length, dribbled": dribbled(head()),
    "body longer than any that is kept": Script(
        start=head(f"Content-Length: {1 << 40}"), repeated=BLOCK
    ),
    "body with length, dribbled": dribbled(head("Content-Length: 1000")),
    "chunks": Script(start=CHUNKED, repeated=b"10000\r\n" + BLOCK + b"\r\n"),
    "chunks, dribbled": dribbled(CHUNKED + "fff\r\n"),
    "chunk size": Script(start=CHUNKED, repeated=b"0" * 65_536),
    "chunk size, dribbled": Script(start=CHUNKED, repeated=b"0", interval=0.02),
    "chunk extensions": Script(
        start=CHUNKED, repeated=b"1;" + b"x" * 60_000 + b"\r\nx\r\n"
    ),
    "trailers": Script(start=CHUNKED + "0\r\n", repeated=b"A: b\r\n" * 1000),
    "trailers, dribbled": dribbled(CHUNKED + "0\r\nA: "),
}
SLOW_TO_END = [name for name in {**HEADS, **BODIES} if name.endswith("dribbled")]


def an_outgoing_request(request_id: str = "r1", body: bytes = b"") -> OutgoingRequest:
    return OutgoingRequest(
        request_id=request_id,
        method="POST" if body else "GET",
        path="/",
        headers={},
        body=body,
        at_most_once=False,
    )


def exchange(
    connections: TargetConnections, target: SickTarget, request: OutgoingRequest
) -> TargetResponse:
    deadline = BootClock().now() + DEADLINE_SECONDS
    return connections.exchange(
        target.address, request, deadline=deadline, stale_connection_deadline=deadline
    )


def run_with_time_limit(action: Callable[[], object]) -> tuple[object, float]:
    """Return the result or exception of ``action``, and its duration in seconds.

    Fails if it takes longer than ``GIVE_UP_SECONDS``.
    """
    results: list[object] = []

    def run() -> None:
        try:
            results.append(action())
        except Exception as error:
            results.append(error)

    started = time.monotonic()
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(GIVE_UP_SECONDS)
    assert results, f"still running after {GIVE_UP_SECONDS} s"
    return results[0], time.monotonic() - started

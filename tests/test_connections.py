"""Connections to targets: reuse of idle ones and opening them in advance."""

from __future__ import annotations

import socket
import threading

import pytest
from loguru import logger

from chicoryhold.clock import BootClock
from chicoryhold.errors import RequestNotSent
from chicoryhold.targets.checked_connection import CheckedConnection
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest
from chicoryhold.trial.fleet import wait_until

WAIT_SECONDS = 5.0


class CountingTarget:
    """Responds to each request and counts the connections."""

    def __init__(self) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.accepted = threading.Semaphore(0)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.accepted.release()
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while request := connection.recv(65_536).decode():
                headers = dict(
                    line.split(": ", 1)
                    for line in request.split("\r\n")
                    if ": " in line
                )
                request_id = headers["Chicoryhold-Request-Id"]
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                    + f"Chicoryhold-Request-Id: {request_id}\r\n\r\nok".encode()
                )

    def close(self) -> None:
        self._socket.close()


def a_request(
    *, method: str = "GET", at_most_once: bool = False, cross_region: bool = False
) -> OutgoingRequest:
    return OutgoingRequest(
        request_id="r1",
        method=method,
        path="/",
        headers={},
        body=b"",
        at_most_once=at_most_once,
        cross_region=cross_region,
    )


def send(
    connections: TargetConnections, target: CountingTarget, *, cross_region: bool
) -> None:
    clock = BootClock()
    request = a_request(cross_region=cross_region)
    deadline = clock.now() + WAIT_SECONDS
    response = connections.exchange(
        target.address, request, deadline=deadline, stale_connection_deadline=deadline
    )
    assert response.body == b"ok"


def test_a_connection_to_another_region_is_opened_before_it_is_needed():
    # Without preconnecting, one in three requests to another region waited for its
    # connection to open and missed the latency objective for that reason alone.
    target = CountingTarget()
    connections = TargetConnections(clock=BootClock())
    connections.preconnect(target.address)
    assert target.accepted.acquire(timeout=WAIT_SECONDS)
    wait_until(
        lambda: connections.idle_count(target.address),
        what="idle",
        timeout=WAIT_SECONDS,
    )
    send(connections, target, cross_region=True)
    # That exchange opens a connection for the next request.
    assert target.accepted.acquire(timeout=WAIT_SECONDS)
    send(connections, target, cross_region=True)
    assert not target.accepted.acquire(timeout=0.2)
    target.close()


def test_preconnecting_to_an_unreachable_target_leaves_no_idle_connection():
    connections = TargetConnections(clock=BootClock())
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # nobody listens there
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        connections.preconnect(address)
        connections.stop_preconnecting()
    assert connections.idle_count(address) == 0


def test_an_error_while_preconnecting_is_logged():
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level} {message} {extra[address]}")
    connections = TargetConnections(clock=BootClock())
    try:
        connections.preconnect("an address without a port")
        connections.stop_preconnecting()
    finally:
        logger.remove(sink)
    assert len(lines) == 1
    assert lines[0].startswith("ERROR connections:")
    assert "an address without a port" in lines[0]


class ClosedConnection(CheckedConnection):
    """A connection that the target closes just before the request is sent."""

    def connect(self) -> None:
        super().connect()
        self.sock.shutdown(socket.SHUT_RDWR)


@pytest.mark.parametrize("seconds", [WAIT_SECONDS, 0.0])
def test_a_request_of_which_no_byte_was_sent_is_known_not_to_have_run(
    seconds, monkeypatch
):
    # Guards against 502 and 504 for requests that reached no target.
    monkeypatch.setattr(
        "chicoryhold.targets.connections.CheckedConnection", ClosedConnection
    )
    target = CountingTarget()
    clock = BootClock()
    deadline = clock.now() + seconds
    with pytest.raises(RequestNotSent):
        TargetConnections(clock=clock).exchange(
            target.address,
            a_request(method="POST", at_most_once=True),
            deadline=deadline,
            stale_connection_deadline=deadline,
        )
    target.close()

"""TCP timeouts: lost connections are noticed, and slow targets are not cut."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest

from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed
from chicoryhold.hosts.bus import TCP_MAX_RETRANSMIT_MS, Bus, running_bus
from chicoryhold.hosts.transport import PlaintextTransport
from chicoryhold.http.server import CALLER_LOSS_TIMEOUT_SECONDS, serve_http
from chicoryhold.targets.checked_connection import CheckedConnection
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse
from chicoryhold.targets.limited_reader import ExchangeDeadlines
from chicoryhold.trial.fleet import wait_until
from tests.packet_loss import accept_packets, drop_packets, open_tcp_sockets

PROBE_SECONDS = 1.0  # of silence before the first keep-alive probe
LONG_BODY_BYTES = 16 * 1024 * 1024
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nChicoryhold-Request-Id: r1\r\n\r\nok"
)
BUS_PORT = 7926


@contextmanager
def target(serve: Callable[[socket.socket], None]) -> Iterator[str]:
    """Yield the address of a target that calls ``serve`` with its only connection."""
    listener = socket.create_server(("127.0.0.1", 0))

    def run() -> None:
        connection, _ = listener.accept()
        with connection:
            serve(connection)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}"
    finally:
        listener.close()
        thread.join()


def exchange(
    address: str, *, seconds: float, early_seconds: float, body: bytes = b"",
    may_give_up: Callable[[], bool] = lambda: True,
) -> TargetResponse:  # fmt: skip
    request = OutgoingRequest(
        request_id="r1",
        method="POST",
        path="/",
        headers={},
        body=body,
        at_most_once=True,
    )
    now = BootClock().now()
    return TargetConnections(clock=BootClock()).exchange(
        address,
        request,
        deadline=now + seconds,
        stale_connection_deadline=now + early_seconds,
        may_give_up=may_give_up,
    )


def read_request(connection: socket.socket, *, body_bytes: int = 0) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(65_536)
    left = body_bytes - len(received.partition(b"\r\n\r\n")[2])
    while left > 0:
        left -= len(connection.recv(min(left, 1_048_576)))


def test_one_lost_probe_does_not_cut_a_request_that_has_no_other_attempt():
    # At 2.5% loss in each direction, 1 in 20 such requests was cut in each second.
    def serve(connection: socket.socket) -> None:
        read_request(connection)
        time.sleep(PROBE_SECONDS - 0.2)
        drop_packets(connection)
        time.sleep(0.7)
        accept_packets(connection)
        time.sleep(PROBE_SECONDS)
        connection.sendall(RESPONSE)

    with target(serve) as address:
        assert exchange(address, seconds=4, early_seconds=4).body == b"ok"


def test_pause_of_a_target_that_reads_a_long_body_does_not_cut_the_request():
    def serve(connection: socket.socket) -> None:
        time.sleep(2.2)
        read_request(connection, body_bytes=LONG_BODY_BYTES)
        connection.sendall(RESPONSE)

    with target(serve) as address:
        body = b"x" * LONG_BODY_BYTES
        assert exchange(address, seconds=6, early_seconds=6, body=body).body == b"ok"


def test_lost_connection_fails_while_there_is_time_for_another_attempt():
    def serve(connection: socket.socket) -> None:
        read_request(connection)
        drop_packets(connection)
        time.sleep(4)

    with target(serve) as address:
        started = time.monotonic()
        with pytest.raises(ExchangeFailed):
            exchange(address, seconds=6, early_seconds=1)
        assert time.monotonic() - started < 3


@pytest.mark.parametrize("may_give_up", [True, False])
def test_a_response_that_stalls_is_given_up_only_for_another_attempt(may_give_up):
    """Guards against LOST: a target at work is broken off, and none is asked next."""
    asked: list[None] = []

    def serve(connection: socket.socket) -> None:
        read_request(connection)
        connection.sendall(RESPONSE[:10])
        time.sleep(1.2)
        with suppress(OSError):
            connection.sendall(RESPONSE[10:])

    def ask() -> bool:
        asked.append(None)
        return may_give_up

    with target(serve) as address:
        if may_give_up:
            with pytest.raises(ExchangeFailed):
                exchange(address, seconds=4, early_seconds=0.6, may_give_up=ask)
        else:
            response = exchange(address, seconds=4, early_seconds=0.6, may_give_up=ask)
            assert response.body == b"ok"
    assert len(asked) == 1


@pytest.mark.parametrize(
    ("early_seconds", "expected_ms"),
    [(0.3, 1_000), (1.5, 2_000), (4.0, 4_000), (600.0, 10_000)],
)
def test_loss_timeout_follows_the_time_that_an_attempt_may_last(
    clock, early_seconds, expected_ms
):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        connection = CheckedConnection(host=host, port=port, timeout=1, clock=clock)
        connection.connect()
        early = clock.now() + early_seconds
        connection.start_exchange(ExchangeDeadlines(final=early + 1, early=early))
        assert user_timeout_ms(connection.sock) == expected_ms
        assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        connection.end_exchange()
        assert user_timeout_ms(connection.sock) == 1_000
        connection.close()


def user_timeout_ms(sock: socket.socket) -> int:
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_callers_connections_have_keep_alive_probes_and_a_loss_timeout():
    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    with serve_http(app, "127.0.0.1:0", threads=1) as server:
        with socket.create_connection(("127.0.0.1", server.port)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert caller.recv(65_536)
            with open_tcp_sockets() as sockets:
                accepted = next(
                    s for s in sockets if s.getpeername() == caller.getsockname()
                )
                assert accepted.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
                assert user_timeout_ms(accepted) == CALLER_LOSS_TIMEOUT_SECONDS * 1000


def test_bus_has_a_loss_timeout_on_both_sides_and_no_probes_that_it_would_end():
    def a_bus(ip: str) -> Bus:
        transport = PlaintextTransport(name=ip, port=BUS_PORT)
        return Bus(name=ip, address=f"{ip}:{BUS_PORT}", transport=transport)

    def bus_sockets(sockets: list[socket.socket]) -> list[socket.socket]:
        return [
            sock
            for sock in sockets
            if BUS_PORT in (sock.getsockname()[1], sock.getpeername()[1])
        ]

    def connected_sockets() -> int:
        with open_tcp_sockets() as sockets:
            return len(bus_sockets(sockets))

    with running_bus(a_bus("127.0.9.1")) as bus, running_bus(a_bus("127.0.9.2")):
        bus.connect("127.0.9.2")
        wait_until(lambda: connected_sockets() == 2, what="connected", timeout=5.0)
        with open_tcp_sockets() as sockets:
            for sock in bus_sockets(sockets):
                assert user_timeout_ms(sock) == TCP_MAX_RETRANSMIT_MS
                assert not sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)

"""Which idle connections to targets are used again, and for which requests."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator

import attrs
import pytest

from chicoryhold.errors import ExchangeFailed
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest
from chicoryhold.targets.idle_connections import DOUBT_SECONDS, IdleConnections
from tests.conftest import FakeClock

ADDRESS = "10.0.0.9:8080"
KEEP_ALIVE_SECONDS = 9.0
DEADLINE_SECONDS = 5.0


@attrs.define(eq=False)
class OpenConnection:
    """A connection and the target's end of it."""

    sock: socket.socket
    peer: socket.socket

    def close(self) -> None:
        self.sock.close()


@pytest.fixture
def connection() -> Iterator[OpenConnection]:
    sock, peer = socket.socketpair()
    with sock, peer:
        yield OpenConnection(sock=sock, peer=peer)


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def idle(clock, connection) -> IdleConnections:
    idle = IdleConnections(clock=clock)
    idle.keep(ADDRESS, connection, KEEP_ALIVE_SECONDS)
    return idle


def may_reuse(idle: IdleConnections, *, at_most_once: bool) -> bool:
    return idle.take(ADDRESS, at_most_once=at_most_once) is not None


@pytest.mark.parametrize(
    ("seconds", "at_most_once", "expected"),
    [
        (3.9, True, True),
        (4.1, True, False),
        (8.9, False, True),
        (9.1, False, False),
    ],
)
def test_a_connection_is_reused_while_it_is_likely_to_be_alive(
    idle, clock, seconds, at_most_once, expected
):
    clock.advance(seconds)
    assert may_reuse(idle, at_most_once=at_most_once) is expected


@pytest.mark.parametrize(("seconds", "expected"), [(0.4, True), (0.6, False)])
def test_after_a_lost_connection_no_request_that_must_not_run_twice_risks_another(
    idle, clock, seconds, expected
):
    idle.record_lost()
    clock.advance(seconds)
    assert may_reuse(idle, at_most_once=True) is expected


def test_a_lost_connection_is_forgotten_after_a_time(clock, connection):
    idle = IdleConnections(clock=clock)
    idle.record_lost()
    clock.advance(DOUBT_SECONDS)
    idle.keep(ADDRESS, connection, KEEP_ALIVE_SECONDS)
    clock.advance(3.0)
    assert may_reuse(idle, at_most_once=True)


@pytest.mark.parametrize("at_most_once", [False, True])
def test_a_connection_that_the_target_has_closed_is_not_reused(
    idle, connection, at_most_once
):
    connection.peer.close()
    assert not may_reuse(idle, at_most_once=at_most_once)


@pytest.mark.parametrize("at_most_once", [False, True])
def test_a_connection_with_unread_bytes_is_not_reused(idle, connection, at_most_once):
    connection.peer.sendall(b"HTTP/1.1 200 OK\r\n")
    assert not may_reuse(idle, at_most_once=at_most_once)


class ForgetfulTarget:
    """Answers the first request of each connection and resets it at the second."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.accepted = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.accepted += 1
            threading.Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            if connection.recv(65_536):
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=9\r\n"
                    b"Chicoryhold-Request-Id: r1\r\n\r\n"
                )
            connection.recv(65_536)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # reset when closed
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def test_one_reset_of_an_idle_connection_keeps_later_requests_off_all_others(clock):
    # Targets may forget idle connections sooner than they state.
    first, second = ForgetfulTarget(), ForgetfulTarget()
    connections = TargetConnections(clock=clock)

    def send(target: ForgetfulTarget, *, at_most_once: bool) -> None:
        connections.exchange(
            target.address,
            OutgoingRequest(
                request_id="r1",
                method="POST",
                path="/",
                headers={},
                body=b"",
                at_most_once=at_most_once,
            ),
            deadline=clock.now() + DEADLINE_SECONDS,
            stale_connection_deadline=clock.now() + DEADLINE_SECONDS,
        )

    send(first, at_most_once=True)
    send(second, at_most_once=True)
    clock.advance(1.0)
    with pytest.raises(ExchangeFailed):
        send(first, at_most_once=False)
    send(second, at_most_once=True)
    assert second.accepted == 2
    first.close()
    second.close()

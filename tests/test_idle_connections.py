"""Which idle connections to targets are used again, and for which requests."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack
from itertools import count

import attrs
import pytest

from chicoryhold.errors import ExchangeFailed
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import OutgoingRequest
from chicoryhold.targets.idle_connections import DOUBT_SECONDS, IdleConnections
from chicoryhold.targets.sent_ids import MAX_SENT_IDS, SentIds
from tests.conftest import FakeClock

ADDRESS = "10.0.0.9:8080"
KEEP_ALIVE_SECONDS = 9.0
DEADLINE_SECONDS = 5.0


@attrs.define(eq=False)
class OpenConnection:
    """A connection and the target's end of it."""

    sock: socket.socket
    peer: socket.socket
    sent_ids: SentIds = attrs.field(factory=SentIds)

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


def may_reuse(
    idle: IdleConnections, *, at_most_once: bool, request_id: str = "r9"
) -> bool:
    taken = idle.take(ADDRESS, request_id=request_id, at_most_once=at_most_once)
    return taken is not None


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


@pytest.mark.parametrize("at_most_once", [False, True])
@pytest.mark.parametrize("request_id", ["r1", ""])
def test_no_id_is_sent_again_over_a_connection(
    idle, connection, request_id, at_most_once
):
    connection.sent_ids.add(request_id)
    assert not may_reuse(idle, at_most_once=at_most_once, request_id=request_id)


def test_another_id_goes_over_a_connection_that_was_used(idle, connection):
    connection.sent_ids.add("r1")
    assert may_reuse(idle, at_most_once=True, request_id="r2")


def test_an_id_that_was_sent_goes_over_the_connection_that_has_not_carried_it(
    idle, connection
):
    sock, peer = socket.socketpair()
    with sock, peer:
        later = OpenConnection(sock=sock, peer=peer)
        later.sent_ids.add("r1")
        idle.keep(ADDRESS, later, KEEP_ALIVE_SECONDS)
        entry = idle.take(ADDRESS, request_id="r1", at_most_once=True)
        assert entry.connection is connection
        assert idle.count(ADDRESS) == 1


def test_an_id_that_comes_again_and_again_adds_no_connection(clock):
    idle = IdleConnections(clock=clock)
    with ExitStack() as stack:
        for _ in range(5):
            assert not may_reuse(idle, at_most_once=True, request_id="r1")
            sock, peer = (stack.enter_context(s) for s in socket.socketpair())
            connection = OpenConnection(sock=sock, peer=peer)
            connection.sent_ids.add("r1")
            idle.keep(ADDRESS, connection, KEEP_ALIVE_SECONDS)
    assert idle.count(ADDRESS) == 1


def test_a_connection_that_remembers_no_further_id_is_not_kept(clock, connection):
    idle = IdleConnections(clock=clock)
    for number in range(MAX_SENT_IDS):
        assert not connection.sent_ids.is_full
        connection.sent_ids.add(f"r{number}")
    assert all(f"r{number}" in connection.sent_ids for number in range(MAX_SENT_IDS))
    idle.keep(ADDRESS, connection, KEEP_ALIVE_SECONDS)
    assert not may_reuse(idle, at_most_once=False)


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
            if head := connection.recv(65_536):
                _, _, rest = head.partition(b"Chicoryhold-Request-Id: ")
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=9\r\n"
                    b"Chicoryhold-Request-Id: "
                    + rest.partition(b"\r\n")[0]
                    + b"\r\n\r\n"
                )
            connection.recv(65_536)
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # reset when closed
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def test_one_reset_of_an_idle_connection_keeps_later_requests_off_all_others(clock):
    # Targets may forget idle connections sooner than they state.
    first, second = ForgetfulTarget(), ForgetfulTarget()
    connections = TargetConnections(clock=clock)

    numbers = count()

    def send(target: ForgetfulTarget, *, at_most_once: bool) -> None:
        connections.exchange(
            target.address,
            OutgoingRequest(
                request_id=f"r{next(numbers)}",
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

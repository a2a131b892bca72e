"""Callers get connections although others hold many idle ones."""

from __future__ import annotations

import threading
from collections.abc import Callable
from contextlib import ExitStack

import attrs
import pytest
from hypothesis import given, strategies as st

from chicoryhold.clock import BootClock
from chicoryhold.http.connection_room import ConnectionRoom
from chicoryhold.http.server import serve_http
from tests.client_connections import Answer, Connection, HttpRequest, connected
from tests.conftest import FakeClock

LIMIT = 20
TIMEOUT_SECONDS = 5.0
GET = HttpRequest(method="GET", path="/")


@attrs.define(eq=False)
class App:
    """Answers at once, but holds ``/hold`` until it is released."""

    released: threading.Event = attrs.field(factory=threading.Event)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        if environ["PATH_INFO"] == "/hold":
            self.released.wait(TIMEOUT_SECONDS)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


def serving(app: App):
    return serve_http(app, "127.0.0.1:0", threads=8, max_connections=LIMIT)


def test_new_callers_are_answered_although_others_hold_all_connections_idle():
    # On a day with a burst of one organisation, hosts held 1,000 connections of
    # callers, accepted no other for ten seconds, and read requests only after their
    # callers had left.
    with serving(App()) as server, ExitStack() as stack:
        address = ("127.0.0.1", int(server.port))
        for _ in range(5 * LIMIT):
            connection = stack.enter_context(connected(address))
            assert isinstance(connection.exchange(GET), Answer)
        wait_until(lambda: server.connection_count <= LIMIT + 1)


def test_connections_with_a_request_are_not_closed_to_make_room():
    app = App()
    with serving(app) as server, ExitStack() as stack:
        address = ("127.0.0.1", int(server.port))
        busy: list[Connection] = []
        for _ in range(4):
            connection = stack.enter_context(connected(address))
            connection.send(HttpRequest(method="GET", path="/hold").head)
            busy.append(connection)
        wait_until(lambda: len(server.open_requests()) == len(busy))
        for _ in range(3 * LIMIT):
            connection = stack.enter_context(connected(address))
            assert isinstance(connection.exchange(GET), Answer)
        app.released.set()
        assert all(isinstance(each.read_answer(), Answer) for each in busy)


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = BootClock().now() + TIMEOUT_SECONDS
    while not condition():
        assert BootClock().now() < deadline, "the condition wasn't met in time"
        threading.Event().wait(0.005)


@attrs.frozen
class FakeConnection:
    last_activity: float
    may_be_closed: bool


CONNECTIONS = st.lists(
    st.builds(FakeConnection, st.floats(0, 100), st.booleans()), max_size=60
)


@given(connections=CONNECTIONS)
def test_only_idle_connections_are_closed_and_the_longest_idle_first(connections):
    room = ConnectionRoom(limit=LIMIT, clock=FakeClock())
    closed = room.surplus(connections)
    idle = [each for each in connections if each.may_be_closed]
    excess = len(connections) - LIMIT
    assert all(each.may_be_closed for each in closed)
    assert len(closed) >= min(excess, len(idle))
    assert closed or excess <= 0 or not idle
    kept = list(idle)
    for each in closed:
        kept.remove(each)
    if closed and kept:
        assert max(c.last_activity for c in closed) <= min(
            k.last_activity for k in kept
        )


@pytest.mark.parametrize("idle", [0, 1, LIMIT - 1])
def test_while_too_few_connections_are_idle_a_search_is_not_repeated_at_once(idle):
    clock = FakeClock()
    room = ConnectionRoom(limit=LIMIT, clock=clock)
    busy = [FakeConnection(0.0, False)] * (2 * LIMIT - idle)
    assert len(room.surplus(busy + [FakeConnection(0.0, True)] * idle)) == idle
    connections = [FakeConnection(0.0, True)] * (2 * LIMIT)
    assert not room.surplus(connections)
    clock.advance(0.1)
    assert room.surplus(connections)

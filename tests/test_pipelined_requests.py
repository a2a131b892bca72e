"""Requests that a caller sends before it has got the responses to earlier ones."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import pytest

from chicoryhold.clock import BootClock
from chicoryhold.http.channel import ARRIVED_AT, CANCELLATION
from chicoryhold.http.pipeline import MAX_SIDE_BY_SIDE
from chicoryhold.http.server import HttpServer, serve_http
from chicoryhold.targets.cancellation import Cancellation
from tests.client_connections import (
    Answer,
    Connection,
    HttpRequest,
    NoAnswer,
    connected,
)

TIMEOUT_SECONDS = 5.0
SETTLE_SECONDS = 0.1  # for what must not happen
COUNT = 10


@attrs.define(eq=False)
class GatedApp:
    """Answers with the request's path and body; paths may be held, fail or close.

    A path that begins with ``/hold`` waits until ``release`` has been called for it.
    """

    started: list[str] = attrs.field(factory=list)
    arrivals: dict[str, float] = attrs.field(factory=dict)
    cancelled: set[str] = attrs.field(factory=set)
    cancellations: dict[str, Cancellation] = attrs.field(factory=dict)
    most_at_once: int = 0
    _gates: dict[str, threading.Event] = attrs.field(factory=dict)
    _at_once: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        path = environ["PATH_INFO"]
        with self._lock:
            self.started.append(path)
            self.arrivals[path] = environ[ARRIVED_AT]
            self.cancellations[path] = environ[CANCELLATION]
            self._at_once += 1
            self.most_at_once = max(self.most_at_once, self._at_once)
        body = path.encode() + b":" + environ["wsgi.input"].read()
        if path.startswith("/hold"):
            self.gate(path).wait(TIMEOUT_SECONDS)
        with self._lock:
            self._at_once -= 1
        if environ[CANCELLATION].is_set:
            self.cancelled.add(path)
        if path.startswith("/fail"):
            raise RuntimeError("this request fails")
        if path.startswith("/refuse"):
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return []
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def gate(self, path: str) -> threading.Event:
        with self._lock:
            return self._gates.setdefault(path, threading.Event())

    def release(self, path: str) -> None:
        self.gate(path).set()


def overlaps_reads(*, host: str, path: str) -> bool:
    return "once" not in path


@contextmanager
def serving(
    app: GatedApp, *, threads: int = 16, closes: bool = False, overlaps: bool = True
) -> Iterator[HttpServer]:
    rule = {"may_overlap": overlaps_reads} if overlaps else {}
    address = "127.0.0.1:0"
    with serve_http(
        app, address, threads=threads, should_close=lambda: closes, **rule
    ) as server:
        yield server


def connect(server: HttpServer):
    return connected(("127.0.0.1", int(server.port)))


def wait_until(condition: Callable[[], bool]) -> None:
    deadline = BootClock().now() + TIMEOUT_SECONDS
    while not condition():
        assert BootClock().now() < deadline, "the condition wasn't met in time"
        threading.Event().wait(0.005)


def requests(*paths: str) -> list[HttpRequest]:
    return [HttpRequest(method="GET", path=path) for path in paths]


def wire(sent: list[HttpRequest]) -> bytes:
    return b"".join(request.head + request.body for request in sent)


def read_answers(connection: Connection, count: int) -> list[Answer | NoAnswer]:
    return [connection.read_answer() for _ in range(count)]


def bodies(answers: list[Answer | NoAnswer]) -> list[bytes]:
    assert all(isinstance(answer, Answer) for answer in answers), answers
    return [answer.body for answer in answers]


@pytest.mark.parametrize("overlaps", [False, True])
def test_ten_requests_in_one_segment_get_their_own_answers_in_order(overlaps):
    app = GatedApp()
    sent = requests(*(f"/{n}" for n in range(COUNT)))
    with serving(app, overlaps=overlaps) as server, connect(server) as connection:
        connection.send(wire(sent))
        answers = read_answers(connection, COUNT)
    assert bodies(answers) == [f"/{n}:".encode() for n in range(COUNT)]


@pytest.mark.parametrize("overlaps", [False, True])
def test_requests_in_single_bytes_with_bodies_and_chunks_get_their_own_answers(
    overlaps,
):
    chunked = (
        b"POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    with_body = HttpRequest(method="POST", path="/b", body=b"GET /x HTTP/1.1\r\n\r\n")
    data = wire(requests("/a")) + wire([with_body]) + chunked + wire(requests("/d"))
    app = GatedApp()
    with serving(app, overlaps=overlaps) as server, connect(server) as connection:
        for n in range(len(data)):
            connection.send(data[n : n + 1])
        answers = read_answers(connection, 4)
    assert bodies(answers) == [b"/a:", b"/b:" + with_body.body, b"/c:abcde", b"/d:"]
    assert sorted(app.started) == ["/a", "/b", "/c", "/d"]


def test_requests_do_not_wait_for_a_slow_one_before_them():
    app = GatedApp()
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/1", "/2")))
        wait_until(lambda: len(app.started) == 3)
        assert not connection.has_data()
        app.release("/hold")
        assert bodies(read_answers(connection, 3)) == [b"/hold:", b"/1:", b"/2:"]


def test_answers_that_get_ready_in_reverse_leave_in_order():
    app = GatedApp()
    paths = [f"/hold{n}" for n in range(MAX_SIDE_BY_SIDE)]
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests(*paths)))
        wait_until(lambda: len(app.started) == len(paths))
        for path in reversed(paths):
            app.release(path)
        answers = read_answers(connection, len(paths))
    assert bodies(answers) == [f"{path}:".encode() for path in paths]


def test_one_connection_has_no_more_than_its_share_handled_at_once():
    app = GatedApp()
    paths = [f"/hold{n}" for n in range(COUNT)]
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests(*paths)))
        wait_until(lambda: len(app.started) == MAX_SIDE_BY_SIDE)
        for path in paths:
            app.release(path)
        assert len(bodies(read_answers(connection, COUNT))) == COUNT
    assert app.most_at_once == MAX_SIDE_BY_SIDE


def test_a_request_that_must_not_run_twice_is_handled_alone():
    app = GatedApp()
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/once", "/1")))
        wait_until(lambda: app.started == ["/hold"])
        threading.Event().wait(SETTLE_SECONDS)
        assert app.started == ["/hold"]
        app.release("/hold")
        assert bodies(read_answers(connection, 3)) == [b"/hold:", b"/once:", b"/1:"]
    assert app.most_at_once == 1


def test_few_threads_answer_all_requests_all_the_same():
    app = GatedApp()
    sent = requests(*(f"/{n}" for n in range(COUNT)))
    with serving(app, threads=1) as server, connect(server) as connection:
        connection.send(wire(sent))
        answers = read_answers(connection, COUNT)
    assert bodies(answers) == [f"/{n}:".encode() for n in range(COUNT)]
    assert sorted(app.started) == [f"/{n}" for n in range(COUNT)]


def test_a_refused_request_leaves_the_others_their_answers():
    app = GatedApp()
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/refuse", "/2")))
        app.release("/hold")
        answers = read_answers(connection, 3)
    assert [answer.status for answer in answers] == [200, 503, 200]
    assert answers[2].body == b"/2:"


def test_an_early_request_that_fails_is_answered_in_its_turn_and_ends_the_connection():
    app = GatedApp()
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/fail", "/2")))
        wait_until(lambda: len(app.started) == 3)
        app.release("/hold")
        first, second, third = read_answers(connection, 3)
    assert (first.status, second.status) == (200, 500)
    assert second.closes
    assert isinstance(third, NoAnswer)


def test_what_is_behind_an_answer_that_closes_the_connection_is_not_handled():
    app = GatedApp()
    closing = HttpRequest(
        method="GET", path="/last", headers=(("Connection", "close"),)
    )
    with serving(app) as server, connect(server) as connection:
        connection.send(wire([*requests("/hold"), closing, *requests("/2", "/3")]))
        wait_until(lambda: sorted(app.started) == ["/hold", "/last"])
        app.release("/hold")
        answers = read_answers(connection, 3)
    assert bodies(answers[:2]) == [b"/hold:", b"/last:"]
    assert isinstance(answers[2], NoAnswer)
    assert sorted(app.started) == ["/hold", "/last"]


def test_requests_behind_one_that_fails_are_cancelled():
    app = GatedApp()
    with serving(app) as server, connect(server) as connection:
        connection.send(wire(requests("/fail", "/hold")))
        assert connection.read_answer().status == 500
        wait_until(lambda: server.is_idle and not server.connection_count)
        cancellation = app.cancellations.get("/hold")
        wait_until(lambda: cancellation is None or cancellation.is_set)
        app.release("/hold")


@pytest.mark.parametrize("overlaps", [False, True])
def test_what_waits_is_not_handled_when_its_caller_has_left(overlaps):
    app = GatedApp()
    running = MAX_SIDE_BY_SIDE if overlaps else 1
    held = [f"/hold{n}" for n in range(running)]
    with serving(app, overlaps=overlaps) as server:
        with connect(server) as connection:
            connection.send(wire(requests(*held, "/1", "/2", "/3", "/4", "/5")))
            wait_until(lambda: len(app.started) == running)
        wait_until(lambda: not server._server.active_channels)
        wait_until(lambda: all(app.cancellations[path].is_set for path in held))
        for path in held:
            app.release(path)
        wait_until(lambda: app.cancelled == set(held))
        wait_until(lambda: server.is_idle)
    assert sorted(app.started) == held


@pytest.mark.parametrize("overlaps", [False, True])
def test_the_time_of_a_waiting_request_runs_from_when_it_was_read(overlaps):
    app = GatedApp()
    with serving(app, overlaps=overlaps) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/once")))
        wait_until(lambda: app.started == ["/hold"])
        read_by = BootClock().now()
        threading.Event().wait(SETTLE_SECONDS)
        connection.send(wire(requests("/2"))[:-5])  # one more, not complete yet
        threading.Event().wait(SETTLE_SECONDS)
        app.release("/hold")
        assert len(bodies(read_answers(connection, 2))) == 2
    assert app.arrivals["/once"] <= read_by


def test_a_connection_that_is_to_close_answers_all_that_was_read_first():
    app = GatedApp()
    with serving(app, closes=True) as server, connect(server) as connection:
        connection.send(wire(requests("/hold", "/1", "/2")))
        wait_until(lambda: len(app.started) == 3)
        app.release("/hold")
        answers = read_answers(connection, 3)
    assert bodies(answers) == [b"/hold:", b"/1:", b"/2:"]
    assert [answer.closes for answer in answers] == [False, False, True]


def test_a_large_body_is_followed_by_no_second_one_in_memory():
    app = GatedApp()
    big = HttpRequest(method="POST", path="/hold", body=b"x" * 1_000_000)
    more = HttpRequest(method="POST", path="/2", body=b"y" * 1_000_000)
    with serving(app) as server, connect(server) as connection:
        connection.send(wire([big, more]))
        wait_until(lambda: app.started == ["/hold", "/2"] or len(app.started) == 1)
        app.release("/hold")
        answers = read_answers(connection, 2)
    assert bodies(answers) == [b"/hold:" + big.body, b"/2:" + more.body]

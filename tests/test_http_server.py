"""The HTTP server's own thread."""

from __future__ import annotations

import http.client
import os
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest
from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.server import BaseWSGIServer

from chicoryhold.http.caller_sockets import has_ended
from chicoryhold.http.channel import Channel
from chicoryhold.http.pipeline import ReceivedRequest
from chicoryhold.http.server import serve_http

EXIT_TIMEOUT_SECONDS = 5.0


@pytest.fixture
def exits(monkeypatch) -> list[int]:
    """Return the exit codes with which the process would have ended."""
    codes: list[int] = []
    monkeypatch.setattr(os, "_exit", codes.append)
    return codes


def app(environ: dict, start_response: Callable) -> list[bytes]:
    start_response("204 No Content", [])
    return []


def short_app(environ: dict, start_response: Callable) -> list[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def threads_named_http() -> list[threading.Thread]:
    return [thread for thread in threading.enumerate() if thread.name == "http"]


def test_a_server_thread_that_fails_ends_the_process(monkeypatch, exits):
    def fail(server: BaseWSGIServer) -> None:
        raise RuntimeError("the loop failed")

    monkeypatch.setattr(BaseWSGIServer, "run", fail)
    with serve_http(app, "127.0.0.1:0", threads=1):
        for thread in threads_named_http():
            thread.join(EXIT_TIMEOUT_SECONDS)
        assert exits == [70]


def test_an_error_of_a_server_that_is_being_closed_ends_nothing(monkeypatch, exits):
    closed = threading.Event()

    def fail_when_closed(server: BaseWSGIServer) -> None:
        closed.wait()
        raise OSError("bad file descriptor")

    monkeypatch.setattr(BaseWSGIServer, "run", fail_when_closed)
    with serve_http(app, "127.0.0.1:0", threads=1):
        threads = threads_named_http()
    closed.set()
    for thread in threads:
        thread.join(EXIT_TIMEOUT_SECONDS)
    assert exits == []


def test_a_request_is_cancelled_if_its_caller_left_before_the_server_could_read_that():
    channel = Channel.__new__(Channel)
    channel.connected = True
    channel._cancellable = set()
    request = ReceivedRequest(Adjustments())
    channel.socket, caller = socket.socketpair()
    with channel.socket:
        assert not channel.new_cancellation(request).is_set
        caller.close()
        assert channel.new_cancellation(request).is_set


def test_a_caller_that_has_sent_its_next_request_has_not_left():
    server, caller = socket.socketpair()
    with server, caller:
        caller.sendall(b"G")
        assert not has_ended(server)
        assert server.recv(1) == b"G"


def test_a_connection_is_not_polled_for_writing_while_its_response_is_being_sent():
    # The server's thread polled some 36 times a request, and took from the thread that
    # sent the response the processor that this one needed to end.
    channel = Channel.__new__(Channel)
    channel.outbuf_lock = threading.Condition()
    channel.total_outbufs_len = 5
    assert channel.writable()
    asked = []
    with channel.outbuf_lock:
        other = threading.Thread(target=lambda: asked.append(channel.writable()))
        other.start()
        other.join()
    assert asked == [False]
    assert channel.writable()


def test_requests_cost_a_few_polls_each(monkeypatch):
    polls = []
    poll = wasyncore.poll2
    monkeypatch.setattr(wasyncore, "poll2", lambda *a: (polls.append(1), poll(*a)))
    requests = 200
    with serve_http(short_app, "127.0.0.1:0", threads=4) as server:
        connection = http.client.HTTPConnection("127.0.0.1", int(server.port))
        for _ in range(requests):
            connection.request("GET", "/")
            assert connection.getresponse().read() == b"ok"
        connection.close()
    assert len(polls) < 5 * requests


def test_a_short_response_is_sent_in_one_piece():
    with serve_http(short_app, "127.0.0.1:0", threads=1) as server:
        address = ("127.0.0.1", int(server.port))
        with socket.create_connection(address) as caller:
            for _ in range(20):
                caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                received = caller.recv(65_536)
                assert received.startswith(b"HTTP/1.1 200 OK\r\n")
                assert received.endswith(b"\r\n\r\nok")


def test_requests_whose_callers_left_before_they_were_read_are_not_handled():
    # A host that was short of processor time worked for six seconds on some 200 of
    # these a second, while the requests behind them got too old as well.
    handled: list[str] = []
    held, reading = threading.Event(), threading.Event()

    def record(environ: dict, start_response: Callable) -> list[bytes]:
        handled.append(environ["PATH_INFO"])
        return short_app(environ, start_response)

    def hold() -> None:
        reading.set()
        held.wait(EXIT_TIMEOUT_SECONDS)

    with serve_http(record, "127.0.0.1:0", threads=4, drops_departed=True) as server:
        address = ("127.0.0.1", int(server.port))
        server.call_soon(hold)
        assert reading.wait(EXIT_TIMEOUT_SECONDS)
        for _ in range(20):
            with socket.create_connection(address) as caller:
                caller.sendall(b"GET /left HTTP/1.1\r\nHost: h\r\n\r\n")
        waiting = http.client.HTTPConnection(*address, timeout=EXIT_TIMEOUT_SECONDS)
        waiting.request("GET", "/waits")
        held.set()
        assert waiting.getresponse().read() == b"ok"
        waiting.close()
        assert server.departure_count == 20
    assert handled == ["/waits"]


def test_what_did_not_fit_into_the_socket_is_sent_while_the_application_goes_on():
    # The server's thread is woken while the output is still locked.
    rest = threading.Event()
    first = b"x" * 8_000_000

    def slow_app(environ: dict, start_response: Callable) -> Iterator[bytes]:
        start_response("200 OK", [("Content-Length", str(len(first) + 1))])
        yield first
        rest.wait(EXIT_TIMEOUT_SECONDS)
        yield b"y"

    with serve_http(slow_app, "127.0.0.1:0", threads=1) as server:
        connection = http.client.HTTPConnection("127.0.0.1", int(server.port))
        for _ in range(5):
            rest.clear()
            connection.request("GET", "/")
            response = connection.getresponse()
            started = time.monotonic()
            assert response.read(len(first)) == first
            assert time.monotonic() - started < EXIT_TIMEOUT_SECONDS / 2
            rest.set()
            assert response.read() == b"y"
        connection.close()

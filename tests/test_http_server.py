"""The HTTP server's own thread."""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Callable

import pytest
from waitress.adjustments import Adjustments
from waitress.server import BaseWSGIServer

from chicoryhold.http_channel import Channel, has_ended
from chicoryhold.http_pipeline import ReceivedRequest
from chicoryhold.http_server import serve_http

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

"""Errors that only libraries notice are written to our log."""

from __future__ import annotations

import logging
import socket
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import Future

import pytest
import urllib3
from loguru import logger

from chicoryhold.http.server import serve_http
from chicoryhold.logs import forward_library_errors
from chicoryhold.trial.fleet import wait_until


@pytest.fixture
def log(monkeypatch) -> Iterator[list[str]]:
    """Yield the log lines, each with its level, that are written during the test."""
    monkeypatch.setattr(logging.getLogger(), "handlers", [])
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level} {message}", backtrace=False)
    forward_library_errors()
    yield lines
    logger.remove(sink)


def test_an_error_of_an_http_application_is_logged(log):
    def app(environ: dict, start_response: Callable) -> list[bytes]:
        raise RuntimeError("a programming error")

    with serve_http(app, "127.0.0.1:0", threads=1) as server:
        url = f"http://127.0.0.1:{server.port}/path"
        assert urllib3.request("GET", url, retries=False).status == 500
    assert [line for line in log if line.startswith("ERROR library: waitress")]
    assert "a programming error" in "".join(log)


def test_an_error_of_a_callback_of_a_future_is_logged(log):
    def fail(done: Future) -> None:
        raise RuntimeError("a programming error")

    future: Future = Future()
    future.add_done_callback(fail)
    future.set_result(None)
    assert len(log) == 1
    assert log[0].startswith("ERROR library: concurrent.futures")
    assert "a programming error" in log[0]


def test_a_request_that_ends_after_its_server_logs_no_error(log):
    """Its thread wakes the server's, which is closed by then."""
    begun, closed = threading.Event(), threading.Event()

    def app(environ: dict, start_response: Callable) -> list[bytes]:
        begun.set()
        closed.wait(5)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    with serve_http(app, "127.0.0.1:0", threads=1) as server:
        caller = socket.create_connection(("127.0.0.1", int(server.port)))
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert begun.wait(5)
    closed.set()
    wait_until(
        lambda: any("after the server" in line for line in log),
        what="the request to end",
        timeout=5,
    )
    caller.close()
    assert not [line for line in log if line.startswith("ERROR")]

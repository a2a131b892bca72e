"""The memory that the bodies of requests hold is bounded."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import pytest

from chicoryhold.http.body_buffers import MappedBuffer
from chicoryhold.http.channel import BODY_REFUSED
from chicoryhold.http.server import HttpServer, serve_http
from chicoryhold.shared_memory import GUARANTEED_BYTES, SharedMemory
from chicoryhold.targets.response_parser import request_bytes

MEBIBYTE = 1024 * 1024
TOTAL_BYTES = 5 * MEBIBYTE
LONG_BYTES = 2 * MEBIBYTE
WAIT_SECONDS = 10.0


class Watched(SharedMemory):
    """Keeps the highest sum that was held."""

    def __init__(self) -> None:
        super().__init__(total_bytes=TOTAL_BYTES)
        self.peak_bytes = 0

    def try_reserve(self, count: int, *, size: int) -> bool:
        has_room = super().try_reserve(count, size=size)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return has_room


def app(environ: dict, start_response: Callable) -> list[bytes]:
    body = environ["wsgi.input"].read()
    text = b"refused" if environ[BODY_REFUSED] else str(len(body)).encode()
    status = "503 Service Unavailable" if environ[BODY_REFUSED] else "200 OK"
    start_response(status, [("Content-Length", str(len(text)))])
    return [text]


@pytest.fixture
def memory() -> Watched:
    return Watched()


@pytest.fixture
def server(memory) -> Iterator[HttpServer]:
    with serve_http(
        app, "127.0.0.1:0", threads=4, max_body_bytes=64 * MEBIBYTE, body_memory=memory
    ) as server:
        yield server


@contextmanager
def caller(server: HttpServer, head: str) -> Iterator[socket.socket]:
    address = ("127.0.0.1", int(server.port))
    with socket.create_connection(address, WAIT_SECONDS) as sock:
        sock.sendall(f"POST / HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n".encode())
        yield sock


def status_of(sock: socket.socket) -> int:
    return int(sock.recv(65_536).split()[1])


def send(server: HttpServer, size: int) -> int:
    with caller(server, f"Content-Length: {size}") as sock:
        sock.sendall(b"x" * size)
        return status_of(sock)


def wait_until(condition: Callable[[], bool]) -> None:
    limit = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < limit, "the condition isn't met"
        time.sleep(0.005)


def test_long_bodies_at_once_hold_no_more_than_the_bound_and_short_ones_pass(
    server, memory
):
    statuses: list[int] = []
    with caller(server, f"Content-Length: {LONG_BYTES}") as first:
        wait_until(lambda: memory.used_bytes == LONG_BYTES)
        threads = [
            threading.Thread(target=lambda: statuses.append(send(server, LONG_BYTES)))
            for _ in range(8)
        ]
        for thread in threads:
            thread.start()
        short = [send(server, 2_000) for _ in range(50)]
        for thread in threads:
            thread.join(WAIT_SECONDS)
        first.sendall(b"x" * LONG_BYTES)
        statuses.append(status_of(first))
    assert short == [200] * 50
    assert len(statuses) == 9
    assert set(statuses) <= {200, 503}
    assert statuses[-1] == 200
    assert memory.peak_bytes <= TOTAL_BYTES + GUARANTEED_BYTES
    wait_until(lambda: memory.used_bytes == 0)


def test_a_body_without_room_is_dropped_and_its_connection_goes_on(server, memory):
    with caller(server, f"Content-Length: {TOTAL_BYTES + 1}") as sock:
        sock.sendall(b"x" * (TOTAL_BYTES + 1))
        assert status_of(sock) == 503
        sock.sendall(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab")
        assert status_of(sock) == 200
    assert memory.refusal_count == 1


def test_a_caller_that_asks_first_is_refused_before_it_sends_the_body(server):
    head = f"Content-Length: {TOTAL_BYTES + 1}\r\nExpect: 100-continue"
    with caller(server, head) as sock:
        assert status_of(sock) == 503


def test_a_chunked_body_is_refused_as_soon_as_it_is_too_long(server, memory):
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    with caller(server, "Transfer-Encoding: chunked") as sock:
        sock.sendall(chunk * (TOTAL_BYTES // 0x10000 + 1))
        wait_until(lambda: memory.refusal_count == 1 and memory.used_bytes == 0)
        sock.sendall(b"0\r\n\r\n")
        assert status_of(sock) == 503


def test_a_caller_that_leaves_in_the_middle_gives_its_room_back(server, memory):
    with caller(server, f"Content-Length: {LONG_BYTES}") as sock:
        sock.sendall(b"x" * 1000)
        wait_until(lambda: memory.used_bytes == LONG_BYTES)
    wait_until(lambda: memory.used_bytes == 0)


def test_a_long_chunked_body_arrives_whole(server, memory):
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    with caller(server, "Transfer-Encoding: chunked") as sock:
        sock.sendall(chunk * 32 + b"0\r\n\r\n")
        assert sock.recv(65_536).endswith(str(32 * 0x10000).encode())
    wait_until(lambda: memory.used_bytes == 0)


def test_a_long_body_is_sent_to_a_target_without_a_copy():
    buffer = MappedBuffer(LONG_BYTES, on_free=lambda: None)
    buffer.append(b"x" * LONG_BYTES)
    body = buffer.view()
    headers = [("Host", "a"), ("Content-Length", str(LONG_BYTES))]
    assert request_bytes("POST", "/", headers, body)[-1] is body


def test_the_room_of_a_body_is_not_given_back_while_its_memory_is_used():
    freed = threading.Event()
    buffer = MappedBuffer(LONG_BYTES, on_free=freed.set)
    buffer.append(b"x" * LONG_BYTES)
    body = buffer.view()
    buffer.close()
    assert not freed.is_set()
    assert bytes(body[-2:]) == b"xx"
    del body
    assert freed.is_set()


def test_a_stop_in_the_middle_gives_the_room_back(server, memory):
    with caller(server, f"Content-Length: {LONG_BYTES}") as sock:
        wait_until(lambda: memory.used_bytes == LONG_BYTES)
        server.refuse_waiting()
        server.close_when_idle()
        assert sock.recv(65_536).startswith(b"HTTP/1.1 ")
        wait_until(lambda: memory.used_bytes == 0)

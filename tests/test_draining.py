"""Stops of a server: requests that it has read are answered or refused."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import contextmanager

import attrs
import pytest

from chicoryhold.clock import BootClock
from chicoryhold.http.channel import ARRIVED_AT
from chicoryhold.http.open_requests import RequestState
from chicoryhold.http.server import HttpServer, serve_http
from chicoryhold.programs.draining import (
    Drain,
    DrainEnd,
    DrainReport,
    DrainTiming,
    control_drain_timing,
    drain_timing,
)
from chicoryhold.programs.signals import StopSignal
from chicoryhold.trial.fleet import wait_until

WORK_SECONDS = 0.3
TIMEOUT_SECONDS = 0.6  # the deadline of a request, from its arrival on
WAIT_SECONDS = 10.0
TIMING = DrainTiming(
    min_seconds=0.2,
    idle_seconds=0.1,
    refuse_after=1.0,
    answer_within=1.5,
    end_after=2.5,
)
LARGE_BODY = b"x" * 8_000_000
READ_BYTES = 1_000_000
READ_PAUSE_SECONDS = 0.05


@attrs.define(kw_only=True)
class WorkingApp:
    """Works for a time on what may be taken, refuses the rest.

    ``released`` ends the work before its time.
    """

    drain: Drain
    seconds: float = WORK_SECONDS
    released: threading.Event = attrs.field(factory=threading.Event)
    body: bytes = b"ok"
    runs: int = 0
    ended: int = 0
    refusals: int = 0

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        environ["wsgi.input"].read()
        if not self.drain.may_take(environ[ARRIVED_AT] + TIMEOUT_SECONDS):
            self.refusals += 1
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return []
        self.runs += 1
        self.released.wait(self.seconds)
        self.ended += 1
        start_response("200 OK", [("Content-Length", str(len(self.body)))])
        return [self.body]


@attrs.frozen(kw_only=True)
class Host:
    """A server with its drain, which ``stop`` runs in the background."""

    app: WorkingApp
    drain: Drain
    stopping: StopSignal
    server: HttpServer
    threads: ThreadPoolExecutor

    def connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            "127.0.0.1", int(self.server.port), timeout=WAIT_SECONDS
        )
        connection.connect()
        return connection

    def stop(self) -> Future[DrainReport]:
        self.stopping.set()
        return self.threads.submit(self.drain.run, [self.server])

    def wait_for_open(self, state: RequestState, count: int = 1) -> None:
        wait_until(
            lambda: sum(r.state is state for r in self.server.open_requests()) >= count,
            what=f"{count} requests {state}",
            timeout=WAIT_SECONDS,
        )


@contextmanager
def running_host(
    *, timing: DrainTiming = TIMING, threads: int = 8, **app_fields: object
) -> Iterator[Host]:
    stopping = StopSignal(clock=BootClock())
    drain = Drain(clock=BootClock(), timing=timing, stopping=stopping)
    app = WorkingApp(drain=drain, **app_fields)
    serving = serve_http(
        app, "127.0.0.1:0", threads=threads, should_close=lambda: drain.is_started
    )
    with serving as server, ThreadPoolExecutor() as executor:
        yield Host(
            app=app, drain=drain, stopping=stopping, server=server, threads=executor
        )


def send_get(connection: http.client.HTTPConnection) -> int | None:
    """Return the status, or ``None`` if the connection ended without an answer."""
    try:
        connection.request("GET", "/")
        response = connection.getresponse()
        response.read()
    except (OSError, http.client.HTTPException):
        return None
    return response.status


def test_no_request_that_was_read_is_cut_by_the_end_of_a_drain():
    with running_host() as host:
        connections = [host.connect() for _ in range(60)]
        report = host.stop()
        handled_at_end: list[int] = []
        report.add_done_callback(
            lambda done: handled_at_end.append(host.app.runs + host.app.refusals)
        )
        started = time.monotonic()

        def send_late(number: int) -> int | None:
            # One connection after the other, until the process would be gone.
            due = started + number * TIMING.end_after / len(connections)
            time.sleep(max(0.0, due - time.monotonic()))
            return send_get(connections[number])

        with ThreadPoolExecutor(len(connections)) as callers:
            statuses = list(callers.map(send_late, range(len(connections))))
        assert report.result(WAIT_SECONDS).cut == ()
        assert statuses.count(200) == host.app.runs > 0
        assert statuses.count(503) == host.app.refusals
        assert handled_at_end == [host.app.runs + host.app.refusals]


def test_a_request_whose_deadline_is_after_the_end_of_the_drain_is_refused_at_once():
    long = attrs.evolve(TIMING, answer_within=TIMEOUT_SECONDS - 0.1)
    with running_host(timing=long) as host:
        kept = host.connect()
        report = host.stop()
        asked = time.monotonic()
        assert send_get(kept) == 503
        assert time.monotonic() - asked < WORK_SECONDS
        assert host.app.runs == 0
        assert host.app.refusals == 1
        assert report.result(WAIT_SECONDS).cut == ()


def test_a_request_that_runs_for_the_whole_drain_is_answered():
    with running_host(seconds=TIMING.refuse_after + 0.4) as host:
        answer = host.threads.submit(send_get, host.connect())
        host.wait_for_open(RequestState.RUNNING)
        report = host.stop().result(WAIT_SECONDS)
        assert answer.result(WAIT_SECONDS) == 200
        assert report.end is DrainEnd.LIMIT
        assert report.cut == ()


def test_a_large_response_that_is_read_slowly_is_whole_when_the_drain_ends():
    with running_host(seconds=0.0, body=LARGE_BODY) as host:
        connection = host.connect()
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        connection.request("GET", "/")
        response = connection.getresponse()
        host.wait_for_open(RequestState.RESPONDING)
        report = host.stop()
        received = len(response.read(READ_BYTES))
        time.sleep(TIMING.min_seconds + 3 * TIMING.idle_seconds)
        assert not report.done()
        while part := response.read(READ_BYTES):
            received += len(part)
            time.sleep(READ_PAUSE_SECONDS)
        assert received == len(LARGE_BODY)
        assert report.result(WAIT_SECONDS).cut == ()


def test_a_response_is_whole_though_its_caller_has_sent_more_than_the_host_reads():
    with running_host(body=LARGE_BODY) as host:
        connection = host.connect()
        connection.request("GET", "/")
        host.wait_for_open(RequestState.RUNNING)
        report = host.stop()
        host.wait_for_open(RequestState.RESPONDING)
        connection.sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        response = connection.getresponse()
        assert len(response.read()) == len(LARGE_BODY)
        assert report.result(WAIT_SECONDS).cut == ()
        assert host.app.runs == 1


def test_a_request_whose_caller_has_left_ends_before_the_process():
    with running_host(seconds=1.0) as host:
        connection = host.connect()
        connection.request("GET", "/")
        host.wait_for_open(RequestState.RUNNING)
        connection.close()
        host.stop().result(WAIT_SECONDS)
        assert host.app.ended == 1


def test_a_blank_line_after_a_request_does_not_keep_its_connection_open():
    with running_host(seconds=0.0) as host:
        kept = host.connect()
        assert send_get(kept) == 200
        kept.sock.sendall(b"\r\n")
        assert host.stop().result(WAIT_SECONDS).end is DrainEnd.IDLE


def test_a_request_that_waits_for_a_thread_is_refused_when_nothing_is_taken_any_more():
    with running_host(threads=1, seconds=TIMING.end_after) as host:
        running = host.threads.submit(send_get, host.connect())
        host.wait_for_open(RequestState.RUNNING)
        waiting = host.threads.submit(send_get, host.connect())
        host.wait_for_open(RequestState.QUEUED)
        host.stop()
        assert waiting.result(WAIT_SECONDS) == 503
        assert not running.done()
        assert running.result(WAIT_SECONDS) == 200
        assert host.app.runs == 1


def test_a_request_whose_body_does_not_end_is_refused_and_does_not_run():
    with running_host() as host:
        connection = host.connect()
        send_part_of_body(connection, length=100)
        host.wait_for_open(RequestState.RECEIVING)
        report = host.stop().result(WAIT_SECONDS)
        assert connection.sock.recv(65_536).startswith(b"HTTP/1.1 503")
        assert report.cut == ()
        assert host.app.runs == 0


def send_part_of_body(connection, *, length: int) -> None:
    """Send a request without the rest of its body, which has ``length`` bytes."""
    head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {length}\r\n\r\n"
    connection.sock.sendall(head.encode() + b"part")


def test_a_body_that_ends_during_the_drain_is_taken():
    with running_host() as host:
        connection = host.connect()
        send_part_of_body(connection, length=8)
        host.wait_for_open(RequestState.RECEIVING)
        host.stop()
        connection.sock.sendall(b"rest")
        assert connection.sock.recv(65_536).startswith(b"HTTP/1.1 200")


def test_requests_that_were_sent_one_after_the_other_are_all_answered_in_a_drain():
    with running_host(seconds=0.05) as host:
        connection = host.connect()
        host.stop()
        connection.sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 2)
        received = b""
        while data := connection.sock.recv(65_536):
            received += data
        assert received.count(b"HTTP/1.1 200") == host.app.runs == 2


def test_a_drain_that_is_cut_by_its_limit_names_what_it_cut():
    short = attrs.evolve(TIMING, refuse_after=0.2, answer_within=0.2, end_after=0.4)
    with running_host(timing=short, seconds=WAIT_SECONDS) as host:
        host.threads.submit(send_get, host.connect())
        host.wait_for_open(RequestState.RUNNING)
        report = host.stop().result(WAIT_SECONDS)
        host.app.released.set()
        assert [request.state for request in report.cut] == [RequestState.RUNNING]
        assert report.end is DrainEnd.LIMIT


def test_an_idle_host_ends_early_and_accepts_nothing_more():
    with running_host() as host:
        kept = host.connect()
        report = host.stop().result(WAIT_SECONDS)
        assert report.end is DrainEnd.IDLE
        assert report.seconds < TIMING.refuse_after
        assert kept.sock.recv(1) == b""
        with pytest.raises(ConnectionRefusedError):
            host.connect()


def test_a_request_is_read_before_its_idle_connection_would_be_closed():
    entered, leave = threading.Event(), threading.Event()
    with running_host(seconds=0.0) as host:
        kept = host.connect()
        assert send_get(kept) == 200
        # The server's thread is held up while the caller sends and the drain ends.
        host.server.call_soon(lambda: (entered.set(), leave.wait()))
        assert entered.wait(WAIT_SECONDS)
        answer = host.threads.submit(send_get, kept)
        time.sleep(0.1)
        host.stopping.set()
        closing = host.threads.submit(host.server.close_when_idle)
        wait_until(lambda: host.server.is_closing, what="closing", timeout=WAIT_SECONDS)
        leave.set()
        assert answer.result(WAIT_SECONDS) == 200
        closing.result(WAIT_SECONDS)


@pytest.mark.parametrize("grace", [0.0, 0.5, 2.0, 6.0, 60.0])
@pytest.mark.parametrize(
    "timing_for",
    [
        lambda grace: drain_timing(grace, min_seconds=1.5, idle_seconds=0.5),
        control_drain_timing,
    ],
)
def test_every_timing_ends_before_the_process_is_killed(grace, timing_for):
    timing = timing_for(grace)
    assert timing.refuse_after <= timing.answer_within <= timing.end_after
    assert timing.end_after < grace or grace == timing.end_after == 0.0

"""A platform control host that is stopped answers every request that it has read."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path

import attrs
import pytest

from tests.client_connections import (
    RECEIVE_BUFFER_BYTES,
    UNREAD_SECONDS,
    Answer,
    HttpRequest,
    NoAnswer,
    connected,
    finish,
)
from tests.control_process import CONFIGURATION, ROOT, started_control

IP = "127.0.8.21"
ABSENT_SEED_IP = "127.0.8.22"
START_TIMEOUT_SECONDS = 20.0
EXIT_TIMEOUT_SECONDS = 6.0
# The code before the drain of control hosts always exited within 1 s.
FORMER_STOP_SECONDS = 1.0
READ_PAUSE_SECONDS = FORMER_STOP_SECONDS + 0.5
LARGE_BYTES = 16 * 1024 * 1024  # more than the kernel buffers for one connection
CONNECTIONS_PER_KIND = 16
CONFIGURATION_BODY = json.dumps(CONFIGURATION).encode()
EVACUATION_PATH = "/evacuation/north-b"
REPORT_PATH = "/instances/i-1"
RESOLVE_PATH = "/resolve?name=shop.example&region=north&zone=north-a"


@attrs.frozen(kw_only=True)
class ControlProcess:
    """A control host in a process of its own."""

    process: subprocess.Popen
    control_address: tuple[str, int]
    directory_address: tuple[str, int]

    def stop(self, signal_number: int = signal.SIGTERM) -> None:
        self.process.send_signal(signal_number)

    def wait_for_exit(self, seconds: float) -> bool:
        """Return whether the process exits within ``seconds``."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def wait_until_listening(self) -> None:
        def is_listening() -> bool:
            try:
                with connected(self.directory_address):
                    return True
            except OSError:
                return False

        self._wait_until(is_listening, what="listening")

    def request_until_ok(self, request: HttpRequest) -> Answer:
        """Repeat a request on new connections until it succeeds."""

        def send() -> Answer | None:
            try:
                with connected(self.control_address) as connection:
                    answer = connection.exchange(request)
            except OSError:
                return None
            is_ok = isinstance(answer, Answer) and answer.status == 200
            return answer if is_ok else None

        return self._wait_until(send, what=str(request))

    def _wait_until(self, condition: Callable[[], object], *, what: str) -> object:
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not (value := condition()):
            assert self.process.poll() is None, "the process has exited"
            assert time.monotonic() < deadline, f"{what} did not happen in time"
            time.sleep(0.02)
        return value


@contextmanager
def running_control_process(
    folder: Path, *, seeds: tuple[str, ...] = (IP,)
) -> Iterator[ControlProcess]:
    """Start the only process of a new installation that has ``seeds``."""
    with started_control(folder, ip=IP, seeds=seeds) as started:
        yield ControlProcess(
            process=started.process,
            control_address=started.control_address,
            directory_address=started.directory_address,
        )


@pytest.fixture
def control(tmp_path) -> Iterator[ControlProcess]:
    """A control host that has accepted a configuration."""
    with running_control_process(tmp_path) as process:
        process.request_until_ok(put_configuration())
        yield process


@pytest.fixture
def lone_control(tmp_path) -> Iterator[ControlProcess]:
    """A control host whose only peer never starts, so that it has no majority."""
    seeds = (IP, ABSENT_SEED_IP)
    with running_control_process(tmp_path, seeds=seeds) as process:
        process.wait_until_listening()
        yield process


def put_configuration(body: bytes = CONFIGURATION_BODY) -> HttpRequest:
    return HttpRequest(method="PUT", path="/config", body=body)


def report(sequence: int = 1) -> HttpRequest:
    """Return the report of a target, which is new to the host if its sequence is."""
    fields = {
        "address": "127.0.8.99:80",
        "born": 1,
        "info": {"service": "s", "zone": "north-b", "slots": 4},
        "status": {
            "state": "ready" if sequence % 2 else "draining",
            "sequence": sequence,
        },
    }
    return HttpRequest(method="PUT", path=REPORT_PATH, body=json.dumps(fields).encode())


STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
NOTICE_SECONDS = 3.0
ASLEEP_EXIT_CODE = 3
MAX_WAIT_LINES = 16  # a wait that wakes up now and then has any number
# It sends itself signals at consecutive lines of Python code from the first one named.
WAITING_PROGRAM = f"""
import os
import signal
import sys
import threading

from chicoryhold.clock import BootClock
from chicoryhold.programs.signals import stop_signals

first, *numbers = map(int, sys.argv[1:])
lines = 0


def trace(frame, event, argument):
    global lines
    if event == "line":
        lines += 1
        if first <= lines < first + len(numbers):
            signal.raise_signal(numbers[lines - first])
    return trace


def exit_if_asleep():
    if lines < first:
        os._exit({ASLEEP_EXIT_CODE})


asleep = threading.Timer(0.5, exit_if_asleep)
asleep.daemon = True
with stop_signals(clock=BootClock()) as stopping:
    asleep.start()
    sys.settrace(trace)
    stopping.wait()
    sys.settrace(None)
"""
REQUESTS_THAT_WAIT_FOR_A_MAJORITY = (
    put_configuration(),
    HttpRequest(method="GET", path="/config"),
    HttpRequest(method="POST", path=EVACUATION_PATH),
    HttpRequest(method="DELETE", path=EVACUATION_PATH),
    report(),
)


def check_answered(answer: Answer | NoAnswer) -> None:
    """Fail unless the answer is complete and either a success or a refusal."""
    assert isinstance(answer, Answer), str(answer)
    assert answer.status in (200, 503), answer


@pytest.mark.parametrize("waiting", REQUESTS_THAT_WAIT_FOR_A_MAJORITY, ids=str)
def test_sigterm_cuts_no_request_that_waits_for_a_majority(lone_control, waiting):
    answer = answer_around_signals(lone_control, waiting, (signal.SIGTERM,))
    check_answered(answer)
    assert lone_control.wait_for_exit(EXIT_TIMEOUT_SECONDS), "still running"


@pytest.mark.parametrize(
    "second", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP], ids=lambda s: s.name
)
def test_second_signal_in_a_drain_cuts_no_order(lone_control, second):
    order = put_configuration()
    answer = answer_around_signals(lone_control, order, (signal.SIGTERM, second))
    check_answered(answer)
    assert lone_control.wait_for_exit(EXIT_TIMEOUT_SECONDS), "still running"


def answer_around_signals(
    control: ControlProcess, request: HttpRequest, signals: tuple[int, ...]
) -> Answer | NoAnswer:
    """Send a request and, while the host works on it, the signals."""
    with connected(control.control_address) as connection:
        connection.send(request.head + request.body)
        time.sleep(UNREAD_SECONDS)
        assert not connection.has_data(), "answered before the signal"
        for number in signals:
            control.stop(number)
        return connection.read_answer(request.method)


def test_sigterm_cuts_no_order_whose_body_is_still_arriving(control):
    body = CONFIGURATION_BODY.replace(b"00000001", b"00000002")
    expects = (("Expect", "100-continue"),)
    order = HttpRequest(method="PUT", path="/config", body=body, headers=expects)
    with connected(control.control_address) as connection:
        connection.send(order.head)
        connection.wait_for_continue()
        connection.send(order.body[:-1])
        control.stop()
        control.wait_for_exit(READ_PAUSE_SECONDS)
        check_answered(finish(connection, order))


def test_sigterm_cuts_no_response_that_is_still_being_written(control):
    body = CONFIGURATION_BODY.replace(b"00000001", b"00000002").ljust(LARGE_BYTES)
    control.request_until_ok(put_configuration(body))
    with connected(
        control.control_address, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
    ) as connection:
        connection.send(HttpRequest(method="GET", path="/config").head)
        connection.wait_for_response()
        control.stop()
        control.wait_for_exit(READ_PAUSE_SECONDS)
        answer = connection.read_answer()
    check_answered(answer)
    assert answer.body == body


REQUESTS_UNTIL_THE_END = {
    "orders": lambda number: HttpRequest(method="POST", path=EVACUATION_PATH),
    "reports": report,
    "reads": lambda number: HttpRequest(method="GET", path="/config"),
    "look-ups": lambda number: HttpRequest(method="GET", path=RESOLVE_PATH),
}


@pytest.mark.parametrize("kind", REQUESTS_UNTIL_THE_END)
def test_no_request_on_an_open_connection_is_lost_until_the_process_is_gone(
    control, kind
):
    address = (
        control.directory_address if kind == "look-ups" else control.control_address
    )
    with ThreadPoolExecutor(CONNECTIONS_PER_KIND) as executor:
        clients = [
            executor.submit(request_until_closed, address, REQUESTS_UNTIL_THE_END[kind])
            for _ in range(CONNECTIONS_PER_KIND)
        ]
        control.request_until_ok(HttpRequest(method="GET", path="/config"))
        control.stop()
        ends = [client.result() for client in clients]
    lost = [str(end) for end in ends if end and end.is_loss]
    assert not lost, lost


def request_until_closed(
    address: tuple[str, int], new_request: Callable[[int], HttpRequest]
) -> NoAnswer | None:
    """Send requests on one connection until it ends.

    Returns what became of the last one if it wasn't answered, or ``None`` if the host
    announced the end of the connection.
    """
    with connected(address) as connection:
        number = 1
        while True:
            answer = connection.exchange(new_request(number))
            if isinstance(answer, NoAnswer):
                return answer
            if answer.closes:
                return None
            number += 1


def test_stopped_control_host_exits_cleanly_once_it_is_idle(control):
    control.stop()
    assert control.process.wait(EXIT_TIMEOUT_SECONDS) == 0


def test_series_of_stop_signals_neither_blocks_nor_breaks_off_the_stop(control):
    deadline = time.monotonic() + EXIT_TIMEOUT_SECONDS
    while control.process.poll() is None:
        assert time.monotonic() < deadline, "still running"
        for number in STOP_SIGNALS:
            control.process.send_signal(number)
    assert control.process.returncode == 0


@pytest.mark.parametrize(
    "signals", [STOP_SIGNALS[:1], STOP_SIGNALS], ids=["one", "two"]
)
def test_stop_signal_is_noticed_at_whatever_line_of_the_wait_it_arrives(signals):
    for line in range(1, MAX_WAIT_LINES + 1):
        try:
            exit_code = run_waiting_program(line, signals)
        except subprocess.TimeoutExpired:
            pytest.fail(f"not noticed at line {line} of the wait")
        if exit_code == ASLEEP_EXIT_CODE and line > 1:
            return
        assert exit_code == 0, f"line {line}"


def run_waiting_program(line: int, signals: tuple[int, ...]) -> int:
    arguments = [str(int(number)) for number in (line, *signals)]
    command = [sys.executable, "-c", WAITING_PROGRAM, *arguments]
    return subprocess.run(command, cwd=ROOT, timeout=NOTICE_SECONDS).returncode

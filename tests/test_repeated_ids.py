"""Requests whose ID was sent before, to targets that send copies of old responses.

Guards against REFUSED: a caller was told that a request hadn't run, and it had.
"""

from __future__ import annotations

import socket
import threading
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import attrs
import pytest
from hypothesis import given, settings, strategies as st
from result import Ok
from wiring.targets import DIALECT

from chicoryhold.callers.refusals import RunStatus
from chicoryhold.clock import BootClock
from chicoryhold.targets.connections import TargetConnections
from tests.delivering_host import a_host_with
from tests.test_spoilt_responses import exchange
from tests.test_target_choice import apply
from tests.test_targets_state import a_record

ATTEMPTS = 4
FULL = "503 Service Unavailable"
OTHER_INSTANCE = "421 Misdirected Request"
NOT_EXECUTED = "Not-Executed: 1\r\n"


@attrs.define(kw_only=True)
class CopyingTarget:
    """Refuses each request once, and sends the copy of a refusal when the next is due.

    Once it has refused an ID, with the status ``refusal`` and the header ``lines``, it
    runs that ID's next request. The copy goes out on the connection of the refusal,
    just before the response to its next request. ``on_refusal`` is called before a
    refusal is sent.
    """

    refusal: str = OTHER_INSTANCE
    lines: str = ""
    on_refusal: Callable[[], None] = lambda: None
    address: str = ""
    runs: Counter[str] = attrs.field(factory=Counter)
    _refused: set[str] = attrs.field(factory=set)

    def respond(self, request_id: str) -> str:
        if request_id not in self._refused:
            self._refused.add(request_id)
            self.on_refusal()
            return _response(self.refusal, request_id, self.lines)
        self.runs[request_id] += 1
        return _response("200 OK", request_id, "Server-Seal: 3e1b.07\r\n")

    def serve(self, connection: socket.socket) -> None:
        copy = ""
        with connection, suppress(OSError):
            while request_id := _read_id(connection):
                response = self.respond(request_id)
                connection.sendall((copy + response).encode())
                copy = "" if "200 OK" in response else response


def _response(status: str, request_id: str, lines: str) -> str:
    return (
        f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\n{lines}"
        "Content-Length: 5\r\n\r\nwhole"
    )


def _read_id(connection: socket.socket) -> str:
    """Return the ID of the next request, or ``""`` at the end of the connection."""
    head = b""
    while b"\r\n\r\n" not in head:
        data = connection.recv(65_536)
        if not data:
            return ""
        head += data
    return head.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()


@contextmanager
def serving(target: CopyingTarget) -> Iterator[CopyingTarget]:
    listener = socket.create_server(("127.0.0.1", 0))

    def accept() -> None:
        with suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(
                    target=target.serve, args=[connection], daemon=True
                ).start()

    target.address = f"127.0.0.1:{listener.getsockname()[1]}"
    threading.Thread(target=accept, daemon=True).start()
    try:
        yield target
    finally:
        listener.close()


def test_no_request_that_ran_is_refused_as_not_run_by_the_copy_of_a_refusal():
    """The target restarts under a new name while its host sends to the old one."""
    with serving(CopyingTarget()) as target:
        old = a_record(address=target.address)
        new = a_record(address=target.address, instance="i-2", born_ms=2_000)
        host = a_host_with(old)
        target.on_refusal = lambda: apply(host.chooser, [new])
        outcome = host.send(attempts=ATTEMPTS)
    ran = target.runs["r1"]
    assert ran <= 1
    if ran:
        assert isinstance(outcome, Ok) or outcome.err_value.ran is RunStatus.UNKNOWN


def test_a_callers_second_request_of_an_id_is_not_answered_by_the_copy_of_a_refusal():
    with serving(CopyingTarget(refusal=FULL, lines=NOT_EXECUTED)) as target:
        host = a_host_with(a_record(address=target.address))
        assert host.send().err_value.ran is RunStatus.NOT_RUN
        assert host.send().ok_value.status == 200
    assert target.runs["r1"] == 1


def test_what_answered_for_another_target_is_not_asked_again_by_its_new_name():
    with serving(CopyingTarget()) as target:
        old = a_record(address=target.address)
        new = a_record(address=target.address, instance="i-2", born_ms=2_000)
        host = a_host_with(old)
        target.on_refusal = lambda: apply(host.chooser, [new])
        outcome = host.send(attempts=ATTEMPTS)
    assert not target.runs
    assert outcome.err_value.ran is RunStatus.NOT_RUN


@pytest.mark.parametrize("between", [0, 1, 3])
@pytest.mark.parametrize(
    ("status", "lines"),
    [
        (FULL, NOT_EXECUTED),
        ("429 Too Many Requests", NOT_EXECUTED),
        (OTHER_INSTANCE, NOT_EXECUTED),
        (OTHER_INSTANCE, ""),
    ],
    ids=["full", "over rate", "other instance", "other instance, no header"],
)
def test_the_copy_of_a_refusal_is_not_the_answer_to_the_same_id(status, lines, between):
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with serving(CopyingTarget(refusal=status, lines=lines)) as target:
        assert exchange(connections, target.address, "r1").status == int(status[:3])
        for number in range(between):
            exchange(connections, target.address, f"other {number}")
        assert exchange(connections, target.address, "r1").status == 200


@attrs.define(kw_only=True)
class RandomlyCopyingTarget(CopyingTarget):
    """Numbers its responses; before each it sends copies of some of its connection's.

    ``copied`` says for each request how many responses back those are.
    """

    copied: list[list[int]]
    responses: list[str] = attrs.field(factory=list)

    def serve(self, connection: socket.socket) -> None:
        sent: list[str] = []
        with connection, suppress(OSError):
            while request_id := _read_id(connection):
                copied = self.copied[len(self.responses)]
                copies = [sent[-back] for back in copied if back <= len(sent)]
                sent.append(
                    _response(
                        "503 Busy", request_id, f"Number: {len(self.responses)}\r\n"
                    )
                )
                self.responses.append(sent[-1])
                connection.sendall("".join([*copies, sent[-1]]).encode())


@settings(max_examples=60)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]),
            st.lists(st.integers(1, 6), max_size=2),
        ),
        min_size=2,
        max_size=12,
    )
)
def test_each_response_is_the_newest_however_often_its_id_and_its_copies_come(steps):
    target = RandomlyCopyingTarget(copied=[copied for _, copied in steps])
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with serving(target):
        for number, (request_id, _) in enumerate(steps):
            response = exchange(connections, target.address, request_id)
            assert response.header("Number") == str(number)
    connections.close_all_idle()

"""Orders that are read or proposed after their sender has given them up."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import contextmanager

import pytest

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import LogPosition
from chicoryhold.control.replica_requests import Propose, ReadPosition
from chicoryhold.errors import OrderOvertaken
from chicoryhold.http.channel import HAS_LEFT
from chicoryhold.http.server import serve_http
from chicoryhold.state.changes import (
    Change,
    EndEvacuation,
    EvacuateDomain,
    RecordTargets,
)
from chicoryhold.state.targets import TargetRecord, TargetState
from tests.single_replica import SingleReplica, single_replica


@pytest.fixture
def single() -> SingleReplica:
    return single_replica()


@contextmanager
def running(single: SingleReplica) -> Iterator[None]:
    """Run the actor in a thread of its own within the block."""
    ended = threading.Event()

    def run() -> None:
        while not ended.wait(0.005):
            single.run()

    thread = threading.Thread(target=run)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


def position(single: SingleReplica) -> LogPosition:
    reply: Future = Future()
    single.actor.on_receive(ReadPosition(reply=reply))
    return reply.result(0)


def propose(
    single: SingleReplica, body: object, at: LogPosition | None = None
) -> Future:
    reply: Future = Future()
    change = Change(request_id="", operator="", body=encode(body))
    single.actor.on_receive(Propose(change=change, reply=reply, position=at))
    return reply


def target(born_ms: int) -> TargetRecord:
    return TargetRecord(
        instance="i-1", born_ms=born_ms, sequence=1, address="10.0.0.9:80",
        service="s", domain="north-a", slots=1, state=TargetState.READY,
    )  # fmt: skip


def test_an_order_that_a_later_one_overtook_is_refused(single):
    """Guards against EVAC: a paused host forwards the end of an evacuation late."""
    before = position(single)
    propose(single, EvacuateDomain(domain="north-a"))
    late = propose(single, EndEvacuation(domain="north-a"), before)
    assert isinstance(late.exception(0), OrderOvertaken)
    assert single.state.evacuated == {"north-a"}


def test_an_order_is_accepted_after_others_on_other_matters(single):
    before = position(single)
    propose(single, EvacuateDomain(domain="north-b"))
    propose(single, RecordTargets(records=(target(1),)))
    order = propose(single, EvacuateDomain(domain="north-a"), before)
    assert order.result(0).accepted


def test_an_order_with_a_position_of_an_earlier_term_is_refused(single):
    before = position(single)
    earlier = LogPosition(term=before.term - 1, index=before.index)
    order = propose(single, EvacuateDomain(domain="north-a"), earlier)
    assert isinstance(order.exception(0), OrderOvertaken)


def test_an_order_whose_sender_has_left_is_not_proposed(single):
    """Guards against EVAC: an order that is read after its sender went elsewhere."""
    with running(single):
        single.plane.evacuate("north-a")
        result = single.plane.end_evacuation("north-a", has_left=lambda: True)
    assert result.is_err()
    assert single.state.evacuated == {"north-a"}


def test_a_sender_that_leaves_while_the_position_is_read_gives_its_order_up(single):
    """The host may be paused at any point before it asks whether the sender left."""
    left = threading.Event()

    def leaves() -> bool:
        is_first = not left.is_set()
        left.set()
        return not is_first

    with running(single):
        assert single.plane.evacuate("north-a", has_left=leaves).is_ok()
        result = single.plane.end_evacuation("north-a", has_left=leaves)
    assert result.is_err()
    assert single.state.evacuated == {"north-a"}


def test_a_late_removal_does_not_end_a_later_process_of_the_same_name(single):
    """Guards against a target that is started again and marked as gone for good."""
    with running(single):
        assert single.plane.report_target(target(2)).is_ok()
        assert single.plane.remove_target("i-1", has_left=lambda: True).is_err()
    assert single.state.targets.get("i-1").state is TargetState.READY


def test_a_target_that_waits_for_the_answer_is_removed(single):
    with running(single):
        single.plane.report_target(target(2))
        assert single.plane.remove_target("i-1").is_ok()
    assert single.state.targets.get("i-1").state is TargetState.GONE


def test_a_removal_waits_until_the_copy_has_the_newest_process_of_the_name(single):
    """Guards against DRAIN: a removal by an old record, acknowledged without effect.

    The copy learns of the process that sends the removal while the host handles it.
    """
    with running(single):
        single.plane.report_target(target(1))
    old = single.state.targets.copy()
    commit_index = single.actor._replica.commit_index
    propose(single, RecordTargets(records=(target(2),)))
    newest = single.state.targets
    single.state._objects._targets = old
    single.actor._replica._committed._commit_index = commit_index
    shown: list[bool] = []

    def catch_up(seconds: float) -> None:
        time.sleep(seconds)
        single.state._objects._targets = newest
        single.actor._replica._committed._commit_index = commit_index + 1
        shown.append(True)

    with running(single):
        learning = threading.Thread(target=catch_up, args=[0.1])
        learning.start()
        assert single.plane.remove_target("i-1").is_ok()
        learning.join()
    gone = single.state.targets.get("i-1")
    assert (gone.born_ms, gone.state) == (2, TargetState.GONE)


def test_an_application_is_told_that_the_caller_has_closed_its_connection():
    """Also if the thread that reads from the connection hasn't found out yet."""
    begun, closed = threading.Event(), threading.Event()
    found: list[bool] = []

    def app(environ, start_response):
        found.append(environ[HAS_LEFT]())
        begun.set()
        closed.wait(5)
        found.append(environ[HAS_LEFT]())
        ended.set()
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    ended = threading.Event()
    with serve_http(app, "127.0.0.1:0", threads=1) as server:
        with socket.create_connection(("127.0.0.1", int(server.port))) as caller:
            caller.sendall(b"DELETE / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert begun.wait(5)
        closed.set()
        assert ended.wait(5)
        while not server.is_idle:
            time.sleep(0.01)
    assert found == [False, True]

"""Connections whose target goes on sending, or gets no more requests."""

from __future__ import annotations

import time

from chicoryhold.clock import BootClock
from chicoryhold.targets.connections import (
    DEFAULT_IDLE_LIMIT_SECONDS,
    TargetConnections,
)
from tests.endless_responses import (
    DEADLINE_SECONDS,
    GIVE_UP_SECONDS,
    LENIENT,
    SLACK_SECONDS,
    an_outgoing_request,
    exchange,
)
from tests.sick_target import BLOCK, ID_HEADER, Script, complete, head, sick_target


def test_bytes_without_end_after_a_complete_response_end_its_connection():
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    complete_with_more = head("Content-Length: 2") + "ok" + "x" * 1000
    with sick_target(Script(start=complete_with_more, repeated=BLOCK)) as target:
        for number in range(3):
            response = exchange(connections, target, an_outgoing_request(f"r{number}"))
            assert response.body == b"ok"
            assert dict(response.headers)[ID_HEADER] == f"r{number}"
            assert target.closed.acquire(timeout=SLACK_SECONDS)
        assert connections.idle_count(target.address) == 0


def test_bytes_without_end_on_an_idle_connection_end_it_without_another_request():
    # They filled the receive buffer for as long as the connection wasn't reused.
    connections = TargetConnections(clock=BootClock())
    later = Script(
        start=head("Content-Length: 2") + "ok", repeated=BLOCK, interval=0.05
    )
    with sick_target(later) as target, sick_target(complete("whole")) as sound:
        assert exchange(connections, target, an_outgoing_request()).body == b"ok"
        ends = time.monotonic() + GIVE_UP_SECONDS
        while not target.closed.acquire(timeout=0.05):
            assert time.monotonic() < ends
            assert exchange(connections, sound, an_outgoing_request()).body == b"whole"
        assert connections.idle_count(target.address) == 0
        assert connections.idle_count(sound.address) == 1


def test_expired_connections_to_a_target_that_gets_no_requests_are_closed(clock):
    # The descriptors of targets that had left were never closed.
    connections = TargetConnections(clock=clock)
    with sick_target(complete("whole")) as gone, sick_target(complete("")) as sound:
        for target in (gone, sound):
            deadline = clock.now() + DEADLINE_SECONDS
            connections.exchange(
                target.address,
                an_outgoing_request(),
                deadline=deadline,
                stale_connection_deadline=deadline,
            )
            clock.advance(DEFAULT_IDLE_LIMIT_SECONDS + 1)
        assert gone.closed.acquire(timeout=SLACK_SECONDS)
        assert connections.idle_count(gone.address) == 0

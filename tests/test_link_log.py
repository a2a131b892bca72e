"""Summaries of failed connections to targets."""

from __future__ import annotations

import errno
import socket

import pytest
from loguru import logger
from urllib3.exceptions import ConnectTimeoutError

from chicoryhold.gateway.link_log import LinkLog
from chicoryhold.metrics import Metrics
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.link_failures import LinkFailure, connect_failure
from tests.conftest import FakeClock
from tests.test_target_choice import a_chooser


def wrapped(cause: OSError) -> ConnectTimeoutError:
    error = ConnectTimeoutError("late")
    error.__cause__ = cause
    return error


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (wrapped(TimeoutError()), LinkFailure.TIMED_OUT),
        (ConnectionResetError(errno.ECONNRESET, "reset"), LinkFailure.RESET),
        (OSError(errno.EHOSTUNREACH, "no route"), LinkFailure.UNREACHABLE),
    ],
)
def test_a_connect_failure_is_classified(error, expected):
    assert connect_failure(error) is expected


def test_a_refused_connection_is_reported_as_refused(clock):
    failures = []
    connections = TargetConnections(
        clock=clock,
        record_link_failure=lambda address, failure: failures.append(failure),
    )
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # nobody listens there
        connections.preconnect(f"127.0.0.1:{bound.getsockname()[1]}")
        connections.stop_preconnecting()
    assert failures == [LinkFailure.REFUSED]


def test_a_summary_tells_one_dead_service_from_a_host_without_network():
    clock = FakeClock()
    chooser = a_chooser("north-a", "north-b", clock=clock)
    link_log = LinkLog(
        record_of=chooser.record_at, clock=clock, metrics=Metrics(process="p")
    )
    lines = []
    handler = logger.add(lambda line: lines.append(line.record["extra"]))
    try:
        link_log.record_opened()
        link_log.record_failure("10.0.0.0:80", LinkFailure.TIMED_OUT)
        assert lines == []
        clock.advance(1.0)
        link_log.record_failure("10.0.0.1:80", LinkFailure.TIMED_OUT)
    finally:
        logger.remove(handler)
    (summary,) = lines
    assert (summary["opened"], summary["timed_out"]) == (1, 2)
    assert summary["services"] == ["menu"]
    assert summary["domains"] == ["north-a", "north-b"]

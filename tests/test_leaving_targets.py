"""Targets that say in their answers that they leave, at the edge of entry hosts.

Guards against DRAIN: hosts sent requests to targets that had said that they leave.
"""

from __future__ import annotations

import http.client
import json
from collections import Counter

import pytest

from chicoryhold.trial.fleet import wait_until
from tests.links import IP, Cut, StandInTarget
from tests.test_cut_off_host import (
    NOTICE_SECONDS,
    RETURN_SECONDS,
    SERVICES,
    WAIT_SECONDS,
    Fleet,
    Host,
    fleet,  # noqa: F401
    send,
    send_for,
    send_until,
)

SERVICE = SERVICES[0]
LEAVING = {"Server-Leaving": "1"}
REQUESTS = 30


def targets_of(hosts: Fleet, service: str) -> list[StandInTarget]:
    number = SERVICES.index(service)
    return hosts.targets[number :: len(SERVICES)]


def send_until_it_answers(host: Host, target: StandInTarget, service: str) -> None:
    """Send one request at a time until ``target`` has answered one."""
    before = target.runs.total()
    for _ in range(1_000):
        send(host, service)
        if target.runs.total() > before:
            return
    raise AssertionError("the target got no request")


def headers_of_response(host: Host, service: str) -> tuple[int, dict[str, str], bytes]:
    connection = http.client.HTTPConnection(IP, host.port, timeout=WAIT_SECONDS)
    headers = {
        "Host": "shop.example",
        "Request-Id": "last",
        "Deadline-Ms": "2000",
        "Authorization": "Bearer k",
    }
    try:
        connection.request("POST", f"/{service}/1", body=b"", headers=headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (200, LEAVING),
        (500, LEAVING),
        (503, {**LEAVING, "Not-Executed": "1"}),
        (429, LEAVING),
    ],
)
def test_a_target_that_says_it_leaves_gets_no_later_request_of_that_host(
    fleet,  # noqa: F811
    status,
    headers,
):
    host = fleet.peer
    leaving = targets_of(fleet, SERVICE)[0]
    leaving.status = status
    leaving.extra_headers = headers
    send_until_it_answers(host, leaving, SERVICE)
    check_gets_nothing_more(host, leaving)


def check_gets_nothing_more(host, leaving) -> None:
    """Check that the host answers requests without sending any to ``leaving``."""
    runs = leaving.runs.total()
    statuses = Counter(send(host, SERVICE)[1] for _ in range(REQUESTS))
    assert leaving.runs.total() == runs
    assert statuses == {200: REQUESTS}


def test_a_host_that_relayed_an_answer_sends_its_target_nothing_after_the_cut(
    fleet,  # noqa: F811
):
    host = fleet.cut_host
    send_for(host, 0.5)
    host.cut(Cut.REFUSE)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    leaving = targets_of(fleet, SERVICE)[0]
    leaving.extra_headers = LEAVING
    send_until_it_answers(host, leaving, SERVICE)
    host.restore()
    wait_until(
        lambda: not host.is_cut_off, what="reachable again", timeout=RETURN_SECONDS
    )
    check_gets_nothing_more(host, leaving)


def test_callers_of_a_relaying_host_see_no_header_between_hosts(
    fleet,  # noqa: F811
):
    host = fleet.cut_host
    for target in targets_of(fleet, SERVICE):
        target.extra_headers = {**LEAVING, "Chicoryhold-Leaving": "5,i-forged"}
    host.cut(Cut.REFUSE)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    status, headers, _ = headers_of_response(host, SERVICE)
    assert "Chicoryhold-Leaving" not in headers
    if status == 200:
        assert headers["Server-Leaving"] == "1"


def test_when_all_targets_leave_callers_are_refused_at_once_as_not_run(
    fleet,  # noqa: F811
):
    host = fleet.peer
    targets = targets_of(fleet, SERVICE)
    for target in targets:
        target.extra_headers = LEAVING
    statuses = [send(host, SERVICE)[1] for _ in targets]
    assert statuses == [200] * len(targets)
    status, headers, body = headers_of_response(host, SERVICE)
    assert status == 503
    assert json.loads(body)["refused"] == "no_target"
    assert 0 < float(headers["Retry-After"]) < 1
    assert sum(target.runs.total() for target in targets) == len(targets)

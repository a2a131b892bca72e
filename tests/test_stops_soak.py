"""Soak runs of real entry hosts that get signals and configurations in series.

The tests of the judge show that such a run would notice each kind of fault.
"""

from __future__ import annotations

import attrs
import pytest

from bench.stops.judge import FaultKind, Judge
from bench.stops.records import (
    Arrival,
    Ending,
    HostLife,
    Ledger,
    SentRequest,
)
from tests.soak_runs import run_soak

SECONDS = 8.0
RUN_TIMEOUT_SECONDS = 60.0
MIN_ANSWERS = 10
SEEDS = (1, 9, 4)  # busy hosts; drains that end idle; more requests than threads
GRACE_SECONDS = 6.0
STOPPED_AT = 100.0


@pytest.fixture(scope="module", params=SEEDS)
def outcome(request) -> dict:
    return run_soak(
        "bench.stops", seed=request.param, seconds=SECONDS, timeout=RUN_TIMEOUT_SECONDS
    )


def test_no_request_is_lost_or_broken_off_when_hosts_are_stopped_in_series(outcome):
    # Regression test: requests that a draining host took on open connections were
    # passed on to a target, and its process ended without an answer to them.
    late = FaultKind.AFTER_LEAVING.name
    faults = [fault for fault in outcome["faults"] if fault["kind"] != late]
    assert faults == []
    assert outcome["results"].get("200", 0) >= MIN_ANSWERS
    assert None not in outcome["exits_after_stop"]


def test_no_host_that_stops_sends_requests_to_targets_that_said_they_leave(outcome):
    assert outcome["fault_counts"].get(FaultKind.AFTER_LEAVING.name, 0) == 0
    assert outcome["bound_pairs"] > 0
    assert outcome["served_by_successors"] > 0


def stopped_life(**changes: object) -> HostLife:
    life = HostLife(host="h", number=1, started_at=90.0, stopped_at=STOPPED_AT)
    life.exited_at, life.exit_code = STOPPED_AT + 5.2, 0
    for name, value in changes.items():
        setattr(life, name, value)
    return life


def sent_request(**changes: object) -> SentRequest:
    """Return a request that is sent 4 s after the stop and closed 0.5 s later."""
    request = SentRequest(
        request_id="r",
        client="kept",
        life=stopped_life(),
        safe=False,
        deadline_seconds=2.0,
        body_bytes=0,
        answer_bytes=10,
        sent_at=STOPPED_AT + 4.0,
        ended_at=STOPPED_AT + 4.5,
        ending=Ending.CLOSED,
    )
    return attrs.evolve(request, **changes)


def ran(*, broken_after: float | None = None) -> Arrival:
    """Return an arrival 4.1 s after the stop, which is broken off or answered."""
    arrival = Arrival(request_id="r", target="t", arrived_at=STOPPED_AT + 4.1)
    arrival.read_at = arrival.arrived_at
    if broken_after is None:
        arrival.answered_at = STOPPED_AT + 4.4
    else:
        arrival.broken_at = STOPPED_AT + broken_after
    return arrival


def fault_kinds(request: SentRequest, *arrivals: Arrival) -> list[FaultKind]:
    ledger = Ledger()
    ledger.add_life(request.life)
    ledger.add_request(request)
    for arrival in arrivals:
        added = ledger.add_arrival(arrival.request_id, arrival.target)
        for field in ("arrived_at", "read_at", "answered_at", "broken_at"):
            setattr(added, field, getattr(arrival, field))
    judge = Judge(ledger, grace_seconds=GRACE_SECONDS)
    return [fault.kind for fault in judge.faults]


def answered(**changes: object) -> SentRequest:
    return sent_request(ending=Ending.ANSWERED, **changes)


@pytest.mark.parametrize(
    ("request_", "arrivals", "kind"),
    [
        (sent_request(), [ran(broken_after=4.5)], FaultKind.LOST),
        (sent_request(ending=Ending.RESET), [ran()], FaultKind.LOST),
        (sent_request(), [], FaultKind.LOST),
        (sent_request(ending=Ending.RESET, received_bytes=9), [], FaultKind.LOST),
        (sent_request(life=stopped_life(stopped_at=None)), [], FaultKind.LOST),
        (
            sent_request(ending=Ending.RESET, ended_at=STOPPED_AT + 5.1),
            [],
            FaultKind.UNREAD,
        ),
        (answered(status=502), [ran(broken_after=4.5)], FaultKind.BROKEN_OFF),
        (answered(status=503), [ran()], FaultKind.REFUSED_AND_RUN),
        (answered(status=200, sealed=True), [ran(), ran()], FaultKind.RUN_TWICE),
        (answered(status=200, sealed=True), [], FaultKind.WRONG_ANSWER),
        (sent_request(ending=Ending.GARBLED), [], FaultKind.WRONG_ANSWER),
    ],
)
def test_judge_finds_each_fault_of_a_request(request_, arrivals, kind):
    if kind is FaultKind.RUN_TWICE:
        request_ = attrs.evolve(request_, received_body_bytes=request_.answer_bytes)
    assert kind in fault_kinds(request_, *arrivals)


@pytest.mark.parametrize(
    ("request_", "arrivals"),
    [
        # Closed so soon after its last byte that the host may not have read it.
        (sent_request(ended_at=STOPPED_AT + 4.1), []),
        (sent_request(ending=Ending.RESET), []),
        (sent_request(ending=Ending.ABANDONED), [ran(broken_after=4.5)]),
        (sent_request(sent_at=None), []),
        (sent_request(deadline_seconds=0.5), [ran(broken_after=4.5)]),
        # At work in the last sixth of the grace, and sent early enough to be excused.
        (
            sent_request(sent_at=STOPPED_AT + 3.0, ended_at=STOPPED_AT + 5.1),
            [attrs.evolve(ran(broken_after=5.1), arrived_at=STOPPED_AT + 3.0)],
        ),
        (answered(status=503), []),
        (
            answered(status=200, sealed=True, received_body_bytes=10, safe=True),
            [ran(broken_after=4.2), ran()],
        ),
    ],
)
def test_judge_excuses_what_no_host_can_help(request_, arrivals):
    assert fault_kinds(request_, *arrivals) == []


@pytest.mark.parametrize(
    ("life", "kind"),
    [
        (stopped_life(killed=True), FaultKind.NOT_IN_TIME),
        (stopped_life(stopped_at=None), FaultKind.ENDED_BY_ITSELF),
    ],
)
def test_judge_finds_processes_that_exit_late_or_by_themselves(life, kind):
    ledger = Ledger()
    ledger.add_life(life)
    judge = Judge(ledger, grace_seconds=GRACE_SECONDS)
    assert [fault.kind for fault in judge.faults] == [kind]

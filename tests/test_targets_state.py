"""Target records and reports, which may arrive late and in any order."""

from __future__ import annotations

import attrs
from hypothesis import given, strategies as st

from chicoryhold.membership.target_reports import ReportStatus, TargetReports
from chicoryhold.state.targets import TargetRecord, TargetRecords, TargetState
from tests.conftest import FakeClock


def a_record(**fields: object) -> TargetRecord:
    defaults = {
        "instance": "i-1",
        "born_ms": 1_000,
        "sequence": 1,
        "address": "10.0.0.1:80",
        "service": "menu",
        "domain": "north-a",
        "slots": 4,
        "state": TargetState.READY,
    }
    return TargetRecord(**{**defaults, **fields})


def test_a_report_delayed_behind_the_draining_one_does_not_bring_a_target_back():
    records = TargetRecords()
    records.put(a_record(sequence=5, state=TargetState.DRAINING))
    assert not records.put(a_record(sequence=4))
    assert not records.put(a_record(sequence=6))
    assert records.get("i-1").state is TargetState.DRAINING


def test_a_gone_target_comes_back_only_as_a_later_process():
    records = TargetRecords()
    records.put(a_record(state=TargetState.GONE))
    assert not records.put(a_record(sequence=9))
    assert records.put(a_record(born_ms=2_000, sequence=0))


def test_a_delayed_report_of_an_earlier_process_does_not_take_the_address():
    records = TargetRecords()
    records.put(a_record(instance="i-2", born_ms=2_000, service="ledger"))
    assert not records.put(a_record(instance="i-1", born_ms=1_000))
    assert records.get("i-1") is None


def test_a_new_process_at_an_address_ends_the_one_before_it():
    records = TargetRecords()
    records.put(a_record(instance="i-1", born_ms=1_000))
    records.put(a_record(instance="i-2", born_ms=2_000))
    assert records.get("i-1").state is TargetState.GONE


def test_a_silent_target_comes_back_by_reporting_again():
    records = TargetRecords()
    records.put(a_record(sequence=3))
    records.put(a_record(sequence=3, state=TargetState.SILENT))
    assert records.put(a_record(sequence=4))


@given(st.permutations(range(6)))
def test_the_final_record_is_the_same_in_every_order_of_arrival(order):
    reports = [
        a_record(sequence=1),
        a_record(sequence=2, cold_seconds=1.0),
        a_record(sequence=3, state=TargetState.DRAINING),
        a_record(born_ms=2_000, sequence=0),
        a_record(born_ms=2_000, sequence=1, state=TargetState.DRAINING),
        a_record(born_ms=2_000, sequence=2, state=TargetState.GONE),
    ]
    records = TargetRecords()
    for position in order:
        records.put(reports[position])
    assert records.get("i-1") == reports[5]


def make_reports(*known: TargetRecord) -> tuple[TargetReports, FakeClock]:
    clock = FakeClock()
    records = TargetRecords(known)
    return TargetReports(targets=lambda: records, clock=clock), clock


def test_an_unchanged_report_of_a_warm_target_is_never_replicated_again():
    # Guards against replicating every report: each was compared with a cold-start
    # period that had ended long before, so all of them counted as changed.
    reports, clock = make_reports(a_record())
    reports.mark_recorded(a_record())
    for sequence in range(2, 20):
        clock.advance(1.5)
        assert reports.classify(a_record(sequence=sequence)) is ReportStatus.KNOWN


def test_a_target_that_turns_cold_again_is_replicated_once():
    reports, clock = make_reports(a_record())
    reports.mark_recorded(a_record())
    clock.advance(10)
    cold = a_record(sequence=2, cold_seconds=3.0)
    assert reports.classify(cold) is ReportStatus.RECORD
    reports.mark_recorded(cold)
    clock.advance(1.5)
    warmer = a_record(sequence=3, cold_seconds=1.5)
    assert reports.classify(attrs.evolve(warmer)) is ReportStatus.KNOWN


def test_a_report_older_than_a_recorded_one_is_old():
    reports, _ = make_reports(a_record())
    reports.mark_recorded(a_record(sequence=7))
    assert reports.classify(a_record(sequence=3)) is ReportStatus.OLD


def test_a_target_that_stops_reporting_is_silent_and_the_others_are_not():
    reports, clock = make_reports(
        a_record(), a_record(instance="i-2", address="10.0.0.2:80")
    )
    for sequence in range(1, 9):
        reports.silent_records()
        reports.classify(a_record(sequence=sequence))
        clock.advance(1.0)
    assert [record.instance for record in reports.silent_records()] == ["i-2"]


def test_a_new_leader_waits_before_it_calls_any_target_silent():
    reports, clock = make_reports(a_record())
    clock.advance(100)
    reports.restart_silence_timers()
    clock.advance(5)
    assert reports.silent_records() == ()

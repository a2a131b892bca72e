"""What counts as a request that ran at a target when it crashed."""

from __future__ import annotations

import socket

import attrs

from chicoryhold.quarantine.crash_watch import (
    CHECK_INTERVAL_SECONDS,
    CRASH_SECONDS,
    REPLACEMENT_SECONDS,
    is_refusing,
)
from chicoryhold.quarantine.digest import request_digest
from tests.conftest import FakeClock
from tests.crash_fakes import CrashedTargets
from tests.test_targets_state import a_record

TARGET = a_record(instance="i-1", address="10.0.0.1:80")


def test_all_requests_at_a_target_that_ended_are_reported():
    targets = CrashedTargets()
    watch = targets.watch(FakeClock())
    watch.record_lost(TARGET, b"before")
    assert targets.reports == []
    watch.record_targets([attrs.evolve(TARGET, born_ms=TARGET.born_ms + 1)])
    watch.record_lost(TARGET, b"after")
    reported = [(each.instance, each.requests) for each in targets.reports]
    assert reported == [("i-1", (b"before",)), ("i-1", (b"after",))]


def test_a_target_that_refuses_connections_has_crashed():
    targets = CrashedTargets(refusing={TARGET.address})
    targets.watch(FakeClock()).record_lost(TARGET, b"r")
    assert [each.requests for each in targets.reports] == [(b"r",)]


def test_a_reset_by_a_target_that_still_runs_is_no_crash():
    targets = CrashedTargets()
    clock = FakeClock()
    watch = targets.watch(clock)
    watch.record_lost(TARGET, b"r")
    watch.record_targets([TARGET])
    clock.advance(REPLACEMENT_SECONDS + 1)
    watch.record_targets([attrs.evolve(TARGET, born_ms=TARGET.born_ms + 1)])
    assert targets.reports == []


def test_a_crash_after_a_reset_is_noticed_and_what_was_reset_is_not_blamed():
    targets = CrashedTargets()
    clock = FakeClock()
    watch = targets.watch(clock)
    watch.record_lost(TARGET, b"reset")
    clock.advance(2.0)
    targets.refusing.add(TARGET.address)
    for request in (b"deadly", b"beside"):
        watch.record_lost(TARGET, request)
    reported = {request for each in targets.reports for request in each.requests}
    assert reported == {b"deadly", b"beside"}


def test_a_replacement_is_noticed_though_the_target_had_reset_connections_before():
    targets = CrashedTargets()
    clock = FakeClock()
    watch = targets.watch(clock)
    watch.record_lost(TARGET, b"reset")
    clock.advance(4.0)
    watch.record_lost(TARGET, b"deadly")
    clock.advance(3.0)
    watch.record_targets([attrs.evolve(TARGET, born_ms=TARGET.born_ms + 1)])
    assert [each.requests for each in targets.reports] == [(b"deadly",)]


def test_memory_stays_bounded_while_a_target_resets_connections_all_the_time():
    clock = FakeClock()
    watch = CrashedTargets().watch(clock)
    for number in range(3_000):
        watch.record_lost(TARGET, number.to_bytes(2))
        clock.advance(0.1)
    (losses,) = watch._losses.values()
    assert len(losses.lost_at) <= 1 + CRASH_SECONDS / 0.1


def test_a_target_that_resets_many_connections_is_checked_twice_a_second_at_most():
    targets = CrashedTargets()
    clock = FakeClock()
    watch = targets.watch(clock, sleep=clock.advance)
    started_at = clock.now()
    for number in range(20):
        watch.record_lost(TARGET, bytes([number]))
    assert clock.now() - started_at >= (targets.checks - 1) * CHECK_INTERVAL_SECONDS


def test_a_host_that_is_cut_off_reports_no_crash():
    targets = CrashedTargets(refusing={TARGET.address}, is_cut_off=True)
    targets.watch(FakeClock()).record_lost(TARGET, b"r")
    assert targets.reports == []


def test_another_process_at_the_address_shows_that_the_former_has_ended():
    targets = CrashedTargets()
    watch = targets.watch(FakeClock())
    watch.record_lost(TARGET, b"r")
    successor = a_record(
        instance="i-2", address=TARGET.address, born_ms=TARGET.born_ms + 1
    )
    watch.record_targets([successor])
    assert len(targets.reports) == 1


def test_a_port_without_a_process_refuses_and_a_listening_one_does_not():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        address = f"127.0.0.1:{listening.getsockname()[1]}"
        assert not is_refusing(address)
    assert is_refusing(address)


REQUEST = {
    "method": "POST",
    "host": "shop.example",
    "target": "/pay?x=1",
    "key": "key",
    "body": b"body",
}


def test_the_digest_tells_callers_paths_and_bodies_apart():
    same = request_digest(**REQUEST)
    assert request_digest(**REQUEST) == same
    for field in ("method", "host", "target", "key"):
        assert request_digest(**{**REQUEST, field: "other"}) != same
    assert request_digest(**{**REQUEST, "body": b"other"}) != same
    assert request_digest(**{**REQUEST, "key": None}) != same

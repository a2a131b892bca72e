"""What counts as a request that ran at a target when it crashed."""

from __future__ import annotations

import socket

import attrs

from chicoryhold.quarantine.crash_watch import REPLACEMENT_SECONDS, is_refusing
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

"""Answers of a control host on the users' platform shortly after its start."""

from __future__ import annotations

from types import SimpleNamespace

import msgspec
import pytest
from werkzeug.test import Client
from wiring.control_app import ControlApp

from chicoryhold.membership.messages import ControlHost, EntryHost
from chicoryhold.membership.registry import LEARNING_SECONDS, HostRegistry
from chicoryhold.routing.configuration import Configuration, ServiceRule
from tests.conftest import FakeClock

REPORT = {
    "address": "10.0.0.9:8080",
    "born": 1_700_000_000_000,
    "info": {"service": "added-last", "zone": "north-a", "slots": 6},
    "status": {"state": "ready", "sequence": 4},
}


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def registry(clock) -> HostRegistry:
    own = ControlHost(name="c", domain="north-a", region="north")
    return HostRegistry(own=own, clock=clock)


def entry_host(name: str, region: str) -> EntryHost:
    return EntryHost(
        name=name, domain=f"{region}-a", region=region, address=f"{name}:80", ready=True
    )


def test_restarted_control_host_does_not_send_callers_to_the_first_hosts_it_hears_of(
    registry, clock
):
    client = Client(ControlApp(plane=None, registry=registry))
    registry.record_entry_report(entry_host("far", "south"))
    assert client.get("/resolve?region=north").status_code == 503
    clock.advance(LEARNING_SECONDS + 0.1)
    for name, region in (("far", "south"), ("near", "north")):
        registry.record_entry_report(entry_host(name, region))
    response = client.get("/resolve?region=north")
    assert msgspec.json.decode(response.data)["addresses"] == ["near:80"]


@pytest.mark.parametrize(("is_fresh", "status"), [(False, 503), (True, 400)])
def test_target_is_rejected_for_its_service_only_by_the_newest_configuration(
    registry, is_fresh, status
):
    known = Configuration(version=1, services=(ServiceRule(name="first"),))
    plane = SimpleNamespace(
        is_fresh=is_fresh, state=SimpleNamespace(configuration=known)
    )
    client = Client(ControlApp(plane=plane, registry=registry))
    response = client.put("/instances/i-1", data=msgspec.json.encode(REPORT))
    assert response.status_code == status

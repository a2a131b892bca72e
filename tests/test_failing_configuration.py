"""A configuration that fails on every entry host."""

from __future__ import annotations

import attrs

from chicoryhold.routing.configuration import Configuration
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.state.changes import PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.test_catching_up import create_gateway
from tests.test_control_state import change
from tests.test_routing_configuration import a_configuration

FAILING_VERSION = 2


@attrs.define(kw_only=True)
class CopyOfState:
    """A follower whose copy is always the newest."""

    state: ControlState
    age: float = 0.0
    version_came_at: float = 0.0


def failing_index(configuration: Configuration) -> RouteIndex:
    if configuration.version == FAILING_VERSION:
        raise RecursionError("a stand-in for a fault that no check has found")
    return RouteIndex(configuration)


def test_a_configuration_that_fails_does_not_end_one_entry_host_after_the_other(
    monkeypatch,
):
    monkeypatch.setattr("chicoryhold.programs.gateway_host.RouteIndex", failing_index)
    state = ControlState()
    gateway = create_gateway(CopyOfState(state=state))
    versions = []
    for version in (1, FAILING_VERSION, 3):
        body = PutConfiguration(configuration=a_configuration(version), text=b"")
        state.apply(change(str(version), body, based_on=version - 1))
        gateway.apply()
        gateway.apply()
        assert gateway.ready
        versions.append(gateway.route_index.version)
    assert versions == [1, 1, 3]

"""Connections that a host opens before a request needs them."""

from __future__ import annotations

import socket

from chicoryhold.clock import BootClock
from chicoryhold.state.changes import RecordTargets
from chicoryhold.state.control_state import ControlState
from chicoryhold.targets.connections import TargetConnections
from tests.statement_fakes import a_statements
from tests.test_catching_up import create_gateway
from tests.test_control_state import change
from tests.test_failing_configuration import CopyOfState
from tests.test_target_choice import a_chooser, apply
from tests.test_targets_state import a_record


def test_a_host_opens_no_connection_to_targets_that_it_may_never_use(monkeypatch):
    # Each of 182 hosts opened one to each of some 200 targets of other regions: 36,000
    # of the 56,000 connections of a quiet day.
    opened: list[str] = []
    monkeypatch.setattr(
        TargetConnections, "preconnect", lambda self, address: opened.append(address)
    )
    state = ControlState()
    gateway = create_gateway(CopyOfState(state=state))
    record = a_record(domain="of-another-region")
    state.apply(change("1", RecordTargets(records=(record,)), based_on=0))
    gateway.apply()
    assert [each.instance for each in state.targets] == [record.instance]
    assert opened == []


def test_no_connection_is_opened_in_advance_to_a_target_that_leaves():
    statements = a_statements(BootClock())
    chooser = a_chooser("north-a", "north-a", statements=statements)
    statements.record_leaving(a_record(instance="i-0"))
    opened: list[str] = []
    connections = TargetConnections(
        clock=BootClock(),
        may_preconnect=chooser.is_staying,
        record_link_failure=lambda address, failure: opened.append(address),
    )
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # nobody listens there
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        apply(
            chooser,
            [a_record(instance="i-0", address=address)],
        )
        connections.preconnect(address)
        connections.stop_preconnecting()
    assert opened == []

"""The administration API with a fake leader, without processes."""

from __future__ import annotations

import hashlib
import json

import attrs
import pytest
from werkzeug.test import Client

from chicoryhold.codec import decode
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.messages import HostReport
from chicoryhold.control.replica_requests import ControlView, Propose, Read
from chicoryhold.operators.api import AdministrationApi
from chicoryhold.routing.configuration import Configuration, OrganisationRule
from chicoryhold.settings import OperatorSettings
from chicoryhold.state.changes import (
    Change,
    EvacuateDomain,
    PutConfiguration,
    RecordTargets,
)
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.test_control_state import change
from tests.test_targets_state import a_record

TOKEN = "an operator's token"


@attrs.define(kw_only=True)
class FakeLeader:
    """Applies each proposed change at once and records it."""

    state: ControlState
    in_force: InForceReports
    proposed: list[Change] = attrs.field(factory=list)

    def tell(self, message: Read | Propose) -> None:
        if isinstance(message, Propose):
            self.proposed.append(message.change)
            message.reply.set_result(self.state.apply(message.change))
        else:
            view = ControlView(
                state=self.state,
                in_force=self.in_force,
                status=None,
            )
            message.reply.set_result(view)


@pytest.fixture
def leader() -> FakeLeader:
    reports = InForceReports(clock=FakeClock())
    reports.record([HostReport(host="h1", domain="d", revision=3, age=7.0)])
    return FakeLeader(state=ControlState(), in_force=reports)


def call_api(
    leader: FakeLeader, method: str, path: str, data: str = "", **headers: str
):
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    api = AdministrationApi(
        replica=leader,
        operators=(OperatorSettings(name="ana", token_sha256=digest),),
    )
    headers = {"Authorization": f"Bearer {TOKEN}", **headers}
    return Client(api).open(path, method=method, headers=headers, data=data)


def test_hosts_are_listed_with_the_age_of_their_report(leader):
    (host,) = call_api(leader, "GET", "/v1/hosts").json["hosts"]
    assert host == {
        "host": "h1", "domain": "d", "revision": 3, "age": 7.0, "silent": True,
    }  # fmt: skip


def test_targets_are_listed_with_the_name_of_their_state(leader):
    leader.state.apply(change("t", RecordTargets(records=(a_record(instance="i-1"),))))
    (target,) = call_api(leader, "GET", "/v1/targets").json["targets"]
    assert (target["instance"], target["state"]) == ("i-1", "ready")


def test_evacuation_of_a_domain_starts_and_ends(leader):
    id_header = {"Chicoryhold-Request-Id": "r1"}
    assert call_api(leader, "PUT", "/v1/evacuations/d", **id_header).json["accepted"]
    assert isinstance(decode(leader.proposed[0].body), EvacuateDomain)
    assert call_api(leader, "GET", "/v1/evacuations").json == {"evacuated": ["d"]}
    id_header = {"Chicoryhold-Request-Id": "r2"}
    assert call_api(leader, "DELETE", "/v1/evacuations/d", **id_header).json["accepted"]
    assert call_api(leader, "GET", "/v1/evacuations").json == {"evacuated": []}


def test_the_configuration_is_shown_without_keys(leader):
    rule = OrganisationRule(name="clinic", keys=("secret-key", "other"), rate=5.0)
    configuration = Configuration(version=4, organisations=(rule,))
    body = PutConfiguration(configuration=configuration, text=b"")
    leader.state.apply(change("c", body))
    response = call_api(leader, "GET", "/v1/configuration")
    assert response.json["version"] == 4
    assert response.json["organisations"][0]["keys"] == 2
    assert "secret-key" not in response.text


def test_requests_with_a_wrong_token_are_rejected(leader):
    for path in ("/v1/configuration", "/v1/targets", "/v1/hosts", "/v1/evacuations"):
        response = call_api(leader, "GET", path, Authorization="Bearer guessed")
        assert response.status_code == 401


@pytest.mark.parametrize("based_on", ["9223372036854775808", "-1", "9" * 40, "x"])
def test_a_revision_that_no_state_can_have_is_a_wrong_request(leader, based_on):
    headers = {"Chicoryhold-Request-Id": "r", "Chicoryhold-Based-On": based_on}
    response = call_api(leader, "PUT", "/v1/table", **headers)
    assert (response.status_code, leader.proposed) == (400, [])


def test_a_name_that_is_no_unicode_is_a_wrong_request(leader):
    fields = {"service": "\ud800", "source": "a", "destination": "b"}
    body = json.dumps({**fields, "share": 1, "cap": 1})
    headers = {"Chicoryhold-Request-Id": "r", "Content-Type": "application/json"}
    response = call_api(leader, "PUT", "/v1/shifts/s", data=body, **headers)
    assert (response.status_code, leader.proposed) == (400, [])

"""Adapters to the users' platform: decoding of its formats and headers."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace

import msgspec
import pytest
from result import Err, Ok
from wiring.client_app import ClientApp
from wiring.configuration import InvalidConfiguration, read_configuration
from wiring.settings import control_settings, read_settings
from wiring.targets import PlatformHeaders, leaving_process_text, read_report

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.errors import SettingsError
from chicoryhold.gateway.outcomes import NOT_RUN_STATUSES, Outcome
from chicoryhold.gateway.request import RelayCall, RelayTerms, TargetCall
from chicoryhold.gateway.service import ServeResult
from chicoryhold.http.channel import ARRIVED_AT, CANCELLATION
from chicoryhold.state.targets import TargetProcess, TargetState
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetResponse

NESTING_DEPTH = 100_000  # more than the decoder takes
CONFIGURATION = {
    "version": "0000000c",
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path_prefix": "/a/",
            "kind": "unsafe",
            "timeout_s": 1.5,
            "target_latency_s": 0.3,
            "max_attempts": 2,
            "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
        },
        {
            "name": "q",
            "host": "shop.example",
            "path_prefix": "/b/",
            "kind": "safe",
            "service": "s",
        },
    ],
    "services": [{"name": "s", "cold_per_s": 16.0}, {"name": "t"}],
    "tenants": [{"name": "o", "api_keys": ["k"], "rate_per_s": 5, "burst": 7}],
}
REPORT = {
    "address": "10.0.0.9:8080",
    "born": 1_700_000_000_000,
    "info": {"service": "s", "version": "v1", "zone": "north-a", "slots": 6},
    "status": {"state": "draining", "sequence": 4, "cold_left_s": 1.5},
}


def with_value(original: dict, path: str, value: object) -> bytes:
    """Return ``original`` as JSON with the value at the dotted ``path`` replaced."""
    copy = msgspec.json.decode(msgspec.json.encode(original))
    parent = copy
    *steps, last = path.split(".")
    for step in steps:
        parent = parent[int(step) if step.isdecimal() else step]
    parent[last] = value
    return msgspec.json.encode(copy)


def test_configuration_is_decoded():
    configuration = read_configuration(msgspec.json.encode(CONFIGURATION))
    route = configuration.routes[0]
    assert configuration.version == 12
    assert not route.repeatable
    assert (route.timeout, route.objective, route.attempts) == (1.5, 0.3, 2)
    assert [part.weight for part in route.parts] == [90, 10]
    assert configuration.organisations[0].rate == 5
    assert configuration.services[0].cold_rate == 16


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("routes.0.kind", "odd"),
        ("routes.0.host", ""),
        ("routes.0.path_prefix", "a/"),
        ("routes.0.timeout_s", 601),
        ("routes.0.split", [{"service": "x", "weight": 1}]),
        ("routes.1.split", [{"service": "x", "weight": 1}]),
        ("version", "zz"),
        ("version", 12),
        ("version", "f" * 17),
        ("version", "-5"),
        ("version", "0x0c"),
        ("routes.0.max_attempts", 2**63),
        ("routes.0.priority", -(2**70)),
        ("services.0.max_conns", 2**64),
    ],
)
def test_invalid_configuration_is_rejected(path, value):
    with pytest.raises(InvalidConfiguration):
        read_configuration(with_value(CONFIGURATION, path, value))


def test_a_route_with_a_service_and_a_split_is_served_by_the_service():
    split = [{"service": "t", "weight": 1}]
    body = with_value(CONFIGURATION, "routes.1.split", split)
    route = read_configuration(body).routes[1]
    assert [part.service for part in route.parts] == ["s"]


def test_truncated_configuration_is_rejected():
    with pytest.raises(InvalidConfiguration):
        read_configuration(msgspec.json.encode(CONFIGURATION)[:-3])


@pytest.mark.parametrize(
    ("read", "original"),
    [(read_configuration, CONFIGURATION), (partial(read_report, "i-1"), REPORT)],
)
def test_a_document_whose_unknown_field_is_no_text_is_rejected(read, original):
    body = with_value(original, "note", "REPLACED")
    read(body)
    with pytest.raises(ValueError, match="can't decode byte"):
        read(body.replace(b"REPLACED", b"\xff"))


@pytest.mark.parametrize("closing", ["]", ""])
@pytest.mark.parametrize(
    ("read", "original"),
    [(read_configuration, CONFIGURATION), (partial(read_report, "i-1"), REPORT)],
)
def test_a_document_that_is_nested_too_deeply_is_rejected(read, original, closing):
    nested = b"[" * NESTING_DEPTH + closing.encode() * NESTING_DEPTH
    body = with_value(original, "note", "REPLACED").replace(b'"REPLACED"', nested)
    with pytest.raises(ValueError, match="nested too deeply"):
        read(body)


def test_target_report_is_decoded():
    record = read_report("i-1", msgspec.json.encode(REPORT))
    assert record.state is TargetState.DRAINING
    assert (record.born_ms, record.sequence) == (1_700_000_000_000, 4)
    assert (record.domain, record.slots, record.cold_seconds) == ("north-a", 6, 1.5)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("status.state", "resting"),
        ("status.sequence", "4"),
        ("info.slots", "6"),
        ("info.slots", 0),
        ("address", "nowhere"),
        ("address", "target.example:80"),
        ("address", "10.0.0.9:0"),
        ("address", "10.0.0.9:65536"),
        ("address", "10.0.0.9:70000"),
        ("address", "10.0.0.9:\uff18\uff10"),
        ("address", "10.0.0.9 :80"),
        ("address", "::1:80"),
        ("address", "[10.0.0.9]:80"),
        ("address", "[fe80::1%lo]:80"),
        ("born", 1.5),
        ("born", 2**63),
        ("status.sequence", -(2**70)),
        ("info.slots", 2**64),
    ],
)
def test_invalid_target_report_is_rejected(path, value):
    with pytest.raises((ValueError, msgspec.DecodeError)):
        read_report("i-1", with_value(REPORT, path, value))


@pytest.mark.parametrize("address", ["10.0.0.9:1", "10.0.0.9:65535", "[::1]:80"])
def test_the_address_of_a_target_report_is_an_ip_and_a_port(address):
    report = with_value(REPORT, "address", address)
    assert read_report("i-1", report).address == address


def test_response_metadata_is_read_from_status_and_headers():
    header_translator = PlatformHeaders()

    def response_metadata(status: int, *headers: tuple[str, str]):
        return header_translator.response_metadata(
            TargetResponse(status=status, headers=headers, body=b"")
        )

    assert response_metadata(200, ("Server-Load", "3,1,8")).statement.load.waiting == 1
    assert response_metadata(200, ("Server-Load", "many")).statement.load is None
    assert response_metadata(503, ("Not-Executed", "1")).did_not_run
    assert not response_metadata(503).did_not_run
    assert response_metadata(421).other_instance


@pytest.mark.parametrize(
    ("text", "process"),
    [
        ("1700,i-1", TargetProcess(instance="i-1", born_ms=1700)),
        ("-5,i,1", TargetProcess(instance="i,1", born_ms=-5)),
        ("", None),
        ("1700,", None),
        ("i-1", None),
        ("1.5,i-1", None),
        ("\u0661,i-1", None),
        ("9" * 5000 + ",i-1", None),
    ],
)
def test_the_process_that_a_peer_says_is_leaving_is_read(text, process):
    headers = (("chicoryhold-leaving", text),)
    response = TargetResponse(status=200, headers=headers, body=b"")
    assert PlatformHeaders().leaving_process(response) == process
    if process:
        assert leaving_process_text(process) == text


def headers_sent(outcome: Outcome, *, relayed: str) -> list[tuple[str, str]]:
    """Return the headers of the response to a request with this outcome."""
    return head_sent(outcome, relayed=relayed)[1]


def head_sent(
    outcome: Outcome, *, relayed: str = ""
) -> tuple[int, list[tuple[str, str]]]:
    """Return status and headers of the response to a request with this outcome."""
    gateway = SimpleNamespace(serve=lambda request: ServeResult(outcome=outcome))
    gateway.service = gateway
    environ = {
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": "/a/",
        "HTTP_CHICORYHOLD_RELAYED": relayed,
        "wsgi.input": _EmptyBody(),
        ARRIVED_AT: 100.0,
        CANCELLATION: Cancellation(),
    }
    sent = []
    ClientApp(gateway)(environ, lambda *head: sent.append(head))
    ((status, headers),) = sent
    return int(status[:3]), headers


@pytest.mark.parametrize("relayed", ["12,1", ""])
def test_only_a_relaying_host_is_told_which_process_leaves(relayed):
    response = TargetResponse(
        status=200,
        headers=(("Server-Leaving", "1"), ("Chicoryhold-Leaving", "9,i-forged")),
        body=b"",
        leaving=TargetProcess(instance="i-1", born_ms=1700),
    )
    sent = headers_sent(Ok(response), relayed=relayed)
    internal = [value for name, value in sent if name == "Chicoryhold-Leaving"]
    assert internal == (["1700,i-1"] if relayed else [])
    assert ("Server-Leaving", "1") in sent


def test_target_call_is_sent_as_headers():
    call = TargetCall(instance="i-1", organisation="o", remaining=0.25)
    assert PlatformHeaders().headers(call) == {
        "Deadline-Ms": "250",
        "Expect-Instance": "i-1",
        "Tenant": "o",
    }


@pytest.mark.parametrize("name", ["sese880", "Zoë", "株"])
def test_an_organisation_of_any_name_is_sent_as_its_utf_8_bytes(name):
    call = TargetCall(instance="i-1", organisation=name, remaining=1.0)
    value = PlatformHeaders().headers(call)["Tenant"]
    assert value.encode("latin-1") == name.encode()


def test_relayed_request_is_sent_with_the_callers_host_and_key():
    terms = RelayTerms(version=12, attempts=1)
    call = RelayCall(host="shop.example", key="k", remaining=0.25, terms=terms)
    assert PlatformHeaders().relay_headers(call) == {
        "Host": "shop.example",
        "Deadline-Ms": "250",
        "Chicoryhold-Relayed": "12,1",
        "Authorization": "Bearer k",
    }


@pytest.mark.parametrize(
    ("body", "kind"),
    [
        (b'{"refused": "not_ready", "message": "m"}', RefusalKind.NOT_READY),
        (b'{"refused": "something new"}', RefusalKind.OVERLOADED),
        (b"from the target itself", None),
    ],
)
def test_kind_of_a_peers_refusal_is_read(body, kind):
    response = TargetResponse(status=503, headers=(), body=body)
    assert PlatformHeaders().refusal_kind(response) is kind


@pytest.mark.parametrize("relayed", ["12,1", ""])
def test_a_refusal_without_a_body_names_its_kind_to_a_relaying_host_alone(relayed):
    """Guards against lost promises: a response to HEAD has no body that names it."""
    refusal = Refusal(
        kind=RefusalKind.NOT_READY, ran=RunStatus.NOT_RUN, message="not yet"
    )
    headers = tuple(headers_sent(Err(refusal), relayed=relayed))
    response = TargetResponse(status=503, headers=headers, body=b"")
    kind = PlatformHeaders().refusal_kind(response)
    assert kind is (RefusalKind.NOT_READY if relayed else None)
    passed_on = headers_sent(Ok(response), relayed=relayed)
    assert "Chicoryhold-Refused" not in dict(passed_on)


@pytest.mark.parametrize("ran", RunStatus)
@pytest.mark.parametrize("kind", RefusalKind)
def test_no_refusal_promises_that_a_request_did_not_run_unless_that_is_known(kind, ran):
    """Guards against REFUSED by a refusal whose kind alone chose the status."""
    refusal = Refusal(kind=kind, ran=ran, message="why")
    status, _ = head_sent(Err(refusal))
    assert ran is RunStatus.NOT_RUN or status not in NOT_RUN_STATUSES


class _RecordingGateway:
    """Records the request that it is given, then raises ``InterruptedError``."""

    def __init__(self) -> None:
        self.service = self

    def serve(self, request):
        self.request = request
        raise InterruptedError


def test_client_request_is_forwarded_without_credentials_and_gateway_headers():
    gateway = _RecordingGateway()
    environ = {
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": "/a/2f?x=%2F",
        "HTTP_HOST": "shop.example",
        "HTTP_REQUEST_ID": "9c41",
        "HTTP_AFFINITY_KEY": "17",
        "HTTP_DEADLINE_MS": "2000",
        "HTTP_AUTHORIZATION": "Bearer k",
        # Only the gateway may tell a target the tenant, so the client's is dropped.
        "HTTP_TENANT": "somebody else",
        "HTTP_CONNECTION": "keep-alive, X-Hop",
        "HTTP_X_HOP": "1",
        "HTTP_X_KEPT": "2",
        "HTTP_CHICORYHOLD_RELAYED": "12,1",
        "wsgi.input": _EmptyBody(),
        ARRIVED_AT: 100.0,
        CANCELLATION: Cancellation(),
    }
    with pytest.raises(InterruptedError):
        ClientApp(gateway)(environ, lambda *_: None)
    request = gateway.request
    assert request.key == "k"
    assert request.relayed == RelayTerms(version=12, attempts=1)
    assert request.target == "/a/2f?x=%2F"
    assert request.path == "/a/2f"
    assert request.deadline == 102.0
    assert request.headers == {"Affinity-Key": "17", "X-Kept": "2"}


class _EmptyBody:
    def read(self) -> bytes:
        return b""


SETTINGS = """
[self]
ip = "10.1.0.11"
zone = "north-a"
region = "north"
bootstrap = true
data_dir = "/data"
[network]
internal_ports = [7600, 7615]
seeds = ["10.1.0.11:8200", "10.2.0.6:8200"]
[network.zones]
north-a = "north"
south-a = "south"
[network.listen]
control = "10.1.0.11:8200"
directory = "10.1.0.11:8209"
[terms.bounds]
quota_overage = 0.1
quota_slack = 20
something_new = true
"""


def test_settings_file_is_decoded_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    settings = control_settings(read_settings(path))
    assert settings.bus_address == "10.1.0.11:7600"
    assert settings.seeds == ("10.1.0.11", "10.2.0.6")
    assert settings.new_installation
    assert settings.tolerance.requests == 20


def test_error_for_a_wrong_setting_names_the_file_and_the_key(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace('ip = "10.1.0.11"', "ip = 11"))
    with pytest.raises(SettingsError, match="settings.toml.*ip"):
        read_settings(path)

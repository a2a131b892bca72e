"""Numbers in the heads of callers' requests that are too large."""

from __future__ import annotations

import io

import pytest
from wiring.client_app import (
    DEFAULT_TIMEOUT_SECONDS,
    MAX_TIMEOUT_SECONDS,
    timeout_seconds,
)
from wiring.integers import MAX_INTEGER
from wiring.targets import read_relay_terms

from chicoryhold.callers.refusals import RefusalKind
from chicoryhold.callers.request import DEADLINE_HEADER, read_request
from chicoryhold.errors import RequestRefused
from chicoryhold.gateway.request import RelayTerms
from tests.test_invalid_statuses import an_entry_host, answer_to_caller
from tests.test_statements_on_the_wire import SEAL, answer


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2000", 2.0),
        ("0", 0.0),
        ("", DEFAULT_TIMEOUT_SECONDS),
        ("-1", DEFAULT_TIMEOUT_SECONDS),
        ("1e3", DEFAULT_TIMEOUT_SECONDS),
        ("86400000", MAX_TIMEOUT_SECONDS),
        ("86400001", MAX_TIMEOUT_SECONDS),
        ("9" * 400, MAX_TIMEOUT_SECONDS),
        ("9" * 5_000, MAX_TIMEOUT_SECONDS),
    ],
)
def test_a_timeout_is_a_number_of_milliseconds_up_to_a_maximum(text, seconds):
    assert timeout_seconds(text) == seconds


@pytest.mark.parametrize("digits", [9, 12, 13, 18, 25, 400, 5_000])
def test_a_request_with_a_timeout_of_any_length_is_served(digits):
    """It got a 500, and counted as in flight at its target from then on."""
    lines = b"Deadline-Ms: " + b"9" * digits + b"\r\n"
    with an_entry_host(answer(lines=SEAL)) as host:
        received = answer_to_caller(host, "/ledger/1", lines)
        in_flight = [view.in_flight for view in host.links.chooser.views.values()]
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")
    assert not any(in_flight)


@pytest.mark.parametrize("text", ["9" * 5_000 + ",1", "1," + "9" * 5_000, "1,-1"])
def test_relay_terms_that_can_not_be_read_are_those_of_no_host(text):
    assert read_relay_terms(text) is None
    lines = f"Chicoryhold-Relayed: {text}\r\n".encode()
    with an_entry_host(answer(lines=SEAL)) as host:
        received = answer_to_caller(host, "/ledger/1", lines)
    assert received.startswith(b"HTTP/1.1 200 OK\r\n")


@pytest.mark.parametrize("version", [0, 12, MAX_INTEGER])
def test_relay_terms_of_every_version_are_read(version):
    terms = RelayTerms(version=version, attempts=2)
    assert read_relay_terms(f"{version},2") == terms


def deadline_of(text: str) -> float | None:
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/menu/1",
        "wsgi.input": io.BytesIO(),
        DEADLINE_HEADER: text,
    }
    return read_request(environ).deadline


@pytest.mark.parametrize("text", ["0", "300001", "9" * 400, "9" * 5_000, "-1", "x"])
def test_a_timeout_that_the_own_interface_does_not_take_is_a_bad_request(text):
    with pytest.raises(RequestRefused) as caught:
        deadline_of(text)
    assert caught.value.refusal.kind is RefusalKind.BAD_REQUEST


@pytest.mark.parametrize(("text", "seconds"), [("1", 0.001), ("300000", 300.0)])
def test_a_timeout_that_the_own_interface_takes_is_in_milliseconds(text, seconds):
    assert deadline_of(text) == seconds

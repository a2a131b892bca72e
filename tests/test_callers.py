"""Requests of callers: no key reaches a target, one route, correct refusals."""

from __future__ import annotations

import base64
import io
from urllib.parse import quote

import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from chicoryhold.callers.observations import RequestResult, classify_outcome
from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.callers.request import read_request
from chicoryhold.errors import RequestRefused
from chicoryhold.keys import create_key
from chicoryhold.report.burn import burn_rows, increase, worst_organisation
from chicoryhold.report.samples import Sample
from chicoryhold.targets.idle_connections import idle_limit_seconds

KEY = create_key().text


def environ(path="/menus", query="", body=b"", **headers) -> dict:
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "wsgi.input": io.BytesIO(body),
        "HTTP_CHICORYHOLD_KEY": KEY,
        **{f"HTTP_{name}": value for name, value in headers.items()},
    }


def encodings(key: str):
    yield key
    yield key.upper()
    yield quote(key, safe="")
    yield "".join(f"%{byte:02X}" for byte in key.encode())
    yield quote("".join(f"%{byte:02x}" for byte in key.encode()))


text = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=20)


@given(
    before=text,
    after=text,
    written=st.sampled_from(list(encodings(KEY))),
    place=st.sampled_from(["query", "body", "path", "header", "cookie"]),
)
def test_nothing_that_a_target_receives_contains_the_key(before, after, written, place):
    value = f"{before}{written}{after}"
    given_environ = {
        "query": environ(query=value),
        "body": environ(body=value.encode()),
        "path": environ(path=f"/menus/{value}"),
        "header": environ(X_ANY=value),
        "cookie": environ(COOKIE=f"a={value}"),
    }[place]
    try:
        request = read_request(given_environ)
    except RequestRefused as error:
        assert error.refusal.ran is RunStatus.NOT_RUN
        return
    sent = f"{request.request_target} {request.headers} {request.body!r}".lower()
    for encoded in encodings(KEY):
        assert encoded.lower() not in sent


def test_key_in_basic_credentials_is_removed():
    credentials = base64.b64encode(f"user:{KEY}".encode()).decode()
    request = read_request(environ(AUTHORIZATION=f"Basic {credentials}"))
    assert "Authorization" not in request.headers


def test_header_named_by_connection_is_not_passed_on():
    request = read_request(environ(CONNECTION="close, X-Hop", X_HOP="1", X_END="2"))
    assert request.headers == {"X-End": "2"}


@pytest.mark.parametrize(
    "path", ["/a/../b", "/a/./b", "/a//b", "/a/..;p/b", "/a\\b", "/a/\x00b"]
)
def test_path_that_a_target_could_read_in_another_way_is_refused(path):
    with pytest.raises(RequestRefused):
        read_request(environ(path=path))


def test_ordinary_path_is_sent_as_its_route_was_chosen():
    request = read_request(environ(path="/a b/\u00e9", query="x=%2F"))
    assert request.request_target == "/a%20b/%E9?x=%2F"


def test_outcomes_are_classified_for_the_objective():
    refused = Refusal(kind=RefusalKind.OVERLOADED, ran=RunStatus.NOT_RUN, message="")
    rate_exceeded = Refusal(
        kind=RefusalKind.RATE_EXCEEDED, ran=RunStatus.NOT_RUN, message=""
    )
    assert classify_outcome(Err(refused)) is RequestResult.REFUSED
    assert classify_outcome(Err(rate_exceeded)) is RequestResult.RATE_EXCEEDED

    class FailedResponse:
        status = 500

    assert classify_outcome(Ok(FailedResponse())) is RequestResult.FAILED


def sample(time, result, value, organisation="o", host="h") -> Sample:
    return Sample(
        time=time, host=host, service="s", organisation=organisation, result=result,
        value=value,
    )  # fmt: skip


def test_restarted_counter_counts_from_zero():
    values = [sample(10, "answered", 5), sample(20, "answered", 9)]
    values += [sample(30, "answered", 2), sample(40, "answered", 3)]
    assert increase(values, 15, 40) == 4 + 2 + 1


def test_burn_alarm_and_worst_organisation():
    samples = [
        sample(3_500, "answered", 0),
        sample(3_500, "refused", 0),
        sample(3_990, "answered", 90),
        sample(3_990, "refused", 10),
        sample(3_990, "rate_exceeded", 900),
        sample(3_990, "answered", 100, organisation="fine"),
    ]
    rows = burn_rows(samples, objective=0.999, now=4_000)
    assert worst_organisation(rows) == "o"
    assert rows[0].burn["5 min"] == pytest.approx(100)
    assert rows[0].alarm == "fast burn"
    assert (rows[0].refused, rows[0].rate_exceeded) == (10, 900)
    assert rows[1].budget_left == 1 and rows[1].alarm == ""


@pytest.mark.parametrize(
    ("header", "seconds"),
    [
        ("timeout=10", 9.0),
        ("max=5, Timeout=3", 2.0),
        ("timeout=0", 0.0),
        ("timeout=99999999999", 59.0),
        ("timeout=ten", 5.0),
        ("", 5.0),
    ],
)
def test_an_idle_connection_is_closed_before_its_keep_alive_ends(header, seconds):
    # Guards against closing connections too early. Connections to targets in other
    # regions were closed after five idle seconds, and opening them again took as long
    # as a request.
    assert idle_limit_seconds(header) == seconds

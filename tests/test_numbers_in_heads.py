"""Numbers in the heads of responses that are too large, or no numbers."""

from __future__ import annotations

import pytest
from wiring.targets import DIALECT, PlatformHeaders

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed, InvalidResponse
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import ResponseHead
from chicoryhold.targets.idle_connections import (
    DEFAULT_IDLE_LIMIT_SECONDS,
    IDLE_MARGIN_SECONDS,
    MAX_IDLE_LIMIT_SECONDS,
    idle_limit_seconds,
)
from chicoryhold.targets.response_memory import MAX_RESPONSE_BYTES
from tests.test_invalid_statuses import an_entry_host, answer_to_caller
from tests.test_spoilt_responses import (
    DIALECT as SPOILT_DIALECT,
    SOUND,
    answer_of,
    exchange,
    target,
)
from tests.test_statements_on_the_wire import SEAL, a_host, answer

OTHER_DIGITS = ("٢", "２", "²", "½", "x", "")
MANY_DIGITS = "9" * 400  # too many for a float
TOO_MANY_DIGITS = "9" * 5_000  # too many for int()


def with_length(value: bytes) -> bytes:
    return SOUND.replace(b"Content-Length: 5", b"Content-Length: " + value)


@pytest.mark.parametrize("value", [b"5", b" 5 ", b"\t5", b"005", b"5, 5"])
def test_a_content_length_is_read(value):
    assert answer_of(with_length(value)).body == b"whole"


@pytest.mark.parametrize(
    "value",
    [
        b"+5", b"-5", b"5 5", b"5.0", b"0x5", b"5e0", b"5_0", b"5, 6", b"",
        "５".encode(), b"0" * 18 + b"005", b"9" * 21, b"9" * 5_000,
    ],
    ids=ascii,
)  # fmt: skip
def test_a_content_length_that_is_no_number_of_bytes_makes_no_response(value):
    with pytest.raises(InvalidResponse):
        answer_of(with_length(value), ends=False)


@pytest.mark.parametrize("value", [b"6", b"9" * 18, b"9" * 19, b"9" * 20])
def test_a_response_shorter_than_its_content_length_is_no_response(value):
    with pytest.raises(ExchangeFailed):
        answer_of(with_length(value))


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        ("timeout=9", 9.0 - IDLE_MARGIN_SECONDS),
        ("Timeout=9, max=100", 9.0 - IDLE_MARGIN_SECONDS),
        ("timeout=0", 0.0),
        ("timeout=" + MANY_DIGITS, MAX_IDLE_LIMIT_SECONDS - IDLE_MARGIN_SECONDS),
        ("timeout=" + TOO_MANY_DIGITS, MAX_IDLE_LIMIT_SECONDS - IDLE_MARGIN_SECONDS),
        ("timeout=-9", DEFAULT_IDLE_LIMIT_SECONDS),
        ("timeout=+9", DEFAULT_IDLE_LIMIT_SECONDS),
        ("timeout=9.5", DEFAULT_IDLE_LIMIT_SECONDS),
        ("timeout=inf", DEFAULT_IDLE_LIMIT_SECONDS),
        ("timeout= 9", DEFAULT_IDLE_LIMIT_SECONDS),
        *((f"timeout={each}", DEFAULT_IDLE_LIMIT_SECONDS) for each in OTHER_DIGITS),
    ],
)
def test_a_keep_alive_timeout_is_a_plain_number_up_to_a_maximum(value, seconds):
    on_the_wire = value.encode().decode("latin-1")
    assert idle_limit_seconds(on_the_wire) == seconds


@pytest.mark.parametrize("code", range(0x80, 0x100), ids=hex)
def test_no_other_character_of_a_header_is_a_digit(code):
    """Heads are decoded as Latin-1."""
    character = chr(code)
    assert idle_limit_seconds(f"timeout={character}") == DEFAULT_IDLE_LIMIT_SECONDS
    headers = (("Server-Load", f"{character},1,8"), ("Server-Limit", character))
    statement = statement_of(*headers)
    assert statement.load is None
    assert not statement.limit.is_readable


def statement_of(*headers: tuple[str, str], status: int = 200):
    head = ResponseHead(status=status, headers=headers)
    return PlatformHeaders().response_metadata(head).statement


@pytest.mark.parametrize("value", ["-1", "+1", MANY_DIGITS, TOO_MANY_DIGITS, "1e9"])
def test_numbers_that_are_too_large_or_signed_state_no_limit_and_no_back_off(value):
    headers = (("Server-Limit", value), ("Retry-After", value))
    statement = statement_of(*headers, status=503)
    assert not statement.limit.is_readable
    assert statement.back_off is None


LOADS = {
    "usual": ("3, 1, 8", True),
    "largest": (",".join(["9" * 9] * 3), True),
    "ten digits": ("1" + "0" * 9 + ",1,8", False),
    "running": (MANY_DIGITS + ",1,8", False),
    "waiting": ("1," + MANY_DIGITS + ",8", False),
    "slots": ("1,1," + MANY_DIGITS, False),
    "too many digits": ("1," + TOO_MANY_DIGITS + ",8", False),
    "negative": ("-1,1,8", False),
    "plus": ("1,+1,8", False),
}
every_load = pytest.mark.parametrize(("value", "is_read"), LOADS.values(), ids=LOADS)


@every_load
def test_a_load_that_can_not_be_reckoned_with_is_left_out(value, is_read):
    load = statement_of(("Server-Load", value)).load
    assert (load is not None) is is_read


@every_load
def test_a_load_of_any_size_ends_no_request(value, is_read):
    text = answer(lines=SEAL + f"Server-Load: {value}\r\n".encode())
    with target(text, text, text) as address:
        host = a_host(address)
        outcomes = [host.send(f"r{number}") for number in range(3)]
    assert [outcome.ok_value.status for outcome in outcomes] == [200] * 3
    (view,) = host.chooser.views.values()
    assert view.in_flight == 0


@every_load
def test_callers_get_the_answer_beside_a_load_of_any_size(value, is_read):
    text = answer(lines=SEAL + f"Server-Load: {value}\r\n".encode())
    with an_entry_host(text) as host:
        received = [answer_to_caller(host, "/ledger/1") for _ in range(2)]
    assert {each.partition(b"\r\n")[0] for each in received} == {b"HTTP/1.1 200 OK"}


def test_an_idle_connection_is_kept_whatever_its_timeout_reads():
    lines = f"Keep-Alive: timeout={TOO_MANY_DIGITS}\r\n".encode()
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(answer(lines=SEAL + lines), ends=False) as address:
        assert exchange(connections, address).status == 200
        assert connections.idle_count(address) == 1


@pytest.mark.parametrize("value", [MAX_RESPONSE_BYTES + 1, 10**18, 10**19])
def test_a_response_that_will_be_too_long_is_refused_before_its_time_runs_out(value):
    with target(with_length(str(value).encode()), ends=False) as address:
        connections = TargetConnections(clock=BootClock(), dialect=SPOILT_DIALECT)
        with pytest.raises(InvalidResponse, match="longer than"):
            exchange(connections, address)


@pytest.mark.parametrize("status", [b"200 OK", b"304 Not Modified"])
def test_the_length_of_a_body_that_is_not_sent_may_be_any(status):
    """Of a HEAD request, or of what the caller has already."""
    method = "HEAD" if status.startswith(b"200") else "GET"
    text = with_length(b"9" * 18).replace(b"200 OK", status).removesuffix(b"whole")
    with target(text, ends=False) as address:
        connections = TargetConnections(clock=BootClock(), dialect=SPOILT_DIALECT)
        response = exchange(connections, address, method=method)
    assert response.body == b""


def test_a_target_that_leaves_counts_so_beside_too_large_a_length():
    text = answer().replace(b"Content-Length: 5", b"Content-Length: " + b"9" * 18)
    with target(text, ends=False) as address:
        host = a_host(address)
        refusal = host.send().err_value
    assert refusal.kind is RefusalKind.ANSWER_BROKEN
    assert refusal.ran is RunStatus.UNKNOWN
    assert host.is_leaving()

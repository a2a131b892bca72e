"""What a host takes from answers on the wire that say that their target leaves."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from random import Random

import pytest
from loguru import logger
from wiring.targets import PlatformHeaders

from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetResponse
from chicoryhold.trial.fleet import wait_until
from tests.delivering_host import Host, a_host_with
from tests.test_spoilt_responses import target
from tests.test_target_choice import apply
from tests.test_targets_state import a_record

SEAL = b"Server-Seal: 3e1b.07\r\n"
LEAVING = b"Server-Leaving: 1\r\n"


def answer(
    status: bytes = b"200 OK", lines: bytes = SEAL + LEAVING, *, body: bytes = b"whole",
    request_id: bytes = b"{id}",
) -> bytes:  # fmt: skip
    return (
        b"HTTP/1.1 " + status + b"\r\nRequest-Id: " + request_id + b"\r\n"
        b"Content-Length: 5\r\n" + lines + b"\r\n" + body
    )


def a_host(address: str, **other_record: object) -> Host:
    """Return a host that knows the target ``i-1``, and another if one is described."""
    records = [a_record(address=address)]
    if other_record:
        records.append(a_record(address=address, service="ledger", **other_record))
    return a_host_with(*records)


@pytest.fixture
def captured_warnings() -> Iterator[list[dict]]:
    lines: list[dict] = []
    handler = logger.add(
        lambda line: lines.append(line.record["extra"]), level="WARNING"
    )
    yield lines
    logger.remove(handler)


@pytest.mark.parametrize(
    "text",
    [
        answer(),
        answer(lines=SEAL + b"server-leaving:  1 \r\n"),
        answer(b"404 Not Found", LEAVING),
        answer(b"500 Internal Server Error", LEAVING),
        answer(b"503 Service Unavailable", LEAVING),
        answer(b"503 Service Unavailable", LEAVING + b"Not-Executed: 1\r\n"),
        answer(b"429 Too Many Requests", LEAVING + b"Not-Executed: 1\r\n"),
        answer(body=b"who"),
        answer(body=b""),
    ],
    ids=[
        "success", "other spelling", "client's failure", "failure", "overload",
        "not executed", "too many", "body cut", "no body",
    ],
)  # fmt: skip
def test_an_answer_that_says_so_counts_whatever_becomes_of_the_request(text):
    with target(text) as address:
        host = a_host(address)
        host.send()
        assert host.is_leaving()
        refusal = host.send("r2").err_value
        assert refusal.kind.label == "no_target"
        assert "1 have said that they leave" in refusal.message


@pytest.mark.parametrize(
    "text",
    [
        answer(lines=SEAL),
        answer(lines=LEAVING),
        answer(request_id=b"other"),
        answer(body=b"")[:-4],
        answer(lines=SEAL + b"Server-Leaving: 0\r\n"),
        answer(lines=SEAL + b"Server-Leaving:\r\n"),
        answer(lines=SEAL + b"Server-Leaving: 01\r\n"),
        answer(lines=SEAL + b"Server-Leaving: 1, 1\r\n"),
        answer(lines=SEAL + b"Server-Leaving: yes\r\n"),
        answer(lines=SEAL + LEAVING + LEAVING),
        answer(lines=SEAL + LEAVING + b"Server-Leaving: 0\r\n"),
        answer(lines=SEAL + b"Server-Leaving: \xff\xfe\r\n"),
    ],
    ids=[
        "not said", "no proof", "other request", "head cut", "0", "empty", "01",
        "list", "yes", "twice", "contradiction", "garbled",
    ],
)  # fmt: skip
def test_an_answer_that_does_not_say_so_changes_nothing(text):
    with target(text, answer(lines=SEAL)) as address:
        host = a_host(address)
        host.send()
        assert not host.is_leaving()
        assert host.chooser.left_out_count == 0


def test_the_answer_of_another_instance_binds_the_one_that_the_copy_names_there():
    text = answer(b"421 Misdirected Request", LEAVING)
    with target(text) as address:
        host = a_host(address, instance="i-2", born_ms=900)
        host.send()
        assert host.is_leaving("i-2") is False  # the process of the copy is older
        assert host.statements.is_leaving(a_record(instance="i-2", born_ms=900))
        assert not host.is_leaving("i-1")


def test_a_target_that_took_the_address_after_the_request_is_not_taken_to_leave(
    monkeypatch,
):
    """Guards against wrong refusals: an answer to a paused host bound a new target."""
    with target(answer(b"421 Misdirected Request", LEAVING)) as address:
        host = a_host(address)
        exchange = host.connections.exchange

        def exchange_and_replace(*args: object, **options: object) -> TargetResponse:
            response = exchange(*args, **options)
            apply(host.chooser, [a_record(address=address, instance="i-9")])
            return response

        monkeypatch.setattr(host.connections, "exchange", exchange_and_replace)
        host.send()
        assert not host.is_leaving("i-9")


def test_the_answer_of_an_unknown_instance_binds_none():
    with target(answer(b"421 Misdirected Request", LEAVING)) as address:
        host = a_host(address)
        host.send()
        assert not host.is_leaving()


@pytest.mark.parametrize("instance", ["i-1", "i-2"])
def test_a_skipped_answer_counts_for_the_process_that_the_next_one_shows(instance):
    status = b"200 OK" if instance == "i-1" else b"421 Misdirected Request"
    second = answer(request_id=b"{previous}") + answer(status, SEAL)
    with target(answer(lines=SEAL), second) as address:
        host = a_host(address, instance="i-2")
        host.send("r1")
        host.send("r2")
        leaving = {name for name in ("i-1", "i-2") if host.is_leaving(name)}
        assert leaving == {instance}


def test_a_skipped_answer_counts_for_nobody_if_no_other_follows():
    with target(answer(lines=SEAL), answer(request_id=b"{previous}")) as address:
        host = a_host(address)
        host.send("r1")
        assert host.send("r2").is_err()
        assert not host.is_leaving()


def test_the_copy_of_an_old_answer_names_no_limit():
    """Guards against LIMIT: what a copy says was true when it was first sent."""
    limited = answer(lines=SEAL + b"Server-Limit: 3\r\n")
    copy = answer(lines=SEAL + b"Server-Limit: 9\r\n", request_id=b"{previous}")
    failed = answer(b"500 Internal Server Error", b"")
    with target(answer(lines=SEAL), copy + failed, limited) as address:
        host = a_host(address)
        host.send("r1")
        host.send("r2")
        assert host.statements.limits.rate_of("i-1") is None
        host.send("r3")
        assert host.statements.limits.rate_of("i-1") == 3.0


def test_the_copy_of_an_old_refusal_begins_no_back_off():
    """Guards against wrong refusals: a target was left alone for an old answer."""
    refused = b"503 Service Unavailable"
    copy = answer(refused, b"Retry-After: 60\r\n", request_id=b"{previous}")
    with target(answer(lines=SEAL), copy + answer(lines=SEAL)) as address:
        host = a_host(address)
        assert host.send("r1").is_ok()
        assert host.send("r2").is_ok()
        assert not host.statements.has_back_offs


def test_an_answer_counts_whose_time_runs_out_before_its_end():
    with target(answer(body=b"who"), ends=False) as address:
        host = a_host(address)
        assert host.send(seconds=0.3).is_err()
        assert host.is_leaving()


def test_an_answer_counts_whose_caller_leaves_before_its_end():
    with target(answer(body=b"who"), ends=False) as address:
        host = a_host(address)
        cancellation = Cancellation()

        def leave() -> None:
            wait_until(lambda: host.received_bytes > 0, what="body", timeout=20.0)
            cancellation.set()

        caller = threading.Thread(target=leave)
        caller.start()
        outcome = host.send(cancellation=cancellation, seconds=30.0)
        caller.join()
        assert "the caller left" in outcome.err_value.message
        assert host.is_leaving()


def test_an_answer_that_says_so_names_its_process_to_a_relaying_host():
    with target(answer()) as address:
        response = a_host(address).send().ok_value
    assert (response.leaving.instance, response.leaving.born_ms) == ("i-1", 1_000)
    with target(answer(lines=SEAL)) as address:
        assert a_host(address).send().ok_value.leaving is None


def test_garbled_statements_are_logged_at_a_bounded_rate(captured_warnings):
    texts = [answer(lines=SEAL + b"Server-Leaving: no\r\n")] * 20
    with target(*texts) as address:
        host = a_host(address)
        for number in range(20):
            host.send(f"r{number}")
    (line,) = captured_warnings
    assert line["target"] == "i-1"
    assert "no" in line["value"]


def test_an_unexpected_error_leaves_no_request_counted_as_in_flight(monkeypatch):
    """Guards against wrong refusals: a target seemed busy with what had ended."""
    with target(answer(lines=SEAL)) as address:
        host = a_host(address)

        def fail(self: PlatformHeaders, response: TargetResponse) -> None:
            raise OverflowError

        monkeypatch.setattr(PlatformHeaders, "response_metadata", fail)
        with pytest.raises(OverflowError):
            host.send()
    (view,) = host.chooser.views.values()
    assert view.in_flight == 0


def test_random_bytes_in_the_statement_never_end_a_request():
    random = Random(24)
    values = [
        bytes(random.choice(range(0x21, 0x7F)) for _ in range(random.randrange(200)))
        for _ in range(40)
    ]
    texts = [answer(lines=SEAL + b"Server-Leaving: " + v + b"\r\n") for v in values]
    with target(*texts) as address:
        host = a_host(address)
        outcomes = [host.send(f"r{number}") for number in range(len(texts))]
    said = [value.strip() == b"1" for value in values]
    assert not any(said)
    assert all(outcome.is_ok() for outcome in outcomes)

"""Responses whose status isn't one of HTTP, wherever a target or a peer sends them.

Guards against MIXED: a caller got an answer with a status that HTTP doesn't have.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from types import SimpleNamespace

import attrs
import pytest
from wiring.client_app import NOT_RUN_STATUS, STATUS_BY_REFUSAL
from wiring.targets import DIALECT

from chicoryhold.callers.refusals import RefusalKind, RunStatus
from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed, InvalidResponse
from chicoryhold.routing.stated_limits import RateStatement
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.exchange import TargetResponse
from tests.links import IP
from tests.statement_fakes import a_statements
from tests.test_cut_off_host import SERVICES, Host as EntryHost, running_host
from tests.test_forwarding import Host as ForwardingHost
from tests.test_relay import a_relayed_request, create_relay, host as a_peer
from tests.test_spoilt_responses import exchange, target
from tests.test_statements_on_the_wire import a_host, answer

EXCHANGE_SECONDS = 2.0
WAIT_SECONDS = 10.0
MAX_REQUESTS = 4  # to one host
SEAL = b"Server-Seal: 3e1b.07\r\n"
STATEMENTS = (
    SEAL + b"Server-Leaving: 1\r\nServer-Limit: 3\r\nServer-Load: 1,1,8\r\n"
    b"Retry-After: 9\r\n"
)
RELAYED_STATEMENT = b"Leaving: i-9\r\n"
OWN_STATEMENTS = b"Chicoryhold-Leaving: 1\r\nChicoryhold-Limit: 3\r\n"
INVALID = {
    "000": b"000",
    "001": b"001",
    "099": b"099",
    "600": b"600",
    "700": b"700",
    "999": b"999",
    "switching protocols": b"101",  # which no request asks for
    "two digits": b"00",
    "four digits": b"1000",
    "letters": b"2OO",
    "plus": b"+20",
    "minus": b"-01",
    "empty": b"",
    "Arabic digits": "٢٠٠".encode(),
    "full-width digits": "２００".encode(),
}
every_invalid_status = pytest.mark.parametrize("status", INVALID.values(), ids=INVALID)
INTERIM = (b"100", b"102", b"103", b"199")


def with_status(status: bytes, lines: bytes = SEAL) -> bytes:
    return answer(status + b" Status", lines)


@every_invalid_status
def test_an_invalid_status_is_no_response(status):
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(with_status(status), ends=False) as address:
        with pytest.raises(InvalidResponse) as caught:
            exchange(connections, address)
        assert connections.idle_count(address) == 0
    assert caught.value.heads == ()


@pytest.mark.parametrize("status", [b"200", b"299", b"404", b"599"])
def test_every_final_status_of_http_is_a_response(status):
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(with_status(status)) as address:
        assert exchange(connections, address).status == int(status)


@every_invalid_status
def test_an_invalid_status_after_an_interim_head_is_no_response(status):
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with (
        target(interim + with_status(status), ends=False) as address,
        pytest.raises(InvalidResponse),
    ):
        exchange(connections, address)


@every_invalid_status
def test_an_answer_to_an_earlier_request_with_an_invalid_status_is_not_skipped(status):
    earlier = answer(status + b" Status", SEAL, request_id=b"{previous}")
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(with_status(b"200"), earlier + with_status(b"200")) as address:
        exchange(connections, address, "r1")
        with pytest.raises(InvalidResponse):
            exchange(connections, address, "r2")


@pytest.mark.parametrize("status", INTERIM)
def test_an_interim_head_alone_is_no_response(status):
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    text = with_status(status, STATEMENTS)
    with target(text) as address, pytest.raises(ExchangeFailed) as caught:
        exchange(connections, address)
    assert caught.value.heads == ()


@pytest.mark.parametrize("status", INTERIM)
def test_the_final_head_after_an_interim_one_is_the_response(status):
    interim = b"HTTP/1.1 " + status + b" Interim\r\nServer-Seal: early\r\n\r\n"
    connections = TargetConnections(clock=BootClock(), dialect=DIALECT)
    with target(interim + with_status(b"404")) as address:
        response = exchange(connections, address)
    assert (response.status, response.body) == (404, b"whole")
    assert response.header("Server-Seal") == "3e1b.07"
    assert response.earlier == ()


@every_invalid_status
def test_the_caller_is_told_that_it_is_unknown_whether_the_request_ran(status):
    with target(with_status(status), ends=False) as address:
        refusal = a_host(address).send().err_value
    assert refusal.kind is RefusalKind.ANSWER_BROKEN
    assert refusal.ran is RunStatus.UNKNOWN


@every_invalid_status
def test_statements_beside_an_invalid_status_count_for_nothing(status):
    with target(with_status(status, STATEMENTS), ends=False) as address:
        host = a_host(address)
        host.send()
    assert not host.is_leaving()
    assert host.statements.limits.rates() == {}
    assert not host.statements.has_back_offs
    (view,) = host.chooser.views.values()
    assert view.load is None
    assert view.failures == 1


@pytest.mark.parametrize("status", INTERIM)
def test_statements_in_an_interim_head_count_for_nothing(status):
    interim = b"HTTP/1.1 " + status + b" Interim\r\nRequest-Id: {id}\r\n"
    text = interim + STATEMENTS + b"\r\n" + with_status(b"200")
    with target(text) as address:
        host = a_host(address)
        assert host.send().ok_value.status == 200
    assert not host.is_leaving()
    assert host.statements.limits.rates() == {}


@every_invalid_status
def test_an_invalid_status_of_a_peer_is_not_passed_on(status):
    clock = BootClock()
    statements = a_statements(clock)
    with target(with_status(status, RELAYED_STATEMENT), ends=False) as address:
        relay = create_relay(
            TargetConnections(clock=clock, dialect=DIALECT),
            clock,
            peers=(attrs.evolve(a_peer("near"), address=address),),
            statements=statements,
        )
        refusal = relay.deliver(a_relayed_request(clock)).err_value
    assert refusal.kind is RefusalKind.ANSWER_BROKEN
    assert refusal.ran is RunStatus.UNKNOWN
    target_process = SimpleNamespace(instance="i-9", born_ms=1_000)
    assert not statements.is_leaving(target_process)


def test_a_valid_status_of_a_peer_is_passed_on():
    clock = BootClock()
    statements = a_statements(clock)
    with target(with_status(b"200", SEAL + RELAYED_STATEMENT)) as address:
        relay = create_relay(
            TargetConnections(clock=clock, dialect=DIALECT),
            clock,
            peers=(attrs.evolve(a_peer("near"), address=address),),
            statements=statements,
        )
        outcome = relay.deliver(a_relayed_request(clock))
    assert outcome.ok_value.status == 200
    target_process = SimpleNamespace(instance="i-9", born_ms=1_000)
    assert statements.is_leaving(target_process)


class OwnInterface(ForwardingHost):
    """An entry host of the own interface whose grants all name one real target."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.address = address
        self.connections = TargetConnections(clock=BootClock())
        self.limits: list[RateStatement | None] = []
        self.admission.release = self.release

    def release(self, grant, *, ok, latency, limit=None, is_leaving=False):
        assert not ok
        assert not is_leaving
        self.limits.append(limit)

    def exchange(
        self, address, request, *, deadline, stale_connection_deadline, may_give_up
    ) -> TargetResponse:
        until = BootClock().now() + EXCHANGE_SECONDS
        return self.connections.exchange(
            self.address, request, deadline=until, stale_connection_deadline=until
        )


@every_invalid_status
def test_an_invalid_status_is_refused_and_its_statements_count_for_nothing(status):
    text = with_status(status, OWN_STATEMENTS)
    text = text.replace(b"Request-Id", b"Chicoryhold-Request-Id")
    with target(text, ends=False) as address:
        host = OwnInterface(address)
        refusal = host.send().err_value
    assert refusal.kind is RefusalKind.ANSWER_BROKEN
    assert refusal.ran is RunStatus.UNKNOWN
    assert host.limits == [None]


@contextmanager
def an_entry_host(*texts: bytes) -> Iterator[EntryHost]:
    """Run an entry host, each service of which has a target for each of ``texts``."""
    with ExitStack() as stack:
        targets = [
            SimpleNamespace(address=stack.enter_context(target(*answers, ends=False)))
            for answers in ([text] * MAX_REQUESTS for text in texts)
            for _ in SERVICES
        ]
        yield stack.enter_context(running_host("own", targets, lambda: ()))


def answer_to_caller(
    host: EntryHost, path: str, lines: bytes = b"Deadline-Ms: 2000\r\n"
) -> bytes:
    """Send a request with ``lines`` in its head; return all bytes of the answer."""
    with socket.create_connection((IP, host.port), timeout=WAIT_SECONDS) as caller:
        caller.sendall(
            b"POST " + path.encode() + b" HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: r1\r\nAuthorization: Bearer k\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n" + lines + b"\r\n"
        )
        received = b""
        while data := caller.recv(65_536):
            received += data
    return received


@every_invalid_status
def test_the_caller_gets_a_502_without_anything_of_the_target(status):
    with an_entry_host(with_status(status, STATEMENTS)) as host:
        received = answer_to_caller(host, "/ledger/1")
    assert received.startswith(b"HTTP/1.1 502 Bad Gateway\r\n")
    assert b"server-" not in received.lower()
    assert b"retry-after" not in received.lower()
    assert b"whole" not in received


@every_invalid_status
def test_a_request_that_may_be_repeated_is_answered_by_another_target(status):
    texts = (with_status(status), with_status(b"200"))
    with an_entry_host(*texts) as host:
        answers = [answer_to_caller(host, "/menu/1") for _ in range(MAX_REQUESTS)]
    assert {each.partition(b"\r\n")[0] for each in answers} == {b"HTTP/1.1 200 OK"}


@pytest.mark.parametrize("kind", RefusalKind, ids=lambda kind: kind.label)
def test_the_status_of_every_refusal_is_one_of_a_failed_request(kind):
    assert 400 <= kind.status <= 599
    assert 400 <= STATUS_BY_REFUSAL.get(kind, NOT_RUN_STATUS) <= 599

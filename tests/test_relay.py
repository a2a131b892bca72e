"""Requests that an entry host without targets sends to a peer."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from random import Random

import attrs
import pytest
from hypothesis import given, strategies as st
from result import Err, Ok

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.errors import (
    ConnectFailed,
    ExchangeCancelled,
    ExchangeFailed,
    ExchangeTimeout,
)
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.relay import MAX_IN_FLIGHT, Relay, RelayedRequest
from chicoryhold.gateway.relay_peers import RelayPeers
from chicoryhold.gateway.request import GatewayRequest, RelayTerms
from chicoryhold.limits.retry_budgets import FLEET_TERMS, RetryBudgets
from chicoryhold.membership.messages import EntryHost
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import TargetProcess
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.exchange import TargetResponse
from tests.conftest import FakeClock
from tests.statement_fakes import a_statements

OK = TargetResponse(status=200, headers=(), body=b"whole")
OVERLOADED = TargetResponse(status=503, headers=(), body=b"overloaded")
STOPPING = TargetResponse(status=503, headers=(), body=b"stopping")
REFUSED = TargetResponse(status=503, headers=(("Retry-After", "0.4"),), body=b"")
OVER_RATE = TargetResponse(status=429, headers=(("Retry-After", "0.5"),), body=b"")
KINDS = {
    STOPPING: RefusalKind.STOPPING,
    OVERLOADED: RefusalKind.OVERLOADED,
    REFUSED: RefusalKind.NOT_READY,
    OVER_RATE: RefusalKind.RATE_EXCEEDED,
}


def host(name: str, domain: str = "north-a") -> EntryHost:
    return EntryHost(
        name=name,
        domain=domain,
        region=domain.partition("-")[0],
        address=f"{name}:80",
        ready=True,
    )


OWN = host("own")
PEERS = (host("near"), host("beside", "north-b"), host("far", "south-a"))


class Connections:
    """Returns or raises the given results in order and records what was sent."""

    def __init__(self, clock: FakeClock, *results: object) -> None:
        self.clock = clock
        self.results = list(results)
        self.addresses: list[str] = []
        self.requests: list[object] = []

    def exchange(
        self, address, request, *, deadline, stale_connection_deadline, cancellation
    ):
        self.addresses.append(address)
        self.requests.append(request)
        self.clock.advance(0.1)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class HeaderTranslator:
    def refusal_kind(self, response):
        return KINDS.get(response)

    def leaving_process(self, response):
        named = dict(response.headers).get("Leaving")
        return named and TargetProcess(instance=named, born_ms=1_000)

    def relay_headers(self, call):
        return {
            "Host": call.host,
            "Key": call.key,
            "Left": f"{call.remaining:.1f}",
            "Terms": f"{call.terms.version},{call.terms.attempts}",
        }


def a_request(clock: FakeClock, **fields: object) -> GatewayRequest:
    defaults = {
        "request_id": "r1",
        "method": "POST",
        "host": "shop.example",
        "path": "/a/",
        "target": "/a/?x=%2F",
        "headers": {"X-Kept": "2"},
        "body": b"body",
        "key": "k",
        "affinity_key": "thing",
        "arrived_at": clock.now(),
        "deadline": clock.now() + 9,
        "cancellation": Cancellation(),
    }
    return GatewayRequest(**{**defaults, **fields})


def create_relay(
    connections: Connections, clock: FakeClock, *, peers=PEERS, is_ending=False,
    statements: TargetStatements | None = None,
) -> Relay:  # fmt: skip
    return Relay(
        reachability=TargetReachability(clock=clock),
        peers=RelayPeers(
            own=lambda: OWN, known=lambda: peers, clock=clock, random=Random(1)
        ),
        connections=connections,
        header_translator=HeaderTranslator(),
        budgets=RetryBudgets(),
        clock=clock,
        metrics=Metrics(process="own"),
        statements=statements or a_statements(clock),
        may_take=lambda deadline: not is_ending,
    )


def a_relayed_request(clock: FakeClock) -> RelayedRequest:
    return RelayedRequest(
        request=a_request(clock),
        route="r",
        version=12,
        attempts=2,
        repeatable=False,
        allowed_regions=frozenset(),
        deadline=clock.now() + 2,
    )


def run(
    *results: object, repeatable: bool = False, peers=PEERS, regions=(),
    cancelled: bool = False, earlier: Refusal | None = None, attempts: int = 2,
    **fields: object,
):  # fmt: skip
    clock = FakeClock()
    connections = Connections(clock, *results)
    relay = create_relay(connections, clock, peers=peers)
    request = a_request(clock, **fields)
    if cancelled:
        request.cancellation.set()
    relayed = RelayedRequest(
        request=request,
        route="r",
        version=12,
        attempts=attempts,
        repeatable=repeatable,
        allowed_regions=frozenset(regions),
        deadline=clock.now() + 2,
    )
    return relay.deliver(relayed, earlier=earlier), connections


def test_a_relayed_request_is_the_callers_with_its_key_and_the_time_left():
    outcome, connections = run(OK)
    assert outcome == Ok(OK)
    (sent,) = connections.requests
    assert (sent.request_id, sent.method, sent.path) == ("r1", "POST", "/a/?x=%2F")
    assert (sent.body, sent.at_most_once) == (b"body", True)
    assert sent.headers == {
        "X-Kept": "2", "Host": "shop.example", "Key": "k", "Left": "2.0",
        "Terms": "12,2",
    }  # fmt: skip


@pytest.mark.parametrize("first", [ConnectFailed("refused"), REFUSED])
@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_that_one_peer_did_not_run_goes_to_one_other(first, repeatable):
    outcome, connections = run(first, OK, repeatable=repeatable)
    assert outcome == Ok(OK)
    assert len(set(connections.addresses)) == 2


def test_requests_that_stopping_peers_refuse_go_to_others_outside_of_the_budget():
    clock = FakeClock()
    requests = 20
    connections = Connections(clock, *[STOPPING, OK] * requests)
    relay = create_relay(connections, clock)
    outcomes = []
    for _ in range(requests):
        outcomes.append(relay.deliver(a_relayed_request(clock)))
        clock.advance(10)
    assert outcomes == [Ok(OK)] * requests


def test_a_host_that_may_end_before_the_deadline_relays_nothing():
    clock = FakeClock()
    connections = Connections(clock)
    relay = create_relay(connections, clock, is_ending=True)
    outcome = relay.deliver(a_relayed_request(clock))
    assert outcome.err_value.ran is RunStatus.NOT_RUN
    assert connections.addresses == []


def test_requests_that_a_peers_targets_rejected_are_sent_again_within_the_budget():
    clock = FakeClock()
    requests = 200
    connections = Connections(clock, *[OVERLOADED] * (2 * requests))
    relay = create_relay(connections, clock)
    for _ in range(requests):
        relay.deliver(a_relayed_request(clock))
    budget = FLEET_TERMS.initial + FLEET_TERMS.earned_per_request * requests
    assert requests < len(connections.requests) <= requests + budget


def test_a_peers_second_refusal_is_returned_with_its_retry_after():
    outcome, connections = run(ConnectFailed("refused"), REFUSED, OK)
    assert outcome == Ok(REFUSED)
    assert len(connections.addresses) == 2


def test_a_request_over_its_rate_is_not_sent_to_another_peer():
    outcome, connections = run(OVER_RATE, OK)
    assert outcome == Ok(OVER_RATE)
    assert len(connections.addresses) == 1


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_promise_that_no_peer_gives_itself_is_not_passed_on(status):
    """Guards against REFUSED: a relayed request ran, and its caller was told 503."""
    other = TargetResponse(status=status, headers=(), body=b"from the target itself")
    outcome, connections = run(other, OK, repeatable=False)
    assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN
    assert outcome.err_value.ran is RunStatus.UNKNOWN
    assert len(connections.addresses) == 1
    assert run(other, OK, repeatable=True)[0] == Ok(OK)


@pytest.mark.parametrize(
    ("error", "kind"),
    [
        (ExchangeFailed("reset"), RefusalKind.ANSWER_BROKEN),
        (ExchangeTimeout("late"), RefusalKind.TIMED_OUT),
    ],
)
def test_a_request_that_may_have_run_at_a_peer_is_not_sent_again(error, kind):
    outcome, connections = run(error, OK, repeatable=False)
    assert len(connections.addresses) == 1
    assert outcome.err_value.kind is kind
    assert outcome.err_value.ran is RunStatus.UNKNOWN


@pytest.mark.parametrize("second", [REFUSED, OVER_RATE])
def test_a_refusal_does_not_hide_that_another_peer_may_have_run_the_request(second):
    outcome, connections = run(ExchangeFailed("reset"), second, repeatable=True)
    assert len(connections.addresses) == 2
    assert outcome.err_value.ran is RunStatus.UNKNOWN


@pytest.mark.parametrize(("attempts", "sent"), [(1, [1]), (2, [1, 1]), (3, [2, 1])])
def test_peers_that_break_off_send_a_request_to_no_more_targets_than_its_route_allows(
    attempts, sent
):
    broken = ExchangeFailed("reset")
    _, connections = run(broken, broken, repeatable=True, attempts=attempts)
    terms = [request.headers["Terms"] for request in connections.requests]
    assert terms == [f"12,{granted}" for granted in sent]


def test_an_attempt_at_a_target_before_the_cut_counts_among_those_of_the_route():
    earlier = failed_at_target(RunStatus.UNKNOWN)
    outcome, connections = run(OK, repeatable=True, earlier=earlier, attempts=1)
    assert connections.requests == []
    assert outcome == Err(earlier)


def test_relayed_requests_leave_threads_for_those_that_peers_relay_here():
    clock = FakeClock()
    refusals = []

    class Nested(Connections):
        """Relays one more request while it waits for a response."""

        def exchange(self, address, request, **deadlines):
            if len(self.requests) <= MAX_IN_FLIGHT:
                self.requests.append(request)
                refusals.append(relay.deliver(a_relayed_request(clock)))
            return OK

    connections = Nested(clock)
    relay = create_relay(connections, clock)
    assert relay.deliver(a_relayed_request(clock)) == Ok(OK)
    assert len(connections.requests) == MAX_IN_FLIGHT
    assert [outcome.is_err() for outcome in refusals].count(True) == 1
    assert relay.deliver(a_relayed_request(clock)) == Ok(OK)


def test_a_request_whose_caller_left_is_sent_to_no_peer():
    outcome, connections = run(OK, repeatable=True, cancelled=True)
    assert connections.addresses == []
    assert outcome.err_value.ran is RunStatus.NOT_RUN


def test_a_request_whose_caller_leaves_is_not_sent_to_another_peer():
    _, connections = run(ExchangeCancelled("gone"), OK, repeatable=False)
    assert len(connections.addresses) == 1


def failed_at_target(ran: RunStatus) -> Refusal:
    return Refusal(kind=RefusalKind.TIMED_OUT, ran=ran, message="late")


@pytest.mark.parametrize(
    ("ran", "repeatable", "is_sent"),
    [
        (RunStatus.NOT_RUN, False, True),
        (RunStatus.NOT_RUN, True, True),
        (RunStatus.UNKNOWN, True, True),
        (RunStatus.UNKNOWN, False, False),
    ],
)
def test_a_request_that_failed_when_the_cut_began_is_relayed_if_it_may_run(
    ran, repeatable, is_sent
):
    earlier = failed_at_target(ran)
    outcome, connections = run(OK, repeatable=repeatable, earlier=earlier)
    assert len(connections.addresses) == int(is_sent)
    assert outcome == (Ok(OK) if is_sent else Err(earlier))


def test_a_peers_refusal_does_not_hide_that_a_target_may_have_run_the_request():
    earlier = failed_at_target(RunStatus.UNKNOWN)
    outcome, _ = run(REFUSED, REFUSED, repeatable=True, earlier=earlier)
    assert outcome == Err(earlier)


@pytest.mark.parametrize(
    "fields",
    [{"peers": ()}, {"peers": (OWN,)}, {"relayed": RelayTerms(version=1, attempts=1)}],
)
def test_a_request_that_can_not_be_relayed_is_refused_at_once(fields):
    outcome, connections = run(OK, **fields)
    assert connections.addresses == []
    refusal = outcome.err_value
    assert (refusal.kind, refusal.ran) == (RefusalKind.NOT_READY, RunStatus.NOT_RUN)
    assert refusal.retry_after > 0


def test_a_request_with_homes_is_sent_to_no_peer_in_another_region():
    outcome, connections = run(OK, regions=("south",))
    assert connections.addresses == ["far:80"]
    outcome, connections = run(OK, regions=("south",), peers=PEERS[:2])
    assert connections.addresses == []
    assert outcome.err_value.ran is RunStatus.NOT_RUN


@given(concurrent=st.integers(1, 60), seed=st.integers(0, 1_000))
def test_relayed_requests_prefer_near_peers_and_flood_none(concurrent, seed):
    peers = RelayPeers(
        own=lambda: OWN, known=lambda: PEERS, clock=FakeClock(), random=Random(seed)
    )
    counts: Counter[str] = Counter()
    with ExitStack() as stack:
        for _ in range(concurrent):
            peer = peers.choose(allowed_regions=frozenset(), tried=frozenset())
            stack.enter_context(peers.in_flight(peer))
            counts[peer.name] += 1
    assert counts["near"] >= counts["beside"] >= counts["far"]
    assert counts["near"] <= counts["far"] + 5


def test_a_peer_that_failed_is_avoided_for_a_time_unless_it_is_the_only_one():
    clock = FakeClock()
    known = [PEERS[0], PEERS[2]]
    peers = RelayPeers(
        own=lambda: OWN, known=lambda: tuple(known), clock=clock, random=Random(1)
    )

    def chosen() -> str:
        return peers.choose(allowed_regions=frozenset(), tried=frozenset()).name

    peers.avoid(PEERS[0])
    assert chosen() == "far"
    clock.advance(0.6)
    assert chosen() == "near"
    peers.avoid(PEERS[0])
    known.pop()
    assert chosen() == "near"


def test_a_request_in_flight_at_a_peer_is_counted_until_it_ends():
    peers = RelayPeers(
        own=lambda: OWN,
        known=lambda: (host("p"), host("q")),
        clock=FakeClock(),
        random=Random(1),
    )
    first = peers.choose(allowed_regions=frozenset(), tried=frozenset())
    with peers.in_flight(first):
        second = peers.choose(allowed_regions=frozenset(), tried=frozenset())
    assert first.name != second.name


LEAVING = TargetResponse(status=200, headers=(("Leaving", "i-1"),), body=b"whole")


def cut_short() -> ExchangeFailed:
    error = ExchangeFailed("cut")
    error.heads = (LEAVING,)
    return error


@pytest.mark.parametrize(
    "result",
    [
        LEAVING,
        attrs.evolve(OK, earlier=(LEAVING,)),
        attrs.evolve(LEAVING, status=503),
        cut_short(),
    ],
    ids=["response", "skipped response", "refusal", "response cut short"],
)
def test_a_relaying_host_remembers_the_target_that_a_peer_says_is_leaving(result):
    clock = FakeClock()
    statements = a_statements(clock)
    connections = Connections(clock, result, OK)
    relay = create_relay(connections, clock, statements=statements)
    relay.deliver(a_relayed_request(clock))
    assert statements.is_leaving(TargetProcess(instance="i-1", born_ms=1_000))
    assert not statements.is_leaving(TargetProcess(instance="i-1", born_ms=1_001))

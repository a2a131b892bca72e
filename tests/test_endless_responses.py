"""Targets that send bytes without end: bounded in time, in bytes and in memory."""

from __future__ import annotations

import threading
import time
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import attrs
import pytest
from result import Result

from chicoryhold.callers.forwarding import ForwardedRequest, Forwarder
from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.callers.slots import Slots
from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed, ExchangeTimeout, InvalidResponse
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.gateway.request import GatewayRequest, ResponseMetadata, RoutedRequest
from chicoryhold.hosts.messages import Admitted
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.metrics import Metrics
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.targets.cancellation import Cancellation
from chicoryhold.targets.connections import (
    DEFAULT_IDLE_LIMIT_SECONDS,
    TargetConnections,
)
from chicoryhold.targets.dialect import Dialect
from chicoryhold.targets.exchange import OutgoingRequest, TargetResponse
from chicoryhold.targets.response_memory import ResponseMemory
from tests.crash_fakes import CrashedTargets, a_guard
from tests.sick_target import (
    BLOCK,
    ID_HEADER,
    Script,
    SickTarget,
    complete,
    dribbled,
    head,
    sick_target,
)
from tests.statement_fakes import a_statements
from tests.test_target_choice import ROUTE, a_chooser, apply, chosen, criteria
from tests.test_targets_state import a_record

Outcome = Result[TargetResponse, Refusal]

LENIENT = Dialect(request_id_header=ID_HEADER, lenient_framing=True)
DEADLINE_SECONDS = 0.8
SLACK_SECONDS = 0.3
GIVE_UP_SECONDS = 4.0  # a hanging exchange is reported after this time
MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 16 * 1024 * 1024
# What the kernel buffers of both sides may hold beyond what was read.
KERNEL_BUFFER_BYTES = 8 * 1024 * 1024
CONCURRENT_BODIES = 40
MAX_MEMORY_BYTES = 64 * 1024 * 1024

CHUNKED = head("Transfer-Encoding: chunked")
HEADS = {
    "head, dribbled": dribbled("HTTP/1.1 200 OK\r\nDate: "),
    "status line": Script(repeated=BLOCK),
    "header line": Script(start="HTTP/1.1 200 OK\r\nDate: ", repeated=BLOCK),
    "header lines": Script(
        start="HTTP/1.1 200 OK\r\n", repeated=b"A: " + b"x" * 60_000 + b"\r\n"
    ),
    "100 Continue": Script(repeated=b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "103 Early Hints": Script(repeated=b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "headers of an interim head": Script(
        start="HTTP/1.1 100 Continue\r\n", repeated=b"A: b\r\n" * 1000
    ),
}
BODIES = {
    "body without length": Script(start=head(), repeated=BLOCK),
    "body without length, dribbled": dribbled(head()),
    "body longer than any that is kept": Script(
        start=head(f"Content-Length: {1 << 40}"), repeated=BLOCK
    ),
    "body with length, dribbled": dribbled(head("Content-Length: 1000")),
    "chunks": Script(start=CHUNKED, repeated=b"10000\r\n" + BLOCK + b"\r\n"),
    "chunks, dribbled": dribbled(CHUNKED + "fff\r\n"),
    "chunk size": Script(start=CHUNKED, repeated=b"0" * 65_536),
    "chunk size, dribbled": Script(start=CHUNKED, repeated=b"0", interval=0.02),
    "chunk extensions": Script(
        start=CHUNKED, repeated=b"1;" + b"x" * 60_000 + b"\r\nx\r\n"
    ),
    "trailers": Script(start=CHUNKED + "0\r\n", repeated=b"A: b\r\n" * 1000),
    "trailers, dribbled": dribbled(CHUNKED + "0\r\nA: "),
}
SLOW_TO_END = [name for name in {**HEADS, **BODIES} if name.endswith("dribbled")]


def an_outgoing_request(request_id: str = "r1", body: bytes = b"") -> OutgoingRequest:
    return OutgoingRequest(
        request_id=request_id,
        method="POST" if body else "GET",
        path="/",
        headers={},
        body=body,
        at_most_once=False,
    )


def exchange(
    connections: TargetConnections, target: SickTarget, request: OutgoingRequest
) -> TargetResponse:
    deadline = BootClock().now() + DEADLINE_SECONDS
    return connections.exchange(
        target.address, request, deadline=deadline, stale_connection_deadline=deadline
    )


def is_broken(error: object) -> bool:
    """Return whether an exchange failed, but not because time ran out."""
    return isinstance(error, ExchangeFailed) and not isinstance(error, ExchangeTimeout)


def run_with_time_limit(action: Callable[[], object]) -> tuple[object, float]:
    """Return the result or exception of ``action``, and its duration in seconds.

    Fails if it takes longer than ``GIVE_UP_SECONDS``.
    """
    results: list[object] = []

    def run() -> None:
        try:
            results.append(action())
        except Exception as error:
            results.append(error)

    started = time.monotonic()
    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(GIVE_UP_SECONDS)
    assert results, f"still running after {GIVE_UP_SECONDS} s"
    return results[0], time.monotonic() - started


@pytest.mark.parametrize("name", [*HEADS, *BODIES])
def test_endless_response_ends_by_the_deadline_with_its_connection_closed(name):
    script = {**HEADS, **BODIES}[name]
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    with sick_target(script) as target:
        error, seconds = run_with_time_limit(
            lambda: exchange(connections, target, an_outgoing_request())
        )
        assert isinstance(error, ExchangeFailed)
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        assert target.closed.acquire(timeout=SLACK_SECONDS)
        assert connections.idle_count(target.address) == 0


@pytest.mark.parametrize("name", [name for name in HEADS if name not in SLOW_TO_END])
def test_endless_head_is_read_no_further_than_its_limit(name):
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    with sick_target(HEADS[name]) as target:
        error, _ = run_with_time_limit(
            lambda: exchange(connections, target, an_outgoing_request())
        )
        assert is_broken(error)
        assert target.closed.acquire(timeout=SLACK_SECONDS)
        assert target.sent_bytes[0] <= MAX_HEAD_BYTES + KERNEL_BUFFER_BYTES


@pytest.mark.parametrize("name", [name for name in BODIES if name not in SLOW_TO_END])
def test_endless_body_is_read_no_further_than_its_limit(name):
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    with sick_target(BODIES[name]) as target:
        error, seconds = run_with_time_limit(
            lambda: exchange(connections, target, an_outgoing_request())
        )
        assert is_broken(error)
        assert seconds < DEADLINE_SECONDS
        assert target.closed.acquire(timeout=SLACK_SECONDS)
        assert target.sent_bytes[0] <= MAX_BODY_BYTES + KERNEL_BUFFER_BYTES


def test_endless_head_takes_little_memory():
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    with sick_target(HEADS["header lines"]) as target:
        peak, _ = peak_memory(
            lambda: exchange(connections, target, an_outgoing_request())
        )
    assert peak < 1024 * 1024


def peak_memory(action: Callable[[], object]) -> tuple[int, object]:
    tracemalloc.start()
    try:
        result, _ = run_with_time_limit(action)
        return tracemalloc.get_traced_memory()[1], result
    finally:
        tracemalloc.stop()


def test_concurrent_endless_bodies_share_a_bounded_amount_of_memory():
    # One host's 160 threads could hold 2.5 GB of unfinished bodies.
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    script = Script(start=head(), repeated=BLOCK)

    def run_all(target: SickTarget) -> list[object]:
        def run_one(number: int) -> object:
            try:
                return exchange(connections, target, an_outgoing_request(f"r{number}"))
            except ExchangeFailed as error:
                return error

        with ThreadPoolExecutor(CONCURRENT_BODIES) as pool:
            return list(pool.map(run_one, range(CONCURRENT_BODIES)))

    with sick_target(script) as target:
        peak, results = peak_memory(lambda: run_all(target))
        assert all(isinstance(result, ExchangeFailed) for result in results)
        for _ in range(CONCURRENT_BODIES):
            assert target.closed.acquire(timeout=SLACK_SECONDS)
    assert peak < MAX_MEMORY_BYTES


def test_a_single_response_may_use_its_whole_limit():
    memory = ResponseMemory()
    with memory.buffer() as body:
        for _ in range(MAX_BODY_BYTES // len(BLOCK)):
            body.append(BLOCK)
        with pytest.raises(InvalidResponse):
            body.append(b"x")
    assert memory.used_bytes == 0


def test_long_responses_leave_memory_for_others():
    memory = ResponseMemory(total_bytes=1024, guaranteed_bytes=16)
    block = b"x" * 16
    with ExitStack() as stack:
        sizes = []
        for _ in range(6):
            body = stack.enter_context(memory.buffer())
            with pytest.raises(InvalidResponse):
                while True:
                    body.append(block)
            sizes.append(body.size)
        assert sizes == [512, 256, 128, 64, 32, 16]
        # The guaranteed part is granted whatever the others hold.
        for _ in range(6):
            stack.enter_context(memory.buffer()).append(block)
    assert memory.used_bytes == 0


def test_sound_targets_are_served_beside_endless_bodies():
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    sound_body = "s" * 32_768
    stopping = threading.Event()

    def run_endless(target: SickTarget) -> None:
        while not stopping.is_set():
            with pytest.raises(ExchangeFailed):
                exchange(connections, target, an_outgoing_request())

    with (
        sick_target(BODIES["body without length"]) as sick,
        sick_target(BODIES["body with length, dribbled"]) as slow,
        sick_target(complete(sound_body)) as sound,
        ThreadPoolExecutor(12) as pool,
    ):
        endless = [pool.submit(run_endless, target) for target in [sick, slow] * 6]
        try:
            for number in range(20):
                response = exchange(
                    connections, sound, an_outgoing_request(f"s{number}")
                )
                assert response.body == sound_body.encode()
        finally:
            stopping.set()
        for future in endless:
            future.result(GIVE_UP_SECONDS)


def test_bytes_without_end_after_a_complete_response_end_its_connection():
    connections = TargetConnections(clock=BootClock(), dialect=LENIENT)
    complete_with_more = head("Content-Length: 2") + "ok" + "x" * 1000
    with sick_target(Script(start=complete_with_more, repeated=BLOCK)) as target:
        for number in range(3):
            response = exchange(connections, target, an_outgoing_request(f"r{number}"))
            assert response.body == b"ok"
            assert dict(response.headers)[ID_HEADER] == f"r{number}"
            assert target.closed.acquire(timeout=SLACK_SECONDS)
        assert connections.idle_count(target.address) == 0


def test_bytes_without_end_on_an_idle_connection_end_it_without_another_request():
    # They filled the receive buffer for as long as the connection wasn't reused.
    connections = TargetConnections(clock=BootClock())
    later = Script(
        start=head("Content-Length: 2") + "ok", repeated=BLOCK, interval=0.05
    )
    with sick_target(later) as target, sick_target(complete("whole")) as sound:
        assert exchange(connections, target, an_outgoing_request()).body == b"ok"
        ends = time.monotonic() + GIVE_UP_SECONDS
        while not target.closed.acquire(timeout=0.05):
            assert time.monotonic() < ends
            assert exchange(connections, sound, an_outgoing_request()).body == b"whole"
        assert connections.idle_count(target.address) == 0
        assert connections.idle_count(sound.address) == 1


def test_expired_connections_to_a_target_that_gets_no_requests_are_closed(clock):
    # The descriptors of targets that had left were never closed.
    connections = TargetConnections(clock=clock)
    with sick_target(complete("whole")) as gone, sick_target(complete("")) as sound:
        for target in (gone, sound):
            deadline = clock.now() + DEADLINE_SECONDS
            connections.exchange(
                target.address,
                an_outgoing_request(),
                deadline=deadline,
                stale_connection_deadline=deadline,
            )
            clock.advance(DEFAULT_IDLE_LIMIT_SECONDS + 1)
        assert gone.closed.acquire(timeout=SLACK_SECONDS)
        assert connections.idle_count(gone.address) == 0


@pytest.mark.parametrize(
    "text",
    ["no answer\r\n\r\n", "HTTP/9 200 OK\r\n\r\n", head(*["A: b"] * 101)],
)
def test_a_head_that_cannot_be_read_does_not_look_like_a_lost_connection(text):
    connections = TargetConnections(clock=BootClock())
    with sick_target(Script(start=text)) as target:
        with pytest.raises(InvalidResponse):
            exchange(connections, target, an_outgoing_request())


def test_interim_responses_before_the_final_one_are_skipped():
    connections = TargetConnections(clock=BootClock())
    interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    script = Script(start=interim * 3 + head("Content-Length: 2") + "ok")
    with sick_target(script) as target:
        response = exchange(connections, target, an_outgoing_request())
    assert (response.status, response.body) == (200, b"ok")


def test_sending_to_a_target_that_reads_nothing_ends_by_the_deadline():
    connections = TargetConnections(clock=BootClock())
    with sick_target(BODIES["body without length, dribbled"]) as target:
        # The target reads the first part of the body at most.
        request = an_outgoing_request(body=b"x" * (32 * 1024 * 1024))
        error, seconds = run_with_time_limit(
            lambda: exchange(connections, target, request)
        )
    assert isinstance(error, ExchangeFailed)
    assert seconds < DEADLINE_SECONDS + SLACK_SECONDS


class HeaderTranslator:
    def headers(self, call):
        return {}

    def response_metadata(self, response):
        return ResponseMetadata()


def deliver(
    sick: SickTarget, sound: SickTarget, *, repeatable: bool
) -> tuple[Outcome, TargetChooser]:
    """Deliver a request that the gateway sends to ``sick`` first."""
    clock = BootClock()
    statements = a_statements(clock)
    chooser = a_chooser(clock=clock, statements=statements)
    apply(
        chooser,
        [
            a_record(instance=name, address=target.address, domain="north-a")
            for name, target in (("sick", sick), ("sound", sound))
        ],
    )
    affinity_key = next(
        key for key in map(str, range(100)) if chosen(chooser, criteria(key)) == "sick"
    )
    delivery = Delivery(
        chooser=chooser,
        connections=TargetConnections(clock=clock, dialect=LENIENT),
        header_translator=HeaderTranslator(),
        statements=statements,
        crashes=CrashedTargets().watch(clock),
        guard=a_guard(clock),
        log=AttemptLog(
            clock=clock, metrics=Metrics(process="test"), copy_age=lambda: 0.0
        ),
        budgets=RetryBudgets(),
        clock=clock,
    )
    request = GatewayRequest(
        request_id="r1",
        method="GET",
        host="h",
        path="/",
        target="/",
        headers={},
        body=b"",
        key=None,
        affinity_key=affinity_key,
        arrived_at=clock.now(),
        deadline=clock.now() + DEADLINE_SECONDS,
        cancellation=Cancellation(),
    )
    routed = RoutedRequest(
        request=request,
        route=attrs.evolve(ROUTE, repeatable=repeatable, attempts=2),
        service="menu",
        organisation="",
        allowed_regions=frozenset(),
        deadline=request.deadline,
        digest=b"digest",
    )
    return delivery.deliver(routed), chooser


# A head that is only sent slowly must leave time for another target, too.
RETRIED = [*HEADS, *(name for name in BODIES if name not in SLOW_TO_END)]


@pytest.mark.parametrize("name", RETRIED)
def test_gateway_sends_a_repeatable_request_to_another_target_in_time(name):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: deliver(sick, sound, repeatable=True)
        )
        outcome, chooser = result
        assert outcome.is_ok() and outcome.ok_value.body == b"whole"
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        assert (sick.requests, sound.requests) == (1, 1)
        assert chooser.views["sick"].failures == 1


@pytest.mark.parametrize("name", ["100 Continue", "body without length", "trailers"])
def test_gateway_answers_unknown_if_the_request_may_run_once(name):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: deliver(sick, sound, repeatable=False)
        )
        outcome, chooser = result
        assert outcome.err_value.ran is RunStatus.UNKNOWN
        assert outcome.err_value.kind is RefusalKind.ANSWER_BROKEN
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        assert (sick.requests, sound.requests) == (1, 0)
        assert chooser.views["sick"].failures == 1


class Admission:
    """Admits each attempt to the next of ``addresses`` and records the releases."""

    def __init__(self, *addresses: str) -> None:
        self._addresses = list(addresses)
        self.released: list[bool] = []

    def admit(self, admit, *, deadline):
        return Admitted(grant="g", address=self._addresses.pop(0), waited=0.0)

    def release(self, grant, *, ok, latency, limit=None, is_leaving=False):
        self.released.append(ok)


class NoShifts:
    def choose(self, service):
        return None


def forward(
    sick: SickTarget, sound: SickTarget, *, at_most_once: bool
) -> tuple[Outcome, list[bool]]:
    """Send a request to ``sick``, and to ``sound`` if it is retried."""
    clock = BootClock()
    admission = Admission(sick.address, sound.address)
    forwarder = Forwarder(
        crashes=CrashedTargets().watch(clock),
        guard=a_guard(clock),
        slots=Slots(
            admission=admission, shifts=NoShifts(), statements=a_statements(clock)
        ),
        connections=TargetConnections(clock=clock),
        reachability=TargetReachability(clock=clock),
        granted=GrantedTargets(clock=clock),
        clock=clock,
    )
    forwarded = ForwardedRequest(
        digest=b"digest",
        organisation="o",
        service="menu",
        request=attrs.evolve(an_outgoing_request(), at_most_once=at_most_once),
        deadline=clock.now() + DEADLINE_SECONDS,
    )
    return forwarder.run(forwarded), admission.released


@pytest.mark.parametrize("name", ["100 Continue", "header lines", "chunks"])
@pytest.mark.parametrize("at_most_once", [False, True])
def test_entry_host_retries_or_answers_unknown(name, at_most_once):
    with (
        sick_target({**HEADS, **BODIES}[name]) as sick,
        sick_target(complete("whole")) as sound,
    ):
        result, seconds = run_with_time_limit(
            lambda: forward(sick, sound, at_most_once=at_most_once)
        )
        outcome, released = result
        assert seconds < DEADLINE_SECONDS + SLACK_SECONDS
        if at_most_once:
            assert outcome.err_value.ran is RunStatus.UNKNOWN
            assert released == [False]
        else:
            assert outcome.ok_value.body == b"whole"
            assert released == [False, True]

"""Targets that send bytes without end: bounded in time, in bytes and in memory."""

from __future__ import annotations

import threading
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest

from chicoryhold.clock import BootClock
from chicoryhold.errors import ExchangeFailed, ExchangeTimeout, InvalidResponse
from chicoryhold.targets.connections import TargetConnections
from tests.endless_responses import (
    BODIES,
    DEADLINE_SECONDS,
    GIVE_UP_SECONDS,
    HEADS,
    LENIENT,
    MAX_BODY_BYTES,
    SLACK_SECONDS,
    SLOW_TO_END,
    an_outgoing_request,
    exchange,
    run_with_time_limit,
)
from tests.sick_target import BLOCK, Script, SickTarget, complete, head, sick_target

MAX_HEAD_BYTES = 65_536
# What the kernel buffers of both sides may hold beyond what was read.
KERNEL_BUFFER_BYTES = 8 * 1024 * 1024
CONCURRENT_BODIES = 40
MAX_MEMORY_BYTES = 64 * 1024 * 1024


def is_broken(error: object) -> bool:
    """Return whether an exchange failed, but not because time ran out."""
    return isinstance(error, ExchangeFailed) and not isinstance(error, ExchangeTimeout)


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

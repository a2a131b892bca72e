"""How an entry host notices that it is cut off from all targets."""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import pytest
from hypothesis import given, strategies as st
from wiring.targets import DIALECT

from chicoryhold.clock import BootClock, Clock
from chicoryhold.gateway.reachability import ProbeResult, TargetReachability
from chicoryhold.gateway.target_prober import (
    ProbeCandidate,
    Prober,
    TargetProber,
    choose_probe_targets,
)
from chicoryhold.metrics import Metrics
from chicoryhold.programs.gateway_links import create_target_links, probe_candidates
from chicoryhold.state.targets import TargetState
from chicoryhold.targets.probe import ProbeOutcome, probe_addresses
from chicoryhold.trial.fleet import wait_until
from tests.conftest import FakeClock
from tests.test_target_choice import a_chooser
from tests.test_targets_state import a_record

SERVICES = ("menu", "ledger", "delivery")
DOMAINS = ("north-a", "north-b", "south-a")
TARGETS = tuple(
    ProbeCandidate(
        address=f"{service}.{domain}.{number}:80",
        service=service,
        domain=domain,
    )
    for service in SERVICES
    for domain in DOMAINS
    for number in range(2)
)


class Network:
    """Targets in ``dead`` can't be reached; while ``is_cut``, none can."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.dead: set[str] = set()
        self.is_cut = False
        self.probed: list[tuple[str, ...]] = []

    def reaches(self, address: str) -> bool:
        return not self.is_cut and address not in self.dead

    def probe(self, addresses, *, timeout: float) -> ProbeOutcome:
        self.probed.append(tuple(addresses))
        reached = tuple(address for address in addresses if self.reaches(address))
        failed = tuple(address for address in addresses if address not in reached)
        self.clock.advance(0.001 if reached else timeout)
        return ProbeOutcome(reached=reached, failed=failed)


class Host:
    """An entry host that opens connections to random targets."""

    def __init__(self, *, seed: int = 1) -> None:
        self.clock = FakeClock()
        self.network = Network(self.clock)
        self.reachability = TargetReachability(clock=self.clock)
        self.changes: list[bool] = []
        self.random = Random(seed)
        self.prober = TargetProber(
            reachability=self.reachability,
            probe=self.network.probe,
            clock=self.clock,
            candidates=lambda: TARGETS,
            random=self.random,
            component="gateway",
            meanwhile="relaying",
            on_change=lambda: self.changes.append(self.reachability.is_cut_off),
        )

    def connect(self, address: str | None = None) -> None:
        address = address or self.random.choice(TARGETS).address
        if self.network.reaches(address):
            self.reachability.record_opened()
        else:
            self.reachability.record_failure(address)

    def run(self, seconds: float, *, rate: float) -> None:
        """Open ``rate`` connections a second and probe whenever needed."""
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            if self.reachability.needs_probe:
                self.prober.probe_once()
            if not self.reachability.is_cut_off:
                self.connect()
            self.clock.advance(1 / rate)


@given(seed=st.integers(0, 10_000), rate=st.floats(2.0, 100.0))
def test_a_host_with_little_traffic_notices_within_two_seconds_that_it_is_cut_off(
    seed, rate
):
    host = Host(seed=seed)
    host.run(3.0, rate=rate)
    host.network.is_cut = True
    host.run(2.0, rate=rate)
    assert host.reachability.is_cut_off


@given(seed=st.integers(0, 10_000), rate=st.floats(2.0, 100.0))
def test_a_host_returns_within_a_second_after_the_cut_has_ended(seed, rate):
    host = Host(seed=seed)
    host.network.is_cut = True
    host.run(4.0, rate=rate)
    host.network.is_cut = False
    host.run(1.0, rate=rate)
    assert host.changes == [True, False]


@given(
    seed=st.integers(0, 10_000), rate=st.floats(2.0, 100.0),
    service=st.sampled_from(SERVICES),
)  # fmt: skip
def test_a_service_that_is_down_is_not_taken_for_a_cut(seed, rate, service):
    host = Host(seed=seed)
    host.network.dead = {r.address for r in TARGETS if r.service == service}
    host.run(8.0, rate=rate)
    assert host.changes == []


@given(seed=st.integers(0, 10_000), domain=st.sampled_from(DOMAINS))
def test_a_domain_that_is_down_is_not_taken_for_a_cut(seed, domain):
    host = Host(seed=seed)
    host.network.dead = {r.address for r in TARGETS if r.domain == domain}
    host.run(8.0, rate=20.0)
    assert host.changes == []


def test_a_service_that_is_down_costs_at_most_one_probe_a_second():
    host = Host()
    down = [r.address for r in TARGETS if r.service == "menu"]
    host.network.dead = set(down)
    for number in range(1_000):
        host.connect(down[number % len(down)])
        if host.reachability.needs_probe:
            host.prober.probe_once()
        host.clock.advance(0.01)
    assert 8 <= len(host.network.probed) <= 11


def test_failures_of_a_single_target_raise_no_suspicion(clock):
    reachability = TargetReachability(clock=clock)
    for _ in range(10):
        reachability.record_failure("a:80")
    assert not reachability.needs_probe


def test_failures_that_are_long_past_raise_no_suspicion(clock):
    reachability = TargetReachability(clock=clock)
    reachability.record_failure("a:80")
    clock.advance(3.0)
    reachability.record_failure("b:80")
    assert not reachability.needs_probe


def test_a_cut_is_dated_from_its_first_failure_though_that_target_fails_again(clock):
    reachability = TargetReachability(clock=clock)
    reachability.record_opened()
    first_failure = clock.now()
    for _ in range(4):
        reachability.record_failure("a:1")
        clock.advance(1.5)
    reachability.record_failure("b:1")
    reachability.record_failure("a:1")
    result = ProbeResult(started_at=clock.now(), probed=5, reached=0)
    assert reachability.record_probe(result)
    assert reachability.cut_off_since == first_failure


def a_probe(clock: FakeClock, *, reached: int) -> ProbeResult:
    return ProbeResult(started_at=clock.now(), probed=5, reached=reached)


def test_a_cut_that_begins_gradually_is_dated_from_its_first_failure(clock):
    reachability = TargetReachability(clock=clock)
    first_failure = clock.now()
    reachability.record_failure("a:1")
    reachability.record_failure("b:1")
    assert not reachability.record_probe(a_probe(clock, reached=1))
    clock.advance(0.1)
    reachability.record_opened()
    clock.advance(1.4)
    reachability.record_failure("c:1")
    reachability.record_failure("d:1")
    assert reachability.record_probe(a_probe(clock, reached=0))
    assert reachability.cut_off_since == first_failure


def test_a_cut_is_not_dated_from_failures_that_had_ended_before(clock):
    reachability = TargetReachability(clock=clock)
    reachability.record_failure("a:1")
    reachability.record_opened()
    clock.advance(2.5)
    first_failure = clock.now()
    reachability.record_failure("c:1")
    clock.advance(0.5)
    reachability.record_failure("d:1")
    assert reachability.record_probe(a_probe(clock, reached=0))
    assert reachability.cut_off_since == first_failure


def test_a_cut_is_dated_from_ten_seconds_before_the_verdict_at_most(clock):
    reachability = TargetReachability(clock=clock)
    for _ in range(20):
        reachability.record_failure("a:1")
        reachability.record_opened()
        clock.advance(1.0)
    reachability.record_failure("b:1")
    reachability.record_failure("c:1")
    assert reachability.record_probe(a_probe(clock, reached=0))
    assert reachability.cut_off_since == clock.now() - 10.0


def test_no_failure_of_a_cut_that_began_gradually_stays_after_it(clock):
    chooser = a_chooser("north-a", "north-a", "north-a", clock=clock)
    links = create_target_links(
        chooser=chooser, dialect=DIALECT, clock=clock, metrics=Metrics(process="test")
    )

    def fail(instance: str) -> None:
        view = chooser.views[instance]
        view.record_failure(clock.now(), unreachable=True)
        links.reachability.record_failure(view.record.address)

    fail("i-0")
    links.reachability.record_opened()  # at a target that isn't cut off yet
    clock.advance(1.5)
    fail("i-1")
    fail("i-2")
    assert links.reachability.record_probe(a_probe(clock, reached=0))
    links.reset()
    clock.advance(1.0)
    assert links.reachability.record_probe(a_probe(clock, reached=1))
    links.reset()
    assert [view.failures for view in chooser.views.values()] == [0, 0, 0]


def test_a_connection_opened_during_a_failed_probe_prevents_the_verdict(clock):
    reachability = TargetReachability(clock=clock)
    reachability.record_failure("a:80")
    reachability.record_failure("b:80")
    started_at = clock.now()
    clock.advance(0.2)
    reachability.record_opened()
    clock.advance(0.2)
    result = ProbeResult(started_at=started_at, probed=5, reached=0)
    assert not reachability.record_probe(result)
    assert not reachability.is_cut_off


@given(seed=st.integers(0, 10_000))
def test_probes_are_spread_over_services_and_domains(seed):
    chosen = choose_probe_targets(TARGETS, count=5, random=Random(seed))
    assert {record.service for record in chosen} == set(SERVICES)
    assert {record.domain for record in chosen} == set(DOMAINS)


def test_targets_that_are_leaving_or_have_just_failed_are_probed_last():
    records = [
        a_record(instance="i-1", address="a:80", state=TargetState.DRAINING),
        a_record(instance="i-2", address="b:80"),
        a_record(instance="i-3", address="c:80"),
        a_record(instance="i-4", address="d:80", state=TargetState.GONE),
    ]
    chosen = choose_probe_targets(
        probe_candidates(records), count=4, random=Random(1), failed=frozenset({"b:80"})
    )
    assert [record.address for record in chosen] == ["c:80", "b:80", "a:80"]


def prober_of(host: Host, probe: Prober) -> TargetProber:
    """Return another prober for ``host``, with its own ``probe``."""
    return TargetProber(
        reachability=host.reachability,
        probe=probe,
        clock=host.clock,
        candidates=lambda: TARGETS,
        random=host.random,
        component="gateway",
        meanwhile="relaying",
    )


def test_a_host_without_free_descriptors_goes_on_probing():
    host = Host()
    probe = host.network.probe
    failures = iter([OSError(errno.EMFILE, "too many open files")] * 3)

    def failing_probe(addresses, *, timeout: float) -> ProbeOutcome:
        for error in failures:
            raise error
        return probe(addresses, timeout=timeout)

    host.network.is_cut = True
    with prober_of(host, failing_probe).running():
        host.connect(TARGETS[0].address)
        host.connect(TARGETS[1].address)
        wait_until(lambda: host.reachability.is_cut_off, what="cut off", timeout=5.0)
        host.network.is_cut = False
        wait_until(
            lambda: not host.reachability.is_cut_off, what="reached", timeout=5.0
        )


def probe(
    addresses: list[str], *, timeout: float, clock: Clock | None = None
) -> ProbeOutcome:
    return probe_addresses(addresses, timeout=timeout, clock=clock or BootClock())


@contextmanager
def listening() -> Iterator[str]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@contextmanager
def hanging() -> Iterator[str]:
    """Yield an address at which connects get no response: its backlog is full."""
    with socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen(0)
        with socket.create_connection(server.getsockname()):
            yield f"127.0.0.1:{server.getsockname()[1]}"


@contextmanager
def refusing() -> Iterator[str]:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{bound.getsockname()[1]}"


def test_a_probe_ends_with_the_first_target_that_answers_though_others_hang():
    clock = BootClock()
    started = clock.now()
    with hanging() as dead, listening() as alive:
        outcome = probe([dead, alive], timeout=5.0, clock=clock)
    assert outcome.reached == (alive,)
    assert clock.now() - started < 2.0


@pytest.mark.parametrize("kind", [hanging, refusing])
def test_a_probe_of_targets_out_of_reach_ends_by_its_timeout(kind):
    clock = BootClock()
    started = clock.now()
    with kind() as first, kind() as second:
        outcome = probe([first, second], timeout=0.2, clock=clock)
        assert outcome.reached == ()
        assert set(outcome.failed) == {first, second}
    assert clock.now() - started < 2.0


@pytest.mark.parametrize(
    "invalid",
    [
        "nowhere",
        ":80",
        "127.0.0.1:x",
        "127.0.0.1:0",
        "127.0.0.1:70000",
        "target.invalid:80",
        "localhost:80",
        "[fe80::1%lo]:80",
    ],
)
def test_a_probe_skips_an_address_that_is_invalid(invalid):
    with listening() as alive:
        assert probe([invalid, alive], timeout=5.0).reached == (alive,)
    with refusing() as dead:
        assert probe([invalid, dead], timeout=5.0).failed == (dead,)


def test_a_probe_looks_no_name_up():
    with listening() as alive:
        _, _, port = alive.rpartition(":")
        outcome = probe([f"localhost:{port}"], timeout=0.2)
    assert outcome == ProbeOutcome(reached=(), failed=())


def test_a_probe_reaches_an_ipv6_address():
    with socket.create_server(("::1", 0), family=socket.AF_INET6) as server:
        address = f"[::1]:{server.getsockname()[1]}"
        assert probe([address], timeout=5.0).reached == (address,)


def test_a_host_without_ipv6_skips_ipv6_addresses(monkeypatch):
    class Ipv4Socket(socket.socket):
        def __init__(self, family=socket.AF_INET, *args, **kwargs) -> None:
            if family == socket.AF_INET6:
                raise OSError(errno.EAFNOSUPPORT, "not supported")
            super().__init__(family, *args, **kwargs)

    with listening() as alive:
        monkeypatch.setattr(socket, "socket", Ipv4Socket)
        assert probe(["[::1]:80", alive], timeout=5.0).reached == (alive,)


def test_a_target_is_not_out_of_reach_because_this_host_has_no_free_port(monkeypatch):
    class PortlessSocket(socket.socket):
        def connect_ex(self, address) -> int:
            return errno.EADDRNOTAVAIL

    monkeypatch.setattr(socket, "socket", PortlessSocket)
    outcome = probe(["127.0.0.1:80", "127.0.0.1:81"], timeout=0.2)
    assert outcome == ProbeOutcome(reached=(), failed=())


def test_a_host_without_free_ports_is_not_taken_for_one_that_is_cut_off():
    host = Host()
    prober = prober_of(
        host, lambda addresses, *, timeout: ProbeOutcome(reached=(), failed=())
    )
    host.network.is_cut = True
    host.connect(TARGETS[0].address)
    host.connect(TARGETS[1].address)
    prober.probe_once()
    assert not host.reachability.is_cut_off


def test_a_connection_that_is_reset_after_its_handshake_reached_the_target():
    with socket.create_server(("127.0.0.1", 0)) as server:

        class ResettingClock(BootClock):
            """Resets the connection between the connect and the poll."""

            calls = 0

            def now(self) -> float:
                self.calls += 1
                if self.calls == 2:
                    accepted, _ = server.accept()
                    no_linger = struct.pack("ii", 1, 0)
                    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
                    accepted.close()
                return super().now()

        address = f"127.0.0.1:{server.getsockname()[1]}"
        outcome = probe([address], timeout=5.0, clock=ResettingClock())
    assert outcome.reached == (address,)


def test_a_prober_thread_that_fails_ends_the_process(monkeypatch):
    exit_codes: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_codes.append)

    def failing_probe(addresses, *, timeout: float) -> ProbeOutcome:
        raise RuntimeError("a programming error")

    host = Host()
    host.network.is_cut = True
    with prober_of(host, failing_probe).running():
        host.connect(TARGETS[0].address)
        host.connect(TARGETS[1].address)
        wait_until(lambda: bool(exit_codes), what="exit", timeout=5.0)
    assert exit_codes == [70]

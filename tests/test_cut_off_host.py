"""Entry hosts on loopback, one of which is cut off from targets."""

from __future__ import annotations

import http.client
import itertools
import time
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random

import attrs
import pytest
from wiring.client_app import ClientApp
from wiring.targets import DIALECT, PlatformHeaders

from chicoryhold.clock import BootClock
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery
from chicoryhold.gateway.service import GatewayService
from chicoryhold.http.server import serve_http
from chicoryhold.limits.messages import StatedLimit
from chicoryhold.limits.permit_client import Permission
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.membership.messages import EntryHost
from chicoryhold.metrics import Metrics
from chicoryhold.programs.gateway_links import (
    TargetLinks,
    create_prober,
    create_relay,
    create_target_links,
)
from chicoryhold.routing.configuration import (
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
    WeightedService,
)
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.routing.selection import HostLocation
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.trial.fleet import wait_until
from tests.crash_fakes import CrashedTargets, a_guard
from tests.currency_fakes import a_current_copy
from tests.links import IP, Cut, Link, StandInTarget
from tests.statement_fakes import a_statements
from tests.test_target_choice import FakePermits
from tests.test_targets_state import a_record

SERVICES = ("menu", "ledger", "delivery")
TARGETS_PER_SERVICE = 3
REQUESTS_PER_SECOND = 40
DEADLINE_SECONDS = 2.0
NOTICE_SECONDS = 4.0  # callers are owed service from then on
RETURN_SECONDS = 1.0
WAIT_SECONDS = 10.0
CONCURRENT_REQUESTS = 20
ESTABLISHED, CLOSE_WAIT = "01", "08"  # states in /proc/net/tcp
CONFIGURATION = Configuration(
    version=1,
    routes=tuple(
        RouteRule(
            name=service,
            host="shop.example",
            prefix=f"/{service}/",
            parts=(WeightedService(service=service, weight=1),),
            repeatable=service != "ledger",
            attempts=2,
            objective=0.3,
        )
        for service in SERVICES
    ),
    services=tuple(ServiceRule(name=service) for service in SERVICES),
    organisations=(OrganisationRule(name="o", keys=("k",), rate=1_000),),
)


class Permits:
    """Grants every permit and counts them."""

    def __init__(self) -> None:
        self.granted = 0

    def permit(
        self, name: str, *, deadline: float, limit: StatedLimit | None = None
    ) -> Permission:
        self.granted += 1
        return Permission.GRANTED


@attrs.frozen(kw_only=True)
class Host:
    """A running entry host with its own links to the targets."""

    port: str
    links: TargetLinks
    target_links: list[Link]
    permits: Permits

    @property
    def is_cut_off(self) -> bool:
        return self.links.reachability.is_cut_off

    def cut(self, how: Cut) -> None:
        for link in self.target_links:
            link.cut(how)

    def restore(self) -> None:
        for link in self.target_links:
            link.restore()


@attrs.frozen(kw_only=True)
class _App:
    service: GatewayService


@contextmanager
def running_host(
    name: str, targets: list[StandInTarget], peers: Callable[[], tuple[EntryHost, ...]]
) -> Iterator[Host]:
    clock = BootClock()
    metrics = Metrics(process=name)
    own = EntryHost(name=name, domain="north-a", region="north", address="", ready=True)
    location = HostLocation(
        host=name,
        domain="north-a",
        region="north",
        regions={"north-a": "north"},
        domain_round_trip=0.001,
        region_round_trip=0.1,
    )
    statements = a_statements(clock)
    chooser = TargetChooser(
        location=location,
        clock=clock,
        statements=statements,
        permits=FakePermits(),
    )
    target_links = [Link(target) for target in targets]
    index = RouteIndex(CONFIGURATION)
    records = [
        a_record(
            instance=f"i-{number}",
            address=link.address,
            service=SERVICES[number % len(SERVICES)],
            slots=50,
        )
        for number, link in enumerate(target_links)
    ]
    chooser.update(records, evacuated=frozenset(), service_rule=index.service)
    links = create_target_links(
        chooser=chooser, dialect=DIALECT, clock=clock, metrics=metrics
    )
    permits = Permits()
    service = GatewayService(
        copy_age=lambda: 0.0,
        revision=lambda: 0,
        currency=a_current_copy(clock),
        index=lambda: index,
        permits=permits,
        delivery=Delivery(
            chooser=chooser,
            connections=links.connections,
            header_translator=PlatformHeaders(),
            statements=statements,
            crashes=CrashedTargets().watch(clock),
            log=AttemptLog(clock=clock, metrics=metrics, copy_age=lambda: 0.0),
            guard=a_guard(clock),
            budgets=RetryBudgets(),
            clock=clock,
            is_cut_off=lambda: links.reachability.is_cut_off,
        ),
        guard=a_guard(clock),
        relay=create_relay(
            links,
            own=lambda: own,
            peers=peers,
            header_translator=PlatformHeaders(),
            metrics=metrics,
            statements=statements,
        ),
        clock=clock,
        random=Random(name),
        metrics=metrics,
    )
    prober = create_prober(links, name=name, on_change=links.reset)
    with ExitStack() as stack:
        stack.callback(lambda: [link.close() for link in target_links])
        app = ClientApp(_App(service=service))
        server = stack.enter_context(serve_http(app, f"{IP}:0", threads=40))
        stack.enter_context(prober.running())
        yield Host(
            port=server.port, links=links, target_links=target_links, permits=permits
        )


@attrs.frozen(kw_only=True)
class Fleet:
    """Two entry hosts and the targets that both use."""

    cut_host: Host
    peer: Host
    targets: list[StandInTarget]

    def runs(self) -> Counter[str]:
        return sum((target.runs for target in self.targets), Counter())

    @contextmanager
    def holding_responses(self) -> Iterator[None]:
        """Let requests run, and respond to them when the block ends."""
        for target in self.targets:
            target.may_respond.clear()
        try:
            yield
        finally:
            for target in self.targets:
                target.may_respond.set()


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    targets = [StandInTarget() for _ in range(len(SERVICES) * TARGETS_PER_SERVICE)]
    with ExitStack() as stack:
        for target in targets:
            stack.enter_context(target.running())
        peer = stack.enter_context(running_host("peer", targets, lambda: ()))
        listed = EntryHost(
            name="peer",
            domain="north-a",
            region="north",
            address=f"{IP}:{peer.port}",
            ready=True,
        )
        cut_host = stack.enter_context(running_host("cut", targets, lambda: (listed,)))
        yield Fleet(cut_host=cut_host, peer=peer, targets=targets)


def open_connections(port: str) -> int:
    """Return how many connections to ``port`` this process hasn't closed."""
    rows = [row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(
        int(remote.rpartition(":")[2], 16) == int(port)
        and state in (ESTABLISHED, CLOSE_WAIT)
        for _, _, remote, state, *_ in rows
    )


_request_numbers = itertools.count()


def send(host: Host, service: str) -> tuple[str, int]:
    """Send one request and return its id and the status of the response."""
    request_id = f"{service}-{next(_request_numbers)}"
    connection = http.client.HTTPConnection(IP, host.port, timeout=WAIT_SECONDS)
    headers = {
        "Host": "shop.example",
        "Request-Id": request_id,
        "Deadline-Ms": str(int(1000 * DEADLINE_SECONDS)),
        "Authorization": "Bearer k",
    }
    try:
        connection.request("POST", f"/{service}/1", body=b"body", headers=headers)
        return request_id, connection.getresponse().status
    finally:
        connection.close()


def send_for(host: Host, seconds: float) -> dict[str, int]:
    """Send requests of all services at a steady rate; return the status of each."""
    with ThreadPoolExecutor(64) as pool:
        sent = []
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            service = SERVICES[number % len(SERVICES)]
            sent.append(pool.submit(send, host, service))
            time.sleep(1 / REQUESTS_PER_SECOND)
        return dict(future.result() for future in sent)


def send_until(host: Host, condition: Callable[[], bool], seconds: float) -> bool:
    """Send requests until ``condition()`` holds; return whether it did in time."""
    started = time.monotonic()
    with ThreadPoolExecutor(64) as pool:
        for service in itertools.cycle(SERVICES):
            if condition():
                return True
            if time.monotonic() - started > seconds:
                return False
            pool.submit(send, host, service)
            time.sleep(1 / REQUESTS_PER_SECOND)


@pytest.mark.parametrize("how", list(Cut))
def test_callers_of_a_host_that_is_cut_off_from_targets_are_served_through_a_peer(
    fleet, how
):
    host = fleet.cut_host
    assert set(send_for(host, 0.5).values()) == {200}
    host.cut(how)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    permits = host.permits.granted
    statuses = send_for(host, 1.0)
    assert set(statuses.values()) == {200}
    assert host.permits.granted == permits  # the peer takes them
    assert not fleet.peer.is_cut_off
    runs = fleet.runs()
    assert {runs[request_id] for request_id in statuses} == {1}


@pytest.mark.parametrize("how", list(Cut))
def test_a_host_uses_all_targets_again_within_a_second_after_the_cut(fleet, how):
    host = fleet.cut_host
    send_for(host, 0.5)
    host.cut(how)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    host.restore()
    wait_until(
        lambda: not host.is_cut_off, what="reachable again", timeout=RETURN_SECONDS
    )
    served_by_peer = fleet.peer.permits.granted
    assert set(send_for(host, 0.5).values()) == {200}
    assert fleet.peer.permits.granted == served_by_peer
    views = host.links.chooser.views.values()
    assert [view.failures for view in views] == [0] * len(fleet.targets)


@pytest.mark.parametrize("how", list(Cut))
def test_requests_that_must_run_once_never_run_twice_around_a_cut(fleet, how):
    host = fleet.cut_host
    with ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send_for, host, 4.0)
        time.sleep(0.5)
        host.cut(how)
        time.sleep(2.5)
        host.restore()
        statuses = sending.result()
    once = {i: status for i, status in statuses.items() if i.startswith("ledger")}
    runs = fleet.runs()
    assert max(runs[request_id] for request_id in once) == 1
    not_run = [i for i, status in once.items() if status in (429, 503)]
    assert [runs[request_id] for request_id in not_run] == [0] * len(not_run)


@pytest.mark.parametrize("how", list(Cut))
def test_a_service_that_is_down_is_not_taken_for_a_host_that_is_cut_off(fleet, how):
    host = fleet.cut_host
    send_for(host, 0.5)
    for link in host.target_links[:: len(SERVICES)]:
        link.cut(how)
    statuses = send_for(host, 2.5)
    assert not host.is_cut_off
    assert fleet.peer.permits.granted == 0
    others = {i: status for i, status in statuses.items() if not i.startswith("menu")}
    assert set(others.values()) == {200}


def test_no_connection_to_a_peer_stays_open_after_the_cut(fleet):
    host = fleet.cut_host
    host.cut(Cut.REFUSE)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    with ThreadPoolExecutor(CONCURRENT_REQUESTS) as pool:
        list(pool.map(lambda _: send(host, "menu"), range(CONCURRENT_REQUESTS)))
    assert open_connections(fleet.peer.port) > 0
    host.restore()
    wait_until(
        lambda: open_connections(fleet.peer.port) == 0,
        what="connections to the peer closed",
        timeout=RETURN_SECONDS + 1.0,
    )


def test_a_relayed_request_that_outlasts_the_cut_leaves_no_connection_open(fleet):
    host = fleet.cut_host
    host.cut(Cut.REFUSE)
    assert send_until(host, lambda: host.is_cut_off, NOTICE_SECONDS)
    runs = fleet.runs().total()
    with ThreadPoolExecutor(1) as pool, fleet.holding_responses():
        sending = pool.submit(send, host, "ledger")
        wait_until(
            lambda: fleet.runs().total() > runs, what="run", timeout=RETURN_SECONDS
        )
        host.restore()
        wait_until(
            lambda: not host.is_cut_off, what="reachable again", timeout=RETURN_SECONDS
        )
        assert not sending.done()
    assert sending.result()[1] == 200
    wait_until(
        lambda: open_connections(fleet.peer.port) == 0,
        what="connections to the peer closed",
        timeout=RETURN_SECONDS,
    )


def test_a_host_whose_peers_are_cut_off_as_well_refuses_at_once(fleet):
    for host in (fleet.cut_host, fleet.peer):
        host.cut(Cut.REFUSE)
        assert send_until(host, lambda host=host: host.is_cut_off, NOTICE_SECONDS)
    started = time.monotonic()
    _, status = send(fleet.cut_host, "menu")
    assert status == 503
    assert time.monotonic() - started < DEADLINE_SECONDS / 2

"""Real processes: a target says in its answers that it leaves, and no report does."""

from __future__ import annotations

import http.client
import itertools
import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random

import attrs
import pytest

from bench.stops.hosts import (
    DOMAIN,
    EntryHost,
    PlatformProcess,
    running_installation,
)
from bench.stops.leaving_rule import DRAIN_SECONDS
from bench.stops.operator import HOST_NAME, SAFE_PREFIX, SERVICE, Operator
from bench.stops.records import Ledger
from bench.stops.reports import ReportedTarget, Reporter
from bench.stops.targets import StopTarget
from chicoryhold.trial.fleet import wait_until

CONTROL_IP, HOST_IP = "127.0.52.1", "127.0.52.2"
TARGETS = 3
LATE_REQUESTS = 60
WAIT_SECONDS = 20.0
DEADLINE_MS = 2_000


@attrs.frozen
class Answer:
    status: int
    incarnation: str
    says_leaving: bool


@attrs.frozen(kw_only=True)
class Site:
    """A control host, an entry host and the targets that are reported as ready."""

    control: tuple[str, int]
    control_process: PlatformProcess
    host: EntryHost
    targets: list[ReportedTarget]
    ledger: Ledger
    numbers: Iterator[int] = attrs.field(factory=itertools.count)

    def send(self) -> Answer:
        connection = http.client.HTTPConnection(*self.host.address, timeout=3)
        request_id = f"r-{next(self.numbers)}"
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            connection.request("GET", SAFE_PREFIX + request_id, headers=headers)
            response = connection.getresponse()
            response.read()
        finally:
            connection.close()
        return Answer(
            response.status,
            response.headers.get("Server-Seal", ""),
            "Server-Leaving" in response.headers,
        )

    def send_until(self, condition: Callable[[Answer], bool], *, what: str) -> None:
        wait_until(lambda: condition(self.send()), what=what, timeout=WAIT_SECONDS)

    def send_many(self) -> Sequence[Answer]:
        return [self.send() for _ in range(LATE_REQUESTS)]


def a_target(
    ledger: Ledger, *, instance: str, born_ms: int, address: str
) -> ReportedTarget:
    return ReportedTarget(
        target=StopTarget(
            address=address, instance=instance, born_ms=born_ms, ledger=ledger
        ),
        service=SERVICE,
        domain=DOMAIN,
        slots=8,
    )


@contextmanager
def running_site(folder: Path) -> Iterator[Site]:
    ledger = Ledger()
    targets = [
        a_target(ledger, instance=f"i-{n}", born_ms=1_000, address=f"{CONTROL_IP}:0")
        for n in range(TARGETS)
    ]
    with ExitStack() as stack:
        for each in targets:
            stack.enter_context(each.target.running())
        installation = stack.enter_context(
            running_installation(
                ips=[CONTROL_IP, HOST_IP],
                folder=folder,
                grace_seconds=5.0,
                ledger=ledger,
            )
        )
        site = Site(
            control=installation.control,
            control_process=installation.control_process,
            host=installation.hosts[0],
            targets=targets,
            ledger=ledger,
        )
        Operator(control=site.control, random=Random(1)).put_first()
        reporter = Reporter(control=site.control, targets=lambda: tuple(targets))
        stack.enter_context(reporter.running())
        site.host.wait_ready()
        wait_until_all_serve(site)
        yield site


def wait_until_all_serve(site: Site) -> None:
    missing = {each.target.incarnation for each in site.targets}

    def has_answered(answer: Answer) -> bool:
        missing.discard(answer.incarnation)
        return not missing

    site.send_until(has_answered, what="an answer of each target")


@pytest.fixture
def site(tmp_path) -> Iterator[Site]:
    with running_site(tmp_path) as site:
        yield site


def leave(site: Site) -> StopTarget:
    """Let a target leave, and return it when the host must have stopped using it."""
    target = site.targets[0].target
    target.is_leaving = True
    site.send_until(lambda answer: answer.says_leaving, what="an answer that says so")
    bound_at = time.monotonic() + DRAIN_SECONDS
    site.send_until(lambda _: time.monotonic() > bound_at, what="the end of the time")
    return target


def assert_only_others_serve(site: Site, target: StopTarget) -> None:
    answers = site.send_many()
    served_by = {answer.incarnation for answer in answers if answer.incarnation}
    known = {each.target.incarnation for each in site.targets}
    assert served_by == known - {target.incarnation}


def test_a_target_that_says_it_leaves_gets_no_request_while_the_registry_stands_still(
    site,
):
    # Regression test: a host relied on the registry alone, and sent on requests.
    site.control_process.send_signal(signal.SIGSTOP)
    try:
        target = leave(site)
        assert_only_others_serve(site, target)
    finally:
        site.control_process.send_signal(signal.SIGCONT)


def test_a_target_that_says_it_leaves_gets_no_request_while_it_is_reported_as_ready(
    site,
):
    target = leave(site)
    assert_only_others_serve(site, target)


def test_a_new_process_of_an_instance_that_had_left_gets_requests_again(site):
    target = leave(site)
    del site.targets[0]
    target.end()
    successor = a_target(
        site.ledger,
        instance=target.instance,
        born_ms=target.born_ms + 1,
        address=target.address,
    )
    with successor.target.running():
        site.targets.append(successor)
        incarnation = successor.target.incarnation
        site.send_until(
            lambda answer: answer.incarnation == incarnation, what="its first answer"
        )

"""One run: hosts, targets, clients, signals, and the judgement of their records."""

from __future__ import annotations

import os
import signal
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import AbstractContextManager, ExitStack, contextmanager
from pathlib import Path
from random import Random

import attrs

from bench.background import in_background
from bench.stops.behaviours import Kept, draw_groups
from bench.stops.clients import ClientGroup, running_clients
from bench.stops.control_pauses import ControlPauses
from bench.stops.hosts import DOMAIN, EntryHost, running_installation
from bench.stops.judge import LOSS_SLACK_SECONDS, Judge
from bench.stops.operator import SERVICE, Operator
from bench.stops.outcome import Outcome, summarize
from bench.stops.records import Ledger
from bench.stops.schedule import run_schedules
from bench.stops.successions import Successions, TargetTerms
from chicoryhold.trial.fleet import wait_until

MIN_GRACE_SECONDS = 5.0
MAX_GRACE_SECONDS = 6.0
CROWD_SHARE = 0.3
CROWD_CLIENTS = 220  # at one host: more than its threads
TARGETS = 3
TARGET_SLOTS = 150
STEADY_HOSTS = 1
STEADY_GROUPS = (ClientGroup(behaviour=Kept(name="steady"), count=6),)
FIRST_ANSWER_TIMEOUT_SECONDS = 10.0
IP_PREFIX = "127.0.8."
IP_BLOCKS = 24
IPS_PER_BLOCK = 10
LAG_PAUSE_SECONDS = 0.02


@attrs.frozen(kw_only=True)
class Plan:
    """What a run is made of. Settings and logs are in ``folder``.

    Stops begin in the first ``seconds``; a calm run has none. One more host than
    ``hosts`` runs all the time.
    """

    seed: int
    seconds: float
    hosts: int
    folder: Path
    calm: bool = False


@attrs.frozen(kw_only=True)
class _RunningParts:
    hosts: Sequence[EntryHost]
    steady_host: EntryHost
    operator: Operator
    pauses: ControlPauses
    successions: Successions


class LagWatch:
    """Measures how late threads of this process wake up."""

    def __init__(self) -> None:
        self._seconds = 0.0

    @property
    def seconds(self) -> float:
        return self._seconds

    @contextmanager
    def running(self) -> Iterator[None]:
        closing = threading.Event()
        with in_background(lambda: self._run(closing), closing=closing):
            yield

    def _run(self, closing: threading.Event) -> None:
        while True:
            started_at = time.monotonic()
            if closing.wait(LAG_PAUSE_SECONDS):
                return
            late = time.monotonic() - started_at - LAG_PAUSE_SECONDS
            self._seconds = max(self._seconds, late)


class StopRun:
    """Draws a run from the seed of its plan, runs and judges it."""

    def __init__(self, plan: Plan) -> None:
        random = Random(plan.seed)
        self._plan = plan
        self._random = random
        self._grace_seconds = round(
            random.uniform(MIN_GRACE_SECONDS, MAX_GRACE_SECONDS), 2
        )
        crowd_clients = CROWD_CLIENTS if random.random() < CROWD_SHARE else 0
        self._groups: Sequence[ClientGroup] = draw_groups(
            random, grace_seconds=self._grace_seconds, crowd_clients=crowd_clients
        )
        self._ledger = Ledger()
        self._lag = LagWatch()

    def run(self) -> Outcome:
        """Start everything, stop the hosts again and again, and judge the records."""
        with ExitStack() as stack:
            parts = self._start(stack)
            with (
                self._running_clients(self._groups, parts.hosts),
                self._running_clients(STEADY_GROUPS, [parts.steady_host]),
            ):
                self._wait_for_answers([*parts.hosts, parts.steady_host])
                parts.successions.begin()
                with parts.operator.running(), parts.pauses.running():
                    self._stop_hosts(parts.hosts)
                parts.steady_host.send_signal(signal.SIGTERM)
                parts.steady_host.wait_exit()
        return self._judge(parts)

    def _running_clients(
        self, groups: Sequence[ClientGroup], hosts: Sequence[EntryHost]
    ) -> AbstractContextManager[None]:
        return running_clients(
            groups=groups, hosts=hosts, ledger=self._ledger, seed=self._plan.seed
        )

    def _start(self, stack: ExitStack) -> _RunningParts:
        """Start all but the clients and wait until the hosts are ready."""
        ips = _own_ips(1 + self._plan.hosts + STEADY_HOSTS)
        installation = stack.enter_context(
            running_installation(
                ips=ips,
                folder=self._plan.folder,
                grace_seconds=self._grace_seconds,
                ledger=self._ledger,
            )
        )
        control = installation.control
        operator = Operator(control=control, random=self._random)
        operator.put_first()
        successions = self._successions(ip=ips[0], control=control)
        stack.enter_context(successions.running())
        for host in installation.hosts:
            host.wait_ready()
        stack.enter_context(self._lag.running())
        return _RunningParts(
            hosts=installation.hosts[:-STEADY_HOSTS],
            steady_host=installation.hosts[-1],
            operator=operator,
            pauses=ControlPauses(
                control=installation.control_process, seed=self._plan.seed
            ),
            successions=successions,
        )

    def _successions(self, *, ip: str, control: tuple[str, int]) -> Successions:
        terms = TargetTerms(
            ip=ip,
            service=SERVICE,
            domain=DOMAIN,
            slots=TARGET_SLOTS,
            ledger=self._ledger,
            controls=[control],
        )
        return Successions(count=TARGETS, terms=terms, seed=self._plan.seed)

    def _wait_for_answers(self, hosts: Sequence[EntryHost]) -> None:
        def answering() -> set[str]:
            requests = self._ledger.requests
            return {request.life.host for request in requests if request.sealed}

        wait_until(
            lambda: len(answering()) == len(hosts),
            what="a first answer of each host",
            timeout=FIRST_ANSWER_TIMEOUT_SECONDS,
        )

    def _stop_hosts(self, hosts: Sequence[EntryHost]) -> None:
        if not self._plan.calm:
            run_schedules(hosts=hosts, seed=self._plan.seed, seconds=self._plan.seconds)
            return
        time.sleep(self._plan.seconds)
        for host in hosts:
            host.life.stopping.set()  # ends the wait of the late clients

    def _judge(self, parts: _RunningParts) -> Outcome:
        judge = Judge(
            self._ledger,
            grace_seconds=self._grace_seconds,
            slack_seconds=LOSS_SLACK_SECONDS + self._lag.seconds,
        )
        return summarize(
            self._ledger,
            judge,
            seed=self._plan.seed,
            grace_seconds=self._grace_seconds,
            clients={group.behaviour.name: group.count for group in self._groups},
            version=parts.operator.version,
            successors=parts.successions.successors,
            lag_seconds=self._lag.seconds,
        )


def _own_ips(count: int) -> list[str]:
    """Return loopback addresses that runs at the same time hardly share."""
    first = IPS_PER_BLOCK * (1 + os.getpid() % IP_BLOCKS)
    return [f"{IP_PREFIX}{first + number}" for number in range(count)]

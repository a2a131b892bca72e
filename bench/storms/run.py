"""One run: hosts, load, storms of changes, events, and what the probes saw."""

from __future__ import annotations

import os
import time
from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from random import Random

import attrs
import msgspec

from bench.stops.hosts import DOMAIN
from bench.stops.records import Ledger
from bench.stops.targets import Reporter, running_targets
from bench.storms.changes import SERVICE, StormOperator
from bench.storms.event_log import EventLog
from bench.storms.installation import Installation, running_installation
from bench.storms.load import running_load
from bench.storms.probes import Fault, Probe, running_probes
from bench.storms.schedule import run_events
from chicoryhold.trial.fleet import FleetError, wait_until

APPLY_SECONDS = 2.5  # the users' bound from an acknowledgement to its use everywhere
CONTROLS = 3
TARGETS = 2
TARGET_SLOTS = 100
GRACE_SECONDS = 5.0
INSTALLATION = "installation"  # in the log of events, for what isn't done to one host
LOAD_CLIENTS = (10, 80)
IP_PREFIX = "127.0.11."
IP_BLOCKS = 20
IPS_PER_BLOCK = 12
# Of the processes of the installation, in fresh checkouts compiled at their start.
FIRST_ANSWER_TIMEOUT_SECONDS = 20.0


@attrs.frozen(kw_only=True)
class Plan:
    """What a run is made of. Events begin in the first ``seconds``."""

    seed: int
    seconds: float
    hosts: int
    folder: Path


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a run.

    ``slowest_end`` is after how many seconds without events the last host served the
    newest version, or ``None`` if one didn't within the bound.
    """

    seed: int
    versions: int
    acknowledged: int
    clients: int
    events: dict[str, int]
    probes: dict[str, int]
    slowest_end: float | None
    faults: list[Fault]

    @property
    def is_good(self) -> bool:
        return not self.faults and self.slowest_end is not None

    def to_json(self) -> str:
        return msgspec.json.encode(self).decode()


class StormRun:
    """Draws a run from the seed of its plan, runs and judges it."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)

    def run(self) -> Outcome:
        clients = self._random.randint(*LOAD_CLIENTS)
        log = EventLog(self._plan.folder)
        with ExitStack() as stack:
            installation = self._start(stack)
            operator = StormOperator(
                controls=installation.addresses, random=self._random
            )
            operator.put_first()
            self._report_targets(stack, installation)
            for linked in installation.hosts:
                linked.host.wait_ready()
            log.write(INSTALLATION, "the probes begin")
            probes = stack.enter_context(
                running_probes(
                    hosts=installation.hosts,
                    operator=operator,
                    apply_seconds=APPLY_SECONDS,
                )
            )
            self._wait_for_answers(probes)
            with (
                running_load(
                    [linked.host.address for linked in installation.hosts],
                    clients=clients,
                ),
                operator.running(),
            ):
                events = run_events(
                    hosts=installation.hosts,
                    controls=installation.controls,
                    seed=self._plan.seed,
                    seconds=self._plan.seconds,
                    log=log,
                )
            slowest_end = self._wait_for_newest(operator, probes, log)
        return Outcome(
            seed=self._plan.seed,
            versions=operator.sent,
            acknowledged=len(operator.acknowledged),
            clients=clients,
            events=dict(events),
            probes=dict(sum((probe.statuses for probe in probes), start=Counter())),
            slowest_end=slowest_end,
            faults=[fault for probe in probes for fault in probe.faults],
        )

    def _start(self, stack: ExitStack) -> Installation:
        first = 1 + IPS_PER_BLOCK * (os.getpid() % IP_BLOCKS)
        count = CONTROLS + self._plan.hosts
        self._ips = [f"{IP_PREFIX}{first + number}" for number in range(count)]
        self._ledger = Ledger()
        return stack.enter_context(
            running_installation(
                ips=self._ips,
                controls=CONTROLS,
                folder=self._plan.folder,
                grace_seconds=GRACE_SECONDS,
                ledger=self._ledger,
            )
        )

    def _report_targets(self, stack: ExitStack, installation: Installation) -> None:
        targets = stack.enter_context(
            running_targets(
                count=TARGETS, ip=self._ips[0], service=SERVICE, ledger=self._ledger
            )
        )
        for address in installation.addresses:
            reporter = Reporter(
                control=address,
                targets=targets,
                service=SERVICE,
                domain=DOMAIN,
                slots=TARGET_SLOTS,
            )
            stack.enter_context(reporter.running())

    def _wait_for_answers(self, probes: list[Probe]) -> None:
        wait_until(
            lambda: all(probe.serves_newest() for probe in probes),
            what="a first answer of each host",
            timeout=FIRST_ANSWER_TIMEOUT_SECONDS,
        )

    def _wait_for_newest(
        self, operator: StormOperator, probes: list[Probe], log: EventLog
    ) -> float | None:
        """Send one more version, and wait until all hosts serve it."""
        wait_until(operator.put, what="the last version", timeout=10.0)
        acknowledged_at = time.monotonic()
        log.write(INSTALLATION, "the last version is acknowledged")
        try:
            wait_until(
                lambda: all(probe.serves_newest() for probe in probes),
                what="the last version on all hosts",
                timeout=APPLY_SECONDS,
            )
        except FleetError:
            for probe in probes:
                log.write(probe.host, "the last probe", status=probe.last_status)
            return None
        return round(time.monotonic() - acknowledged_at, 3)

"""One run: hosts, load, storms of changes, events, and what the probes saw."""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random

import attrs
import msgspec

from bench.stops.behaviours import Kept
from bench.stops.clients import ClientGroup, running_clients
from bench.stops.hosts import DOMAIN
from bench.stops.leaving_rule import LateRequest, LeavingRule
from bench.stops.records import Ledger
from bench.stops.successions import Successions, TargetTerms
from bench.storms.changes import SERVICE, StormOperator
from bench.storms.event_log import EventLog
from bench.storms.installation import Installation, running_installation
from bench.storms.load import running_load
from bench.storms.probes import CONTACT_SECONDS, Fault, Probe, running_probes
from bench.storms.schedule import run_events
from chicoryhold.trial.fleet import FleetError, wait_until

APPLY_SECONDS = 2.5  # the users' bound from an acknowledgement to its use everywhere
CONTROLS = 3
TARGETS = 3
TARGET_SLOTS = 100
GRACE_SECONDS = 5.0
INSTALLATION = "installation"  # in the log of events, for what isn't done to one host
LOAD_CLIENTS = (10, 80)
STEADY_HOSTS = 1
RECORDED_GROUPS = (ClientGroup(behaviour=Kept(), count=4),)
IP_PREFIX = "127.0.11."
IP_BLOCKS = 19
IPS_PER_BLOCK = 13
# Of the processes of the installation, in fresh checkouts compiled at their start.
FIRST_ANSWER_TIMEOUT_SECONDS = 20.0
ENOUGH_VERSIONS = 10  # acknowledged ones
EVIDENCE_TIMEOUT_SECONDS = 20.0
EVIDENCE_PAUSE_SECONDS = 0.5


@attrs.frozen(kw_only=True)
class Plan:
    """What a run is made of. Events begin in the first ``seconds``.

    One more host than ``hosts`` has slow links, but no load, pauses and restarts.
    """

    seed: int
    seconds: float
    hosts: int
    folder: Path


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a run.

    ``slowest_end`` is after how many seconds the last host served a version that was
    acknowledged ``contact_s`` after the last event, or ``None`` if one didn't within
    the bound. ``bound_pairs`` counts the processes and targets that had said they
    leave, for which a request could have been late; ``late_requests`` were.
    """

    seed: int
    versions: int
    acknowledged: int
    clients: int
    events: dict[str, int]
    probes: dict[str, int]
    slowest_end: float | None
    successors: int
    bound_pairs: int
    faults: list[Fault]
    late_requests: list[LateRequest]

    @property
    def is_good(self) -> bool:
        is_clean = not self.faults and not self.late_requests
        return is_clean and self.slowest_end is not None

    def to_json(self) -> str:
        return msgspec.json.encode(self).decode()


class StormRun:
    """Draws a run from the seed of its plan, runs and judges it."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._random = Random(plan.seed)

    def run(self) -> Outcome:
        """Run the installation through its events, and judge what was seen."""
        clients = self._random.randint(*LOAD_CLIENTS)
        log = EventLog(self._plan.folder)
        with ExitStack() as stack:
            installation = self._start(stack)
            operator = StormOperator(
                controls=installation.addresses, random=self._random
            )
            operator.put_first()
            successions = self._successions(installation)
            stack.enter_context(successions.running())
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
            successions.begin()
            with self._running_load(installation, clients), operator.running():
                events = self._run_events(installation, log)
                self._wait_for_evidence(operator)
            slowest_end = self._wait_for_newest(operator, probes, log)
        rule = LeavingRule(self._ledger)
        return Outcome(
            seed=self._plan.seed,
            versions=operator.sent,
            acknowledged=len(operator.acknowledged),
            clients=clients,
            events=dict(events),
            probes=dict(sum((probe.statuses for probe in probes), start=Counter())),
            slowest_end=slowest_end,
            successors=len(successions.successors),
            bound_pairs=rule.bound_pairs,
            faults=[fault for probe in probes for fault in probe.faults],
            late_requests=list(rule.late_requests),
        )

    @contextmanager
    def _running_load(self, installation: Installation, clients: int) -> Iterator[None]:
        """Send requests to all hosts; of some it is recorded what became of them."""
        hosts = [linked.host for linked in installation.hosts]
        with (
            running_load(
                [host.address for host in hosts[:-STEADY_HOSTS]], clients=clients
            ),
            running_clients(
                groups=RECORDED_GROUPS,
                hosts=hosts,
                ledger=self._ledger,
                seed=self._plan.seed,
            ),
        ):
            yield

    def _run_events(self, installation: Installation, log: EventLog) -> Counter:
        return run_events(
            hosts=installation.hosts[:-STEADY_HOSTS],
            steady_host=installation.hosts[-1],
            controls=installation.controls,
            seed=self._plan.seed,
            seconds=self._plan.seconds,
            log=log,
        )

    def _start(self, stack: ExitStack) -> Installation:
        first = 1 + IPS_PER_BLOCK * (os.getpid() % IP_BLOCKS)
        count = CONTROLS + self._plan.hosts + STEADY_HOSTS
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

    def _successions(self, installation: Installation) -> Successions:
        terms = TargetTerms(
            ip=self._ips[0],
            service=SERVICE,
            domain=DOMAIN,
            slots=TARGET_SLOTS,
            ledger=self._ledger,
            controls=installation.addresses,
        )
        return Successions(count=TARGETS, terms=terms, seed=self._plan.seed)

    def _wait_for_answers(self, probes: list[Probe]) -> None:
        wait_until(
            lambda: all(probe.serves_newest() for probe in probes),
            what="a first answer of each host",
            timeout=FIRST_ANSWER_TIMEOUT_SECONDS,
        )

    def _wait_for_evidence(self, operator: StormOperator) -> None:
        """Go on without events until the run shows something, or for a bounded time.

        A busy machine acknowledges few versions, and asks a host late for a target that
        it has to avoid.
        """
        end_at = time.monotonic() + EVIDENCE_TIMEOUT_SECONDS
        while time.monotonic() < end_at:
            has_bound = LeavingRule(self._ledger).bound_pairs > 0
            if has_bound and len(operator.acknowledged) >= ENOUGH_VERSIONS:
                return
            time.sleep(EVIDENCE_PAUSE_SECONDS)

    def _wait_for_newest(
        self, operator: StormOperator, probes: list[Probe], log: EventLog
    ) -> float | None:
        """Send one more version, and wait until all hosts serve it.

        Until ``contact_s`` after the last event its host isn't in touch, and a process
        that was started last may not listen yet. Probes judge all answers meanwhile.
        """
        time.sleep(max(0.0, log.newest_at + CONTACT_SECONDS - time.monotonic()))
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

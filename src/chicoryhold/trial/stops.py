"""A soak run of entry hosts that are stopped, reloaded and reconfigured.

Real processes on loopback get a series of signals and configurations that is drawn
from a seed, while clients keep sending. The result, as JSON on standard output, names
each request that a host lost, broke off or refused though it ran.
"""

from __future__ import annotations

import json
import os
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path
from random import Random

import attrs
from absl import flags

from chicoryhold.programs.running import run_program
from chicoryhold.trial.fleet import FleetError, wait_until
from chicoryhold.trial.stops_behaviours import draw_groups
from chicoryhold.trial.stops_clients import running_clients
from chicoryhold.trial.stops_hosts import (
    DOMAIN,
    Installation,
    running_installation,
)
from chicoryhold.trial.stops_judge import LOSS_SLACK_SECONDS, Fault, Judge
from chicoryhold.trial.stops_operator import SERVICE, Operator
from chicoryhold.trial.stops_records import Ledger
from chicoryhold.trial.stops_schedule import run_schedules
from chicoryhold.trial.stops_targets import Reporter, running_targets

USAGE = """Stops, reloads and reconfigures entry hosts and reports lost requests.

usage: %s --seed=N [--seconds=S] [--hosts=H] [--folder=FOLDER] [--calm]
"""
DEFAULT_SECONDS = 9.0
DEFAULT_HOSTS = 2
MIN_GRACE_SECONDS = 5.0
MAX_GRACE_SECONDS = 6.0
CROWD_SHARE = 0.3
CROWD_CLIENTS = 200  # more than the threads of a host
TARGETS = 3
TARGET_SLOTS = 150
IP_PREFIX = "127.0.8."
IP_BLOCKS = 24
IPS_PER_BLOCK = 10
LAG_PAUSE_SECONDS = 0.02

_SEED = flags.DEFINE_integer("seed", 1, "The seed of all that is drawn.")
_SECONDS = flags.DEFINE_float(
    "seconds",
    DEFAULT_SECONDS,
    "Time in which stops begin; a run takes up to 10 s more.",
)
_HOSTS = flags.DEFINE_integer(
    "hosts", DEFAULT_HOSTS, "Number of entry hosts.", lower_bound=1, upper_bound=6
)
_FOLDER = flags.DEFINE_string(
    "folder", "", "Folder that keeps settings and logs, by default a temporary one."
)
_CALM = flags.DEFINE_bool("calm", False, "Send no signals, to check the run itself.")


@attrs.frozen(kw_only=True)
class Plan:
    """What a run is made of."""

    seed: int
    seconds: float
    hosts: int
    folder: Path
    calm: bool = False


@attrs.frozen(kw_only=True)
class Outcome:
    """The result of a run.

    ``unread`` counts requests that no host read, ``refused_connects`` connections to
    hosts that weren't there. ``lag_seconds`` is how late the run's own threads were.
    """

    seed: int
    grace_seconds: float
    crowd: bool
    requests: int
    endings: Mapping[str, int]
    statuses: Mapping[int, int]
    unread: int
    refused_connects: int
    lives: int
    exits_after_stop: Sequence[float | None]
    exit_codes: Mapping[str, int]
    version: int
    lag_seconds: float
    faults: Sequence[Fault]

    @property
    def fault_counts(self) -> Mapping[str, int]:
        return Counter(fault.kind.name for fault in self.faults)

    def to_json(self) -> str:
        fields = attrs.asdict(
            self, value_serializer=lambda _, __, value: getattr(value, "name", value)
        )
        return json.dumps({**fields, "fault_counts": self.fault_counts}, indent=1)


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
        thread = threading.Thread(target=self._run, args=[closing], daemon=True)
        thread.start()
        try:
            yield
        finally:
            closing.set()
            thread.join()

    def _run(self, closing: threading.Event) -> None:
        while True:
            started_at = time.monotonic()
            if closing.wait(LAG_PAUSE_SECONDS):
                return
            late = time.monotonic() - started_at - LAG_PAUSE_SECONDS
            self._seconds = max(self._seconds, late)


def run_stops(plan: Plan) -> Outcome:
    """Run one plan and return what it showed."""
    random = Random(plan.seed)
    grace_seconds = round(random.uniform(MIN_GRACE_SECONDS, MAX_GRACE_SECONDS), 2)
    crowd_clients = CROWD_CLIENTS if random.random() < CROWD_SHARE else 0
    groups = draw_groups(
        random, grace_seconds=grace_seconds, crowd_clients=crowd_clients
    )
    ledger = Ledger()
    lag = LagWatch()
    ips = _own_ips(1 + plan.hosts)
    with ExitStack() as stack:
        targets = stack.enter_context(
            running_targets(count=TARGETS, ip=ips[0], service=SERVICE, ledger=ledger)
        )
        installation = stack.enter_context(
            running_installation(
                ips=ips, folder=plan.folder, grace_seconds=grace_seconds, ledger=ledger
            )
        )
        operator = Operator(control=installation.control, random=random)
        operator.put_first()
        reporter = Reporter(
            control=installation.control,
            targets=targets,
            service=SERVICE,
            domain=DOMAIN,
            slots=TARGET_SLOTS,
        )
        stack.enter_context(reporter.running())
        for host in installation.hosts:
            host.wait_ready()
        stack.enter_context(lag.running())
        with running_clients(
            groups=groups, hosts=installation.hosts, ledger=ledger, seed=plan.seed
        ):
            with operator.running():
                _stop_hosts(installation, ledger, plan)
    judge = Judge(
        ledger,
        grace_seconds=grace_seconds,
        slack_seconds=LOSS_SLACK_SECONDS + lag.seconds,
    )
    return _outcome(plan, ledger, judge, operator, lag, grace_seconds, crowd_clients)


def _stop_hosts(installation: Installation, ledger: Ledger, plan: Plan) -> None:
    wait_until(
        lambda: all(_is_served(ledger, host.name) for host in installation.hosts),
        what="a first answer of each host",
        timeout=10.0,
    )
    if plan.calm:
        time.sleep(plan.seconds)
        return
    run_schedules(hosts=installation.hosts, seed=plan.seed, seconds=plan.seconds)


def _is_served(ledger: Ledger, host: str) -> bool:
    return any(
        request.life.host == host and request.sealed for request in ledger.requests
    )


def _own_ips(count: int) -> list[str]:
    """Return loopback addresses that runs at the same time hardly share."""
    first = IPS_PER_BLOCK * (1 + os.getpid() % IP_BLOCKS)
    return [f"{IP_PREFIX}{first + number}" for number in range(count)]


def _outcome(
    plan: Plan, ledger: Ledger, judge: Judge, operator: Operator, lag: LagWatch,
    grace_seconds: float, crowd_clients: int,
) -> Outcome:  # fmt: skip
    requests, lives = ledger.requests, ledger.lives
    return Outcome(
        seed=plan.seed,
        grace_seconds=grace_seconds,
        crowd=bool(crowd_clients),
        requests=len(requests),
        endings=Counter(
            request.ending.name if request.ending else "OPEN" for request in requests
        ),
        statuses=Counter(request.status for request in requests if request.status),
        unread=judge.unread,
        refused_connects=ledger.refused_connects,
        lives=len(lives),
        exits_after_stop=[life.after_stop(life.exited_at) for life in lives],
        exit_codes=Counter(str(life.exit_code) for life in lives),
        version=operator.version,
        lag_seconds=round(lag.seconds, 3),
        faults=judge.faults,
    )


@contextmanager
def _run_folder() -> Iterator[Path]:
    if not _FOLDER.value:
        with tempfile.TemporaryDirectory(prefix="chicoryhold-stops-") as folder:
            yield Path(folder)
        return
    folder = Path(_FOLDER.value)
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise FleetError(f"{folder} isn't empty: name a new folder")
    yield folder


def _main(arguments: list[str]) -> int:
    with _run_folder() as folder:
        plan = Plan(
            seed=_SEED.value,
            seconds=_SECONDS.value,
            hosts=_HOSTS.value,
            folder=folder,
            calm=_CALM.value,
        )
        outcome = run_stops(plan)
    print(outcome.to_json())
    return 1 if outcome.faults else 0


if __name__ == "__main__":
    run_program(_main, usage=USAGE)

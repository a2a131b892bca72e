"""Runs a load experiment with open-loop arrivals.

Arrival times are computed before the run, and latency is measured from the arrival
time. A slow system therefore can't delay later requests and so hide its own latency
(coordinated omission).
"""

from __future__ import annotations

import heapq
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from random import Random

import attrs
import urllib3
from hdrh.histogram import HdrHistogram

from chicoryhold.errors import ExperimentError
from chicoryhold.load.experiment import (
    CrashingRequest,
    Experiment,
    LimitedTarget,
    Traffic,
)
from chicoryhold.load.target_rules import check_crashes, check_limit

MAX_LATENCY_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT_SECONDS = 10.0
PROGRESS_INTERVAL_SECONDS = 1.0
PERCENTILES = (50, 90, 99, 99.9)


@attrs.frozen(kw_only=True, order=True)
class Arrival:
    """A request that is due ``at`` seconds after the start.

    ``stream_index`` is the position of its traffic in the experiment.
    """

    at: float
    stream_index: int = attrs.field()
    traffic: Traffic = attrs.field(order=False)


@attrs.define(kw_only=True)
class Tally:
    """Results of one organisation.

    ``results`` counts requests by result; ``latency`` is that of the answered ones,
    in microseconds.
    """

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    )
    results: Counter = attrs.field(factory=Counter)


@attrs.frozen(kw_only=True)
class TargetResult:
    """What a simulated target that named a limit got; see ``load/target_rules.py``."""

    target: str
    most_in_window: int
    allowed: float


@attrs.frozen(kw_only=True)
class CrashingRequestResult:
    """How often a request crashed targets; see ``load/target_rules.py``."""

    path: str
    crashes: int
    late_retries: int
    is_kept: bool


@attrs.frozen(kw_only=True)
class OrganisationResult:
    """One organisation's results, with latency percentiles in milliseconds."""

    organisation: str
    sent: int
    answered: int
    results: dict[str, int]
    latency_ms: dict[str, float]


def arrivals(traffic: Traffic, *, seconds: float, random: Random) -> Iterator[float]:
    """Yield arrival times of a Poisson process, thinned from the maximum rate."""
    max_rate = traffic.rate * max(1.0, traffic.surge)
    at = random.expovariate(max_rate)
    while at < seconds:
        if random.random() * max_rate < traffic.rate_at(at):
            yield at
        at += random.expovariate(max_rate)


def plan_requests(experiment: Experiment) -> list[Arrival]:
    """Return all requests of the experiment, ordered by arrival time."""
    streams = []
    for stream_index, traffic in enumerate(experiment.traffic):
        random = Random(f"{experiment.seed}.{stream_index}")
        times = arrivals(traffic, seconds=experiment.seconds, random=random)
        streams.append(
            [Arrival(at=at, stream_index=stream_index, traffic=traffic) for at in times]
        )
    return list(heapq.merge(*streams))


class LoadRunner:
    """Sends the requests of an experiment and records the results."""

    def __init__(self, *, experiment: Experiment) -> None:
        self._experiment = experiment
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=experiment.threads, num_pools=64
        )
        self._tallies: dict[str, Tally] = {}
        self._lock = threading.Lock()
        self._completed = 0
        self._limited_since = time.monotonic()

    def run(self) -> list[OrganisationResult]:
        """Run the experiment and return its results."""
        schedule = plan_requests(self._experiment)
        hosts = self._look_up_hosts()
        started = time.perf_counter()
        with ThreadPoolExecutor(self._experiment.threads) as workers:
            last_shown = 0.0
            for index, arrival in enumerate(schedule):
                elapsed = time.perf_counter() - started
                time.sleep(max(0.0, arrival.at - elapsed))
                host = hosts[index % len(hosts)]
                workers.submit(self._send, arrival, host, started)
                if arrival.at - last_shown >= PROGRESS_INTERVAL_SECONDS:
                    last_shown = arrival.at
                    self._show_progress(arrival.at, len(schedule))
        print(file=sys.stderr)
        return [self._organisation_result(name) for name in sorted(self._tallies)]

    def check_targets(self) -> list[TargetResult]:
        """Check the limits of the experiment's simulated targets after a run."""
        return [
            self._check_target(limited) for limited in self._experiment.limited_targets
        ]

    def check_crashing_requests(self) -> list[CrashingRequestResult]:
        """Check the requests of the experiment that crash targets, after a run."""
        return [
            self._check_crashes(each) for each in self._experiment.crashing_requests
        ]

    def _check_crashes(self, crashing: CrashingRequest) -> CrashingRequestResult:
        runs = [
            request["at"]
            for address in crashing.addresses
            for request in self._ask_target(address, "/trial/seen").json()["requests"]
            if request["path"] == crashing.path
        ]
        result = check_crashes(runs, known_seconds=self._experiment.limit_known_seconds)
        return CrashingRequestResult(
            path=crashing.path,
            crashes=result.crashes,
            late_retries=result.late_retries,
            is_kept=result.is_kept,
        )

    def name_limits(self) -> None:
        """Let the experiment's simulated targets name their limits from now on."""
        for limited in self._experiment.limited_targets:
            self._ask_target(limited.address, f"/trial/limit/{limited.rate:g}")
        self._limited_since = time.monotonic()

    def _check_target(self, limited: LimitedTarget) -> TargetResult:
        seen = self._ask_target(limited.address, "/trial/seen").json()["requests"]
        result = check_limit(
            (request["at"] for request in seen),
            rate=limited.rate,
            since=self._limited_since + self._experiment.limit_known_seconds,
        )
        return TargetResult(
            target=limited.address, most_in_window=result.most, allowed=result.allowed
        )

    def _ask_target(self, address: str, path: str) -> urllib3.BaseHTTPResponse:
        url = f"http://{address}{path}"
        try:
            return self._pool.request("GET", url, timeout=REQUEST_TIMEOUT_SECONDS)
        except urllib3.exceptions.HTTPError as error:
            raise ExperimentError(
                f"{url}: {error}: name a simulated target on this machine"
            ) from error

    def _look_up_hosts(self) -> Sequence[str]:
        url = f"http://{self._experiment.known_host}/v1/entry-hosts"
        try:
            lookup = self._pool.request(
                "GET", url, timeout=REQUEST_TIMEOUT_SECONDS
            ).json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise ExperimentError(
                f"{url}: {error}: set known_host to a running host"
            ) from error
        return [host["address"] for host in lookup["entry_hosts"]]

    def _send(self, arrival: Arrival, host: str, started: float) -> None:
        traffic = arrival.traffic
        headers = dict(traffic.headers)
        if traffic.key:
            headers["Chicoryhold-Key"] = traffic.key
        try:
            response = self._pool.request(
                traffic.method,
                f"http://{host}{traffic.path}",
                body=traffic.body.encode() or None,
                headers=headers,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
            result = _result_label(response)
        except urllib3.exceptions.HTTPError as error:
            result = type(error).__name__
        latency = time.perf_counter() - started - arrival.at
        self._count(traffic.organisation, result, latency)

    def _count(self, organisation: str, result: str, latency: float) -> None:
        with self._lock:
            tally = self._tallies.setdefault(organisation, Tally())
            tally.results[result] += 1
            self._completed += 1
            if result == "answered":
                tally.latency.record_value(max(1, int(latency * 1e6)))

    def _show_progress(self, second: float, total: int) -> None:
        text = f"\r{second:6.1f} s, {self._completed} of {total} done"
        print(text, end="", file=sys.stderr, flush=True)

    def _organisation_result(self, organisation: str) -> OrganisationResult:
        tally = self._tallies[organisation]
        return OrganisationResult(
            organisation=organisation,
            sent=sum(tally.results.values()),
            answered=tally.results["answered"],
            results=dict(tally.results),
            latency_ms={
                f"p{percentile:g}": tally.latency.get_value_at_percentile(percentile)
                / 1000
                for percentile in PERCENTILES
            },
        )


def _result_label(response: urllib3.BaseHTTPResponse) -> str:
    if response.status < 400:
        return "answered"
    try:
        return str(response.json().get("refused", response.status))
    except ValueError:
        return str(response.status)

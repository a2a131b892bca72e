"""Runs an experiment with open-loop arrivals.

Each request has its arrival time before the run starts, and latency counts from
there: a slow system can't slow its callers and so hide its own delay.
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
from chicoryhold.load.experiment import Experiment, Traffic

LONGEST_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST_TIMEOUT = 10.0
PROGRESS_SECONDS = 1.0
PERCENTILES = (50, 90, 99, 99.9)


@attrs.frozen(kw_only=True, order=True)
class Arrival:
    """A request that is due ``at`` seconds after the start."""

    at: float
    number: int = attrs.field()
    traffic: Traffic = attrs.field(order=False)


@attrs.define(kw_only=True)
class Tally:
    """What one organisation got. Latency in microseconds."""

    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS)
    )
    results: Counter = attrs.field(factory=Counter)


@attrs.frozen(kw_only=True)
class OrganisationResult:
    """One organisation's results. Latency in milliseconds by percentile."""

    organisation: str
    sent: int
    answered: int
    results: dict[str, int]
    latency_ms: dict[str, float]


def arrivals(traffic: Traffic, *, seconds: float, random: Random) -> Iterator[float]:
    """Yield Poisson arrival times, by thinning the highest rate."""
    highest = traffic.rate * max(1.0, traffic.surge)
    at = random.expovariate(highest)
    while at < seconds:
        if random.random() * highest < traffic.rate_at(at):
            yield at
        at += random.expovariate(highest)


def plan(experiment: Experiment) -> list[Arrival]:
    """Return every request of the experiment in order of time."""
    streams = []
    for number, traffic in enumerate(experiment.traffic):
        random = Random(f"{experiment.seed}.{number}")
        times = arrivals(traffic, seconds=experiment.seconds, random=random)
        streams.append([Arrival(at=at, number=number, traffic=traffic) for at in times])
    return list(heapq.merge(*streams))


class LoadRunner:
    """Sends the planned requests and counts what comes back."""

    def __init__(self, *, experiment: Experiment) -> None:
        self._experiment = experiment
        self._pool = urllib3.PoolManager(
            retries=False, maxsize=experiment.threads, num_pools=64
        )
        self._tallies: dict[str, Tally] = {}
        self._lock = threading.Lock()
        self._done = 0

    def run(self) -> list[OrganisationResult]:
        """Run the whole experiment and return its results."""
        planned = plan(self._experiment)
        hosts = self._look_up()
        started = time.perf_counter()
        with ThreadPoolExecutor(self._experiment.threads) as workers:
            shown = 0.0
            for number, arrival in enumerate(planned):
                elapsed = time.perf_counter() - started
                time.sleep(max(0.0, arrival.at - elapsed))
                host = hosts[number % len(hosts)]
                workers.submit(self._send, arrival, host, started)
                if arrival.at - shown >= PROGRESS_SECONDS:
                    shown = arrival.at
                    self._show_progress(arrival.at, len(planned))
        print(file=sys.stderr)
        return [self._result(name) for name in sorted(self._tallies)]

    def _look_up(self) -> Sequence[str]:
        url = f"http://{self._experiment.known_host}/v1/entry-hosts"
        try:
            answer = self._pool.request("GET", url, timeout=REQUEST_TIMEOUT).json()
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise ExperimentError(f"{url}: {error}: name a running host") from error
        return [host["address"] for host in answer["entry_hosts"]]

    def _send(self, arrival: Arrival, host: str, started: float) -> None:
        traffic = arrival.traffic
        headers = {"Chicoryhold-Key": traffic.key} if traffic.key else {}
        try:
            answer = self._pool.request(
                traffic.method,
                f"http://{host}{traffic.path}",
                body=traffic.body.encode() or None,
                headers=headers,
                timeout=REQUEST_TIMEOUT,
            )
            result = _result_of(answer)
        except urllib3.exceptions.HTTPError as error:
            result = type(error).__name__
        latency = time.perf_counter() - started - arrival.at
        self._count(traffic.organisation, result, latency)

    def _count(self, organisation: str, result: str, latency: float) -> None:
        with self._lock:
            tally = self._tallies.setdefault(organisation, Tally())
            tally.results[result] += 1
            self._done += 1
            if result == "answered":
                tally.latency.record_value(max(1, int(latency * 1e6)))

    def _show_progress(self, second: float, planned: int) -> None:
        text = f"\r{second:6.1f} s, {self._done} of {planned} done"
        print(text, end="", file=sys.stderr, flush=True)

    def _result(self, organisation: str) -> OrganisationResult:
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


def _result_of(answer: urllib3.BaseHTTPResponse) -> str:
    if answer.status < 400:
        return "answered"
    try:
        return str(answer.json().get("refused", answer.status))
    except ValueError:
        return str(answer.status)

"""Probes targets while this host may be cut off from them."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Protocol

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.crash import create_critical_thread
from chicoryhold.gateway.reachability import ProbeResult, TargetReachability
from chicoryhold.targets.probe import ProbeOutcome

VERDICT_PROBES = 5  # targets whose failure leads to the verdict
RETURN_PROBES = 3  # targets tried at a time while the host is cut off
# Two round trips to the farthest region, plus a margin.
VERDICT_TIMEOUT_SECONDS = 0.4
# Shorter, so that a connect whose first packet was lost is soon replaced.
RETURN_TIMEOUT_SECONDS = 0.3
RETURN_INTERVAL_SECONDS = 0.25


@attrs.frozen(kw_only=True)
class ProbeCandidate:
    """A target that may be probed; ``is_ready`` means that it should respond.

    ``age`` is the seconds since it was last known to exist.
    """

    address: str
    service: str
    domain: str
    is_ready: bool = True
    age: float = 0.0


class Prober(Protocol):
    """Tries to open a connection to each of ``addresses``."""

    def __call__(self, addresses: Iterable[str], *, timeout: float) -> ProbeOutcome: ...


def choose_probe_targets(
    candidates: Iterable[ProbeCandidate], *, count: int, random: Random,
    failed: frozenset[str] = frozenset(),
) -> list[ProbeCandidate]:  # fmt: skip
    """Return up to ``count`` random targets from different services and domains.

    Targets at the addresses in ``failed`` and those that aren't ready are used only if
    there are no others. Among equals, those of the lowest age are preferred.
    """
    remaining = list(candidates)
    random.shuffle(remaining)
    services: Counter[str] = Counter()
    domains: Counter[str] = Counter()
    chosen: list[ProbeCandidate] = []

    def cost(candidate: ProbeCandidate) -> tuple[bool, bool, int, int, float]:
        return (
            not candidate.is_ready,
            candidate.address in failed,
            services[candidate.service],
            domains[candidate.domain],
            candidate.age,
        )

    while remaining and len(chosen) < count:
        best = min(remaining, key=cost)
        remaining.remove(best)
        chosen.append(best)
        services[best.service] += 1
        domains[best.domain] += 1
    return chosen


class TargetProber:
    """Probes targets on its own thread whenever ``reachability`` needs it.

    ``candidates`` returns the known targets. ``on_change`` is called after the verdict
    has changed. Events are logged as of ``component``, with what it does meanwhile.
    """

    def __init__(
        self, *, reachability: TargetReachability, probe: Prober, clock: Clock,
        candidates: Callable[[], Iterable[ProbeCandidate]], random: Random,
        component: str, meanwhile: str, on_change: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self._reachability = reachability
        self._probe = probe
        self._clock = clock
        self._candidates = candidates
        self._random = random
        self._component = component
        self._meanwhile = meanwhile
        self._on_change = on_change
        self._started_at = clock.now()
        self._wake = threading.Event()
        self._stopping = threading.Event()
        reachability.on_suspicion(self.wake)

    def wake(self) -> None:
        """Probe at once if ``reachability`` needs it."""
        self._wake.set()

    @contextmanager
    def running(self) -> Iterator[None]:
        """Probe for the duration of the block."""
        thread = create_critical_thread(self._run, name="prober")
        thread.start()
        try:
            yield
        finally:
            self._stopping.set()
            self.wake()
            thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._wake.wait()
            self._wake.clear()
            while self._reachability.needs_probe and not self._stopping.is_set():
                self._probe_and_pause()

    def _probe_and_pause(self) -> None:
        try:
            self.probe_once()
        except OSError as error:
            # Without descriptors or ports nothing is known about the targets.
            logger.bind(reason=str(error)).warning(
                "{}: probing targets failed.", self._component
            )
        if self._reachability.needs_probe:
            elapsed = self._clock.now() - self._started_at
            self._stopping.wait(max(0.0, RETURN_INTERVAL_SECONDS - elapsed))

    def probe_once(self) -> None:
        """Probe some targets and pass the result on."""
        was_cut_off = self._reachability.is_cut_off
        self._started_at = self._clock.now()
        chosen = choose_probe_targets(
            self._candidates(),
            count=RETURN_PROBES if was_cut_off else VERDICT_PROBES,
            random=self._random,
            failed=frozenset() if was_cut_off else self._reachability.failed_addresses,
        )
        timeout = RETURN_TIMEOUT_SECONDS if was_cut_off else VERDICT_TIMEOUT_SECONDS
        outcome = self._probe(
            [candidate.address for candidate in chosen], timeout=timeout
        )
        reached = len(outcome.reached)
        result = ProbeResult(
            started_at=self._started_at,
            probed=reached + len(outcome.failed),
            reached=reached,
        )
        if self._reachability.record_probe(result):
            self._log(chosen)
            self._on_change()

    def _log(self, chosen: list[ProbeCandidate]) -> None:
        began = self._reachability.cut_off_since
        fields = {"seconds": round(self._clock.now() - began, 2)}
        if not self._reachability.is_cut_off:
            logger.bind(**fields).warning(
                "{}: targets are reachable again.", self._component
            )
            return
        logger.bind(
            **fields,
            probes=len(chosen),
            failures=len(self._reachability.failed_addresses),
            services=len({candidate.service for candidate in chosen}),
            domains=len({candidate.domain for candidate in chosen}),
        ).warning("{}: targets are out of reach; {}.", self._component, self._meanwhile)

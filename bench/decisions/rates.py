"""Rate limits: the demand of one organisation over six domains.

It is spread evenly, in one domain, or moving between domains.
"""

from __future__ import annotations

from random import Random

import attrs

from bench.decisions.deployment import DOMAINS, SEEDS
from bench.decisions.rate_limiters import EqualDivision, Escrow, OneCounter
from bench.simulation import Simulator, percentile
from chicoryhold.limits.token_bucket import TokenBucket
from chicoryhold.state.table import OrganisationLimits


@attrs.frozen(kw_only=True)
class DemandPattern:
    """How much an organisation requests, and in which domains.

    ``load`` is the ratio of requests to ``rate``. Demand stays in one domain for
    ``dwell_seconds`` and then moves to another; 0 picks a random domain per request.
    """

    name: str
    load: float
    rate: float
    burst: int
    dwell_seconds: float

    def domain_at(self, second: float, random: Random) -> str:
        if self.dwell_seconds == 0:
            return random.choice(DOMAINS)
        interval = int(second / self.dwell_seconds) if self.dwell_seconds < 1e6 else 0
        return DOMAINS[(interval * 5 + 1) % len(DOMAINS)]


DEMAND_PATTERNS = (
    DemandPattern(
        name="even over domains", load=0.9, rate=200, burst=200, dwell_seconds=0
    ),
    DemandPattern(
        name="all in one domain", load=0.9, rate=200, burst=200, dwell_seconds=1e9
    ),
    DemandPattern(
        name="jumps every second", load=0.9, rate=200, burst=200, dwell_seconds=1
    ),
    DemandPattern(
        name="burst 3, one domain", load=0.3, rate=5, burst=3, dwell_seconds=1e9
    ),
    DemandPattern(
        name="eight times the rate", load=8.0, rate=200, burst=200, dwell_seconds=1
    ),
)


def run_limits(
    limiter_class: type, pattern: DemandPattern, seed: int, seconds: float = 60.0
):
    """Return request counts, waits, the allowed number of requests and the messages.

    A request is wrongly refused if a single token bucket without network delay would
    have granted it.
    """
    simulator = Simulator()
    random = Random(seed)
    limits = OrganisationLimits(rate=pattern.rate, burst=pattern.burst)
    limiter = limiter_class(limits=limits, simulator=simulator)
    # The coordinators' buckets start empty and fill up before the first request.
    simulator.run(10.0)
    reference = TokenBucket(
        capacity=limits.burst, rate=limits.rate, now=10.0, level=limits.burst
    )
    counts = {"requests": 0, "wrongly_refused": 0, "granted": 0}
    waits: list[float] = []

    def arrive() -> None:
        started = simulator.now()
        within_limits = reference.take(started)
        counts["requests"] += 1

        def on_done(granted: bool) -> None:
            counts["granted"] += granted
            counts["wrongly_refused"] += within_limits and not granted
            waits.append(simulator.now() - started)

        limiter.take(pattern.domain_at(started - 10, random), on_done)
        simulator.call_later(random.expovariate(pattern.rate * pattern.load), arrive)

    simulator.call_later(0.0, arrive)
    simulator.run(10 + seconds)
    allowed = pattern.burst + pattern.rate * seconds
    messages = getattr(limiter, "messages", 0)
    return counts, waits, allowed, messages


def print_limits() -> None:
    print("\n### Rates over six domains, 60 s\n")
    print(
        "| demand | seed | way | refused inside the rate | granted of allowed "
        "| p99 wait ms | messages a request |"
    )
    print("|---|---|---|---|---|---|---|")
    for pattern in DEMAND_PATTERNS:
        for seed in SEEDS:
            for limiter_class in (EqualDivision, OneCounter, Escrow):
                counts, waits, allowed, messages = run_limits(
                    limiter_class, pattern, seed
                )
                print(
                    f"| {pattern.name} | {seed} | {limiter_class.__name__} "
                    f"| {counts['wrongly_refused'] / counts['requests']:.4%} "
                    f"| {counts['granted'] / allowed:.3f} "
                    f"| {percentile(waits, 0.99) * 1e3:.1f} "
                    f"| {messages / counts['requests']:.3f} |"
                )

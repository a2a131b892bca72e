"""Target choice: one domain with 16 targets of 5 slots each.

Each of its 5 hosts knows only its own requests, whereas the coordinator knows those of
all hosts.
"""

from __future__ import annotations

from random import Random

import attrs

from bench.decisions.deployment import (
    HOST_COUNT,
    MEAN_SERVICE_SECONDS,
    SEEDS,
    SLOTS_PER_TARGET,
    TARGET_COUNT,
)
from bench.decisions.load_balancers import (
    ByCoordinator,
    RoundRobin,
    SimulatedTarget,
    TwoChoices,
)
from bench.simulation import Simulator, percentile


@attrs.frozen(kw_only=True)
class Scenario:
    """The load of a target choice run, and how many targets are slow or fail.

    ``load`` is the fraction of all slots that the requests occupy on average.
    """

    name: str
    load: float
    slow_targets: int = 0
    failing_targets: int = 0


SCENARIOS = (
    Scenario(name="70% load", load=0.7),
    Scenario(name="90% load", load=0.9),
    Scenario(name="50% load, one target four times as slow", load=0.5, slow_targets=1),
    Scenario(
        name="50% load, one fails at once and says it is idle",
        load=0.5,
        failing_targets=1,
    ),
)


def run_target_choice(
    balancer_class: type, scenario: Scenario, seed: int, seconds: float = 20.0
):
    """Return the latencies of successful requests, the failures, and the peak excess.

    The excess is how many open requests one target had above its slots.
    """
    simulator = Simulator()
    random = Random(seed)
    targets = [
        SimulatedTarget(simulator=simulator, random=random) for _ in range(TARGET_COUNT)
    ]
    for target in targets[: scenario.slow_targets]:
        target.slowdown = 4.0
    for target in targets[: scenario.failing_targets]:
        target.fails = True
        # Fails after about 1 ms, so that it nearly always has free slots.
        target.slowdown = 0.05
    balancer = balancer_class(targets=targets, simulator=simulator, random=random)
    latencies: list[float] = []
    failed = 0
    rate = scenario.load * TARGET_COUNT * SLOTS_PER_TARGET / MEAN_SERVICE_SECONDS

    def arrive() -> None:
        started = simulator.now()

        def on_done(ok: bool) -> None:
            nonlocal failed
            if ok:
                latencies.append(simulator.now() - started)
            else:
                failed += 1

        balancer.send(random.randrange(HOST_COUNT), on_done)
        simulator.call_later(random.expovariate(rate), arrive)

    simulator.call_later(0.6, arrive)
    simulator.run(seconds)
    max_excess = max(
        0, max(target.peak_open_requests for target in targets) - SLOTS_PER_TARGET
    )
    return latencies, failed, max_excess


def print_target_choice() -> None:
    print("\n### Target choice: 16 targets, 5 slots, 5 hosts, 20 s\n")
    print("| case | seed | choice | p50 ms | p99 ms | failed | most above slots |")
    print("|---|---|---|---|---|---|---|")
    for scenario in SCENARIOS:
        for seed in SEEDS:
            for balancer_class in (RoundRobin, TwoChoices, ByCoordinator):
                latencies, failed, max_excess = run_target_choice(
                    balancer_class, scenario, seed
                )
                failed_fraction = failed / (failed + len(latencies))
                print(
                    f"| {scenario.name} | {seed} | {balancer_class.__name__} "
                    f"| {percentile(latencies, 0.5) * 1e3:.1f} "
                    f"| {percentile(latencies, 0.99) * 1e3:.1f} "
                    f"| {failed_fraction:.4%} | {max_excess} |"
                )

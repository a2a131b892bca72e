"""Fairness: eight organisations use one service.

One of them sends so many requests that the service has too few slots for all.
"""

from __future__ import annotations

from random import Random

from bench.decisions.deployment import (
    ADMISSION_TIMEOUT_SECONDS,
    MEAN_SERVICE_SECONDS,
    SEEDS,
    SLOTS_PER_TARGET,
    TARGET_COUNT,
)
from bench.decisions.load_balancers import ByCoordinator, SimulatedTarget
from bench.simulation import Simulator, percentile


def run_fairness(fair: bool, factor: float, seed: int, seconds: float = 20.0):
    """Return the other organisations' latencies and their lowest answered fraction.

    Organisation 0 sends ``factor`` times as much as each of the others. Unless ``fair``
    is set, all requests are sent in the name of one organisation, and so served in
    order of arrival.
    """
    simulator = Simulator()
    random = Random(seed)
    targets = [
        SimulatedTarget(simulator=simulator, random=random) for _ in range(TARGET_COUNT)
    ]
    balancer = ByCoordinator(targets=targets, simulator=simulator, random=random)
    latencies: list[float] = []
    sent = dict.fromkeys(range(8), 0)
    answered = dict.fromkeys(range(8), 0)
    max_throughput = TARGET_COUNT * SLOTS_PER_TARGET / MEAN_SERVICE_SECONDS

    def arrive(organisation: int) -> None:
        started = simulator.now()
        if started > seconds - ADMISSION_TIMEOUT_SECONDS - 1:
            # Requests still open at the end would count as unanswered.
            return
        sent[organisation] += 1

        def on_done(ok: bool) -> None:
            answered[organisation] += ok
            if ok and organisation:
                latencies.append(simulator.now() - started)

        organisation_name = str(organisation) if fair else "all"
        balancer.send_as(organisation_name, on_done)
        rate = 0.08 * max_throughput * (factor if organisation == 0 else 1.0)
        simulator.call_later(random.expovariate(rate), lambda: arrive(organisation))

    for organisation in range(8):
        simulator.call_later(0.6, lambda n=organisation: arrive(n))
    simulator.run(seconds)
    lowest_answered = min(answered[n] / sent[n] for n in range(1, 8))
    return latencies, lowest_answered


def print_fairness() -> None:
    print("\n### One organisation at eight times its part, within its rate\n")
    print("| order | seed | neighbours' p99 ms, before | with it | worst answered |")
    print("|---|---|---|---|---|")
    for seed in SEEDS:
        for fair, label in ((False, "first come"), (True, "fair queue")):
            before, _ = run_fairness(fair, 1.0, seed)
            during, lowest_answered = run_fairness(fair, 8.0, seed)
            print(
                f"| {label} | {seed} | {percentile(before, 0.99) * 1e3:.1f} "
                f"| {percentile(during, 0.99) * 1e3:.1f} | {lowest_answered:.4%} |"
            )

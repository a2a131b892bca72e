"""Compares the coordinators' decisions with simpler algorithms, in simulated time.

Run it with ``make decisions``. Sizes and network delays are those of the users'
deployment: delays are half a millisecond inside a region and 55 ms between regions.
Each printed row names its random seed.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs

from bench.simulation import Simulator, percentile
from chicoryhold.hosts.messages import (
    Admit,
    Admitted,
    Announcement,
    Release,
)
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.limits.token_bucket import TokenBucket
from chicoryhold.state.table import OrganisationLimits
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.effects import (
    AnswerBorrower,
    AnswerRequest,
    NotifyLender,
    SaveLedger,
    SendBorrowRequest,
)
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry

SEEDS = (1, 2, 3)
HOST_COUNT = 5
TARGET_COUNT = 16
SLOTS_PER_TARGET = 5
MEDIAN_SERVICE_SECONDS = 0.02
# The one-way delay between processes of a region. Only one_way_delay(), for messages
# between domains, takes it as a round trip.
INTRA_REGION_DELAY_SECONDS = 0.0005
INTER_REGION_ROUND_TRIP_SECONDS = 0.055
ADMISSION_TIMEOUT_SECONDS = 2.0
DOMAINS = ("r1a", "r1b", "r2a", "r2b", "r3a", "r3b")


# Target choice: one domain with 16 targets of 5 slots each. Each of its 5 hosts knows
# only its own requests, whereas the coordinator knows those of all hosts.


@attrs.define(kw_only=True)
class SimulatedTarget:
    """A target that runs one request per slot and queues the others in FIFO order.

    Service times are log-normal. ``peak_open_requests`` includes queued requests.
    """

    simulator: Simulator
    random: Random
    slowdown: float = 1.0
    fails: bool = False
    running: int = 0
    peak_open_requests: int = 0
    queue: list[Callable[[], None]] = attrs.field(factory=list)

    def submit(self, on_done: Callable[[bool], None]) -> None:
        """Run or queue a request; ``on_done(ok)`` is called when it ends."""

        def start() -> None:
            self.running += 1
            seconds = self.random.lognormvariate(0, 0.5) * MEDIAN_SERVICE_SECONDS
            self.simulator.call_later(seconds * self.slowdown, finish)

        def finish() -> None:
            self.running -= 1
            on_done(not self.fails)
            if self.queue:
                self.queue.pop(0)()

        open_requests = self.running + len(self.queue) + 1
        self.peak_open_requests = max(self.peak_open_requests, open_requests)
        if self.running < SLOTS_PER_TARGET:
            start()
        else:
            self.queue.append(start)


class LoadBalancer(Protocol):
    """Sends one request of a host to a target; ``on_done(ok)`` is called at its end."""

    def send(self, host: int, on_done: Callable[[bool], None]) -> None: ...


class RoundRobin:
    """Each host sends its requests to the targets in turn, from a random start."""

    def __init__(
        self, *, targets: list[SimulatedTarget], simulator: Simulator, random: Random
    ):
        self._targets = targets
        self._simulator = simulator
        self._next = [random.randrange(len(targets)) for _ in range(HOST_COUNT)]

    def send(self, host: int, on_done: Callable[[bool], None]) -> None:
        self._next[host] = (self._next[host] + 1) % len(self._targets)
        target = self._targets[self._next[host]]
        self._simulator.call_later(
            INTRA_REGION_DELAY_SECONDS, lambda: target.submit(on_done)
        )


class TwoChoices:
    """Each host picks two random targets and uses the one with fewer of its requests.

    Hosts don't know about the open requests of other hosts.
    """

    def __init__(
        self, *, targets: list[SimulatedTarget], simulator: Simulator, random: Random
    ):
        self._targets = targets
        self._simulator = simulator
        self._random = random
        self._open_requests = [[0] * len(targets) for _ in range(HOST_COUNT)]

    def send(self, host: int, on_done: Callable[[bool], None]) -> None:
        counts = self._open_requests[host]
        chosen = min(
            self._random.sample(range(len(counts)), 2), key=lambda n: counts[n]
        )
        counts[chosen] += 1

        def on_finished(ok: bool) -> None:
            counts[chosen] -= 1
            on_done(ok)

        target = self._targets[chosen]
        self._simulator.call_later(
            INTRA_REGION_DELAY_SECONDS, lambda: target.submit(on_finished)
        )


class ByCoordinator:
    """The domain's coordinator grants slots; a message to or from it takes 0.5 ms."""

    def __init__(
        self, *, targets: list[SimulatedTarget], simulator: Simulator, random: Random
    ):
        self._targets = targets
        self._simulator = simulator
        self._coordinator = create_coordinator(simulator)
        self._callbacks: dict[int, Callable[[bool], None]] = {}
        self._last_ticket = 0
        self._announce(0)

    def _announce(self, sequence: int) -> None:
        for number in range(len(self._targets)):
            announcement = Announcement(
                service="menus",
                address=str(number),
                instance=str(number),
                sequence=sequence + 1,
                slots=SLOTS_PER_TARGET,
                connections=900,
            )
            self._coordinator.announce(announcement)
        self._coordinator.tick()
        self._run_effects()
        self._simulator.call_later(0.5, lambda: self._announce(sequence + 1))

    def send(self, host: int, on_done: Callable[[bool], None]) -> None:
        self.send_as("", on_done)

    def send_as(self, organisation: str, on_done: Callable[[bool], None]) -> None:
        """Send a request of ``organisation``."""

        def request_admission() -> None:
            self._last_ticket += 1
            self._callbacks[self._last_ticket] = on_done
            request = Admit(
                organisation=organisation,
                service="menus",
                patience=ADMISSION_TIMEOUT_SECONDS,
            )
            self._coordinator.admit(self._last_ticket, request)
            self._run_effects()

        self._simulator.call_later(INTRA_REGION_DELAY_SECONDS, request_admission)

    def _run_effects(self) -> None:
        """Run the effects that the coordinator has queued."""
        for effect in self._coordinator.take_effects():
            if isinstance(effect, AnswerRequest):
                on_done = self._callbacks.pop(effect.ticket)
                if isinstance(effect.answer, Admitted):
                    self._simulator.call_later(
                        INTRA_REGION_DELAY_SECONDS,
                        self._forward(effect.answer, on_done),
                    )
                else:
                    on_done(False)

    def _forward(self, admitted: Admitted, on_done: Callable[[bool], None]):
        """Return the action that sends an admitted request to its target."""

        def send_to_target() -> None:
            sent_at = self._simulator.now()

            def on_finished(ok: bool) -> None:
                elapsed = self._simulator.now() - sent_at
                release = Release(grant=admitted.grant, ok=ok, latency=elapsed)
                self._simulator.call_later(
                    INTRA_REGION_DELAY_SECONDS, lambda: self._release(release)
                )
                on_done(ok)

            target = self._targets[int(admitted.address)]
            self._simulator.call_later(
                INTRA_REGION_DELAY_SECONDS, lambda: target.submit(on_finished)
            )

        return send_to_target

    def _release(self, release: Release) -> None:
        self._coordinator.release(release)
        self._run_effects()


UNLIMITED = OrganisationLimits(rate=1e9, burst=1_000_000)


def create_coordinator(
    simulator: Simulator, *, limits: OrganisationLimits = UNLIMITED, domain: str = "d"
) -> Coordinator:
    return Coordinator(
        epoch=1,
        limits=DomainLimits(
            domain=domain,
            domains=DOMAINS if domain in DOMAINS else (domain,),
            limits_of=lambda _: limits,
            clock=simulator,
            epoch=1,
        ),
        targets=TargetRegistry(clock=simulator),
        shifts=ShiftLimiter(clock=simulator, shifts=lambda: ()),
        weight_of=lambda _: 1.0,
        clock=simulator,
    )


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
    # The mean of lognormvariate(0, 0.5) is exp(0.5**2 / 2) = 1.1331.
    mean_service_seconds = MEDIAN_SERVICE_SECONDS * 1.1331
    rate = scenario.load * TARGET_COUNT * SLOTS_PER_TARGET / mean_service_seconds

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


# Rate limits: the demand of one organisation over six domains, spread evenly, in one
# domain, or moving between domains.


class RateLimiter(Protocol):
    """Takes one token in a domain; calls ``on_done(granted)`` at once or later."""

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None: ...


class EqualDivision:
    """Each of the six domains has a fixed sixth of the rate and of the burst.

    Domains don't lend tokens to each other.
    """

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        domain_count = len(DOMAINS)
        self._simulator = simulator
        self._buckets = {
            domain: TokenBucket(
                capacity=limits.burst / domain_count,
                rate=limits.rate / domain_count,
                now=simulator.now(),
                level=limits.burst / domain_count,
            )
            for domain in DOMAINS
        }

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        on_done(self._buckets[domain].take(self._simulator.now()))


class OneCounter:
    """One token bucket in the first domain; each request makes a round trip to it."""

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self._bucket = TokenBucket(
            capacity=limits.burst, rate=limits.rate, now=0.0, level=limits.burst
        )

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        delay = one_way_delay(domain, DOMAINS[0])

        def take_token() -> None:
            granted = self._bucket.take(self._simulator.now())
            self._simulator.call_later(delay, lambda: on_done(granted))

        self._simulator.call_later(delay, take_token)


class Escrow:
    """Each domain has a share of the limits; coordinators lend tokens to each other.

    The only target has so many slots that no request waits for one. ``messages`` counts
    the messages between the coordinators.
    """

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self.messages = 0
        self._coordinators = {
            domain: create_coordinator(simulator, limits=limits, domain=domain)
            for domain in DOMAINS
        }
        self._callbacks: dict[int, Callable[[bool], None]] = {}
        self._last_ticket = 0
        for coordinator in self._coordinators.values():
            coordinator.limits.token_bucket("o")
        self._tick(1)

    def _tick(self, sequence: int) -> None:
        for domain, coordinator in self._coordinators.items():
            announcement = Announcement(
                service="menus",
                address="t",
                instance="t",
                sequence=sequence,
                slots=1_000_000,
                connections=900,
            )
            coordinator.announce(announcement)
            coordinator.tick()
            self._run_effects(domain)
        self._simulator.call_later(0.02, lambda: self._tick(sequence + 1))

    def take(self, domain: str, on_done: Callable[[bool], None]) -> None:
        self._last_ticket += 1
        self._callbacks[self._last_ticket] = on_done
        request = Admit(
            organisation="o", service="menus", patience=ADMISSION_TIMEOUT_SECONDS
        )
        self._coordinators[domain].admit(self._last_ticket, request)
        self._run_effects(domain)

    def _run_effects(self, domain: str) -> None:
        """Run the effects that the coordinator of ``domain`` has queued."""
        for effect in self._coordinators[domain].take_effects():
            match effect:
                case AnswerRequest(ticket=ticket, answer=answer):
                    self._complete(domain, ticket, answer)
                case SendBorrowRequest():
                    self._send_borrow_requests(domain, effect)
                case NotifyLender(lender=lender, message=message):
                    self._send(domain, lender, lambda c, m=message: c.take_back(m))
                case SaveLedger(ledger=ledger):
                    version = ledger.version
                    self._simulator.call_later(
                        2 * INTRA_REGION_DELAY_SECONDS,
                        lambda d=domain, v=version: self._on_ledger_saved(d, v),
                    )
                case AnswerBorrower(ticket=ticket, answer=answer):
                    self._callbacks.pop(ticket)(answer)

    def _complete(self, domain: str, ticket: int, answer) -> None:
        on_done = self._callbacks.pop(ticket)
        granted = isinstance(answer, Admitted)
        if granted:
            release = Release(grant=answer.grant, ok=True, latency=None)
            self._coordinators[domain].release(release)
        on_done(granted)

    def _on_ledger_saved(self, domain: str, version: int) -> None:
        self._coordinators[domain].on_ledger_saved(version)
        self._run_effects(domain)

    def _send(self, source: str, destination: str, action) -> None:
        self.messages += 1

        def deliver() -> None:
            action(self._coordinators[destination])
            self._run_effects(destination)

        self._simulator.call_later(one_way_delay(source, destination), deliver)

    def _send_borrow_requests(self, domain: str, effect: SendBorrowRequest) -> None:
        for lender in DOMAINS:
            if lender != domain:
                self._send_borrow_request(domain, lender, effect)

    def _send_borrow_request(
        self, domain: str, lender: str, effect: SendBorrowRequest
    ) -> None:
        def reply_to_borrower(reply) -> None:
            self._send(
                lender,
                domain,
                lambda c: c.on_borrow_reply(effect.number, lender, reply),
            )

        def lend_to_borrower(coordinator: Coordinator) -> None:
            self._last_ticket += 1
            self._callbacks[self._last_ticket] = reply_to_borrower
            coordinator.lend(self._last_ticket, effect.request)

        self._send(domain, lender, lend_to_borrower)


def one_way_delay(source: str, destination: str) -> float:
    """Return the delay between two domains; their first two letters name the region."""
    return (
        INTRA_REGION_DELAY_SECONDS / 2
        if source[:2] == destination[:2]
        else INTER_REGION_ROUND_TRIP_SECONDS / 2
    )


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


# Fairness: eight organisations use one service, and one of them sends so many requests
# that the service has too few slots for all.


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
    max_throughput = TARGET_COUNT * SLOTS_PER_TARGET / (MEDIAN_SERVICE_SECONDS * 1.1331)

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


def main() -> None:
    """Print every table."""
    print_target_choice()
    print_limits()
    print_fairness()


if __name__ == "__main__":
    main()

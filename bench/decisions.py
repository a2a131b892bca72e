"""The decision classes at today's sizes against naive twins, under a fake clock.

Run it by ``make decisions``. Every row names its seed. Delays are the agency's: half a
millisecond inside a region, 55 ms between regions.
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
from chicoryhold.steering.coordinator import (
    AnswerBorrower,
    AnswerRequest,
    Coordinator,
    NotifyLender,
    SaveLedger,
    SendBorrowRequest,
)
from chicoryhold.steering.shifts import ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry

SEEDS = (1, 2, 3)
HOSTS = 5
TARGETS = 16
SLOTS = 5
SERVICE_SECONDS = 0.02
NEAR = 0.0005
FAR = 0.055
PATIENCE = 2.0
DOMAINS = ("r1a", "r1b", "r2a", "r2b", "r3a", "r3b")


# Target choice: one domain, 16 targets of 5 slots, hosts that each see their own part


@attrs.define(kw_only=True)
class Server:
    """A target: runs up to its slots at once and queues the rest, first come."""

    simulator: Simulator
    random: Random
    slowness: float = 1.0
    fails: bool = False
    running: int = 0
    most: int = 0
    waiting: list[Callable[[], None]] = attrs.field(factory=list)

    def submit(self, done: Callable[[bool], None]) -> None:
        def start() -> None:
            self.running += 1
            seconds = self.random.lognormvariate(0, 0.5) * SERVICE_SECONDS
            self.simulator.call_later(seconds * self.slowness, finish)

        def finish() -> None:
            self.running -= 1
            done(not self.fails)
            if self.waiting:
                self.waiting.pop(0)()

        held = self.running + len(self.waiting) + 1
        self.most = max(self.most, held)
        if self.running < SLOTS:
            start()
        else:
            self.waiting.append(start)


class Chooser(Protocol):
    """Sends one request of a host to a server; ``done(ok)`` ends it."""

    def send(self, host: int, done: Callable[[bool], None]) -> None: ...


class RoundRobin:
    """Each host takes the servers in turn."""

    def __init__(self, *, servers: list[Server], simulator: Simulator, random: Random):
        self._servers = servers
        self._simulator = simulator
        self._next = [random.randrange(len(servers)) for _ in range(HOSTS)]

    def send(self, host: int, done: Callable[[bool], None]) -> None:
        self._next[host] = (self._next[host] + 1) % len(self._servers)
        server = self._servers[self._next[host]]
        self._simulator.call_later(NEAR, lambda: server.submit(done))


class TwoChoices:
    """Each host draws two servers and takes the one it has less open on itself."""

    def __init__(self, *, servers: list[Server], simulator: Simulator, random: Random):
        self._servers = servers
        self._simulator = simulator
        self._random = random
        self._open = [[0] * len(servers) for _ in range(HOSTS)]

    def send(self, host: int, done: Callable[[bool], None]) -> None:
        counts = self._open[host]
        chosen = min(
            self._random.sample(range(len(counts)), 2), key=lambda n: counts[n]
        )
        counts[chosen] += 1

        def finished(ok: bool) -> None:
            counts[chosen] -= 1
            done(ok)

        server = self._servers[chosen]
        self._simulator.call_later(NEAR, lambda: server.submit(finished))


class ByCoordinator:
    """Slots given out by the domain's coordinator, half a millisecond away."""

    def __init__(self, *, servers: list[Server], simulator: Simulator, random: Random):
        self._servers = servers
        self._simulator = simulator
        self._coordinator = create_coordinator(simulator)
        self._waiting: dict[int, Callable[[bool], None]] = {}
        self._ticket = 0
        self._announce(0)

    def _announce(self, sequence: int) -> None:
        for number in range(len(self._servers)):
            word = Announcement(
                service="menus",
                address=str(number),
                instance=str(number),
                sequence=sequence + 1,
                slots=SLOTS,
                connections=900,
            )
            self._coordinator.announce(word)
        self._coordinator.tick()
        self._answer()
        self._simulator.call_later(0.5, lambda: self._announce(sequence + 1))

    def send(self, host: int, done: Callable[[bool], None]) -> None:
        self.send_as("", done)

    def send_as(self, organisation: str, done: Callable[[bool], None]) -> None:
        """Send a request of ``organisation``."""

        def ask() -> None:
            self._ticket += 1
            self._waiting[self._ticket] = done
            request = Admit(
                organisation=organisation, service="menus", patience=PATIENCE
            )
            self._coordinator.admit(self._ticket, request)
            self._answer()

        self._simulator.call_later(NEAR, ask)

    def _answer(self) -> None:
        for effect in self._coordinator.take():
            if isinstance(effect, AnswerRequest):
                done = self._waiting.pop(effect.ticket)
                if isinstance(effect.answer, Admitted):
                    self._simulator.call_later(NEAR, self._forward(effect.answer, done))
                else:
                    done(False)

    def _forward(self, slot: Admitted, done: Callable[[bool], None]):
        def forward() -> None:
            started = self._simulator.now()

            def finished(ok: bool) -> None:
                seconds = self._simulator.now() - started
                release = Release(grant=slot.grant, ok=ok, latency=seconds)
                self._simulator.call_later(NEAR, lambda: self._release(release))
                done(ok)

            server = self._servers[int(slot.address)]
            self._simulator.call_later(NEAR, lambda: server.submit(finished))

        return forward

    def _release(self, release: Release) -> None:
        self._coordinator.release(release)
        self._answer()


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
class Fault:
    """What is wrong in a run of target choice; ``load`` is of all slots."""

    name: str
    load: float
    slow: int = 0
    failing: int = 0


FAULTS = (
    Fault(name="70% load", load=0.7),
    Fault(name="90% load", load=0.9),
    Fault(name="50% load, one target four times as slow", load=0.5, slow=1),
    Fault(name="50% load, one fails at once and says it is idle", load=0.5, failing=1),
)


def run_choice(kind: type, fault: Fault, seed: int, seconds: float = 20.0):
    simulator = Simulator()
    random = Random(seed)
    servers = [Server(simulator=simulator, random=random) for _ in range(TARGETS)]
    for server in servers[: fault.slow]:
        server.slowness = 4.0
    for server in servers[: fault.failing]:
        server.fails = True
        server.slowness = 0.05
    chooser = kind(servers=servers, simulator=simulator, random=random)
    latencies: list[float] = []
    failed = 0
    mean = SERVICE_SECONDS * 1.1331
    rate = fault.load * TARGETS * SLOTS / mean

    def arrive() -> None:
        started = simulator.now()

        def done(ok: bool) -> None:
            nonlocal failed
            if ok:
                latencies.append(simulator.now() - started)
            else:
                failed += 1

        chooser.send(random.randrange(HOSTS), done)
        simulator.call_later(random.expovariate(rate), arrive)

    simulator.call_later(0.6, arrive)
    simulator.run(seconds)
    overfull = max(0, max(server.most for server in servers) - SLOTS)
    return latencies, failed, overfull


def show_choice() -> None:
    print("\n### Target choice: 16 targets, 5 slots, 5 hosts, 20 s\n")
    print("| case | seed | choice | p50 ms | p99 ms | failed | most above slots |")
    print("|---|---|---|---|---|---|---|")
    for fault in FAULTS:
        for seed in SEEDS:
            for kind in (RoundRobin, TwoChoices, ByCoordinator):
                latencies, failed, overfull = run_choice(kind, fault, seed)
                share = failed / (failed + len(latencies))
                print(
                    f"| {fault.name} | {seed} | {kind.__name__} "
                    f"| {percentile(latencies, 0.5) * 1e3:.1f} "
                    f"| {percentile(latencies, 0.99) * 1e3:.1f} "
                    f"| {share:.4%} | {overfull} |"
                )


# Rates: eight organisations over six domains; demand jumps between domains


class Limiter(Protocol):
    """Takes one token in a domain; ``done(granted)`` may come later."""

    def take(self, domain: str, done: Callable[[bool], None]) -> None: ...


class EqualDivision:
    """Each domain has a sixth of the rate and burst."""

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        parts = len(DOMAINS)
        self._simulator = simulator
        self._budgets = {
            domain: TokenBucket(
                capacity=limits.burst / parts,
                rate=limits.rate / parts,
                now=simulator.now(),
                level=limits.burst / parts,
            )
            for domain in DOMAINS
        }

    def take(self, domain: str, done: Callable[[bool], None]) -> None:
        done(self._budgets[domain].take(self._simulator.now()))


class OneCounter:
    """One bucket in the first domain, asked over the network each time."""

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self._budget = TokenBucket(
            capacity=limits.burst, rate=limits.rate, now=0.0, level=limits.burst
        )

    def take(self, domain: str, done: Callable[[bool], None]) -> None:
        delay = one_way(domain, DOMAINS[0])

        def count() -> None:
            granted = self._budget.take(self._simulator.now())
            self._simulator.call_later(delay, lambda: done(granted))

        self._simulator.call_later(delay, count)


class Escrow:
    """Shares with loans between the domains' coordinators, and targets with room."""

    def __init__(self, *, limits: OrganisationLimits, simulator: Simulator) -> None:
        self._simulator = simulator
        self.messages = 0
        self._coordinators = {
            domain: create_coordinator(simulator, limits=limits, domain=domain)
            for domain in DOMAINS
        }
        self._waiting: dict[int, Callable[[bool], None]] = {}
        self._ticket = 0
        for coordinator in self._coordinators.values():
            coordinator.limits.token_bucket("o")
        self._tick(1)

    def _tick(self, sequence: int) -> None:
        for domain, coordinator in self._coordinators.items():
            word = Announcement(
                service="menus",
                address="t",
                instance="t",
                sequence=sequence,
                slots=1_000_000,
                connections=900,
            )
            coordinator.announce(word)
            coordinator.tick()
            self._run(domain)
        self._simulator.call_later(0.02, lambda: self._tick(sequence + 1))

    def take(self, domain: str, done: Callable[[bool], None]) -> None:
        self._ticket += 1
        self._waiting[self._ticket] = done
        request = Admit(organisation="o", service="menus", patience=PATIENCE)
        self._coordinators[domain].admit(self._ticket, request)
        self._run(domain)

    def _run(self, domain: str) -> None:
        """Run the effects of a coordinator."""
        for effect in self._coordinators[domain].take():
            match effect:
                case AnswerRequest(ticket=ticket, answer=answer):
                    self._finish(domain, ticket, answer)
                case SendBorrowRequest():
                    self._ask_others(domain, effect)
                case NotifyLender(lender=lender, message=message):
                    self._send(domain, lender, lambda c, m=message: c.take_back(m))
                case SaveLedger(ledger=ledger):
                    version = ledger.version
                    self._simulator.call_later(
                        2 * NEAR, lambda d=domain, v=version: self._saved(d, v)
                    )
                case AnswerBorrower(ticket=ticket, answer=answer):
                    self._waiting.pop(ticket)(answer)

    def _finish(self, domain: str, ticket: int, answer) -> None:
        done = self._waiting.pop(ticket)
        granted = isinstance(answer, Admitted)
        if granted:
            release = Release(grant=answer.grant, ok=True, latency=None)
            self._coordinators[domain].release(release)
        done(granted)

    def _saved(self, domain: str, version: int) -> None:
        self._coordinators[domain].on_ledger_saved(version)
        self._run(domain)

    def _send(self, source: str, destination: str, action) -> None:
        self.messages += 1

        def arrive() -> None:
            action(self._coordinators[destination])
            self._run(destination)

        self._simulator.call_later(one_way(source, destination), arrive)

    def _ask_others(self, domain: str, effect: SendBorrowRequest) -> None:
        for lender in DOMAINS:
            if lender != domain:
                self._ask(domain, lender, effect)

    def _ask(self, domain: str, lender: str, effect: SendBorrowRequest) -> None:
        def answer(reply) -> None:
            self._send(
                lender,
                domain,
                lambda c: c.on_borrow_reply(effect.number, lender, reply),
            )

        def ask(coordinator: Coordinator) -> None:
            self._ticket += 1
            self._waiting[self._ticket] = answer
            coordinator.lend(self._ticket, effect.request)

        self._send(domain, lender, ask)


def one_way(first: str, second: str) -> float:
    return NEAR / 2 if first[:2] == second[:2] else FAR / 2


@attrs.frozen(kw_only=True)
class Demand:
    """``part`` of the rate is asked for; ``home(second)`` says in which domain."""

    name: str
    part: float
    rate: float
    burst: int
    jump: float

    def home(self, second: float, random: Random) -> str:
        if self.jump == 0:
            return random.choice(DOMAINS)
        number = int(second / self.jump) if self.jump < 1e6 else 0
        return DOMAINS[(number * 5 + 1) % len(DOMAINS)]


DEMANDS = (
    Demand(name="even over domains", part=0.9, rate=200, burst=200, jump=0),
    Demand(name="all in one domain", part=0.9, rate=200, burst=200, jump=1e9),
    Demand(name="jumps every second", part=0.9, rate=200, burst=200, jump=1),
    Demand(name="burst 3, one domain", part=0.3, rate=5, burst=3, jump=1e9),
    Demand(name="eight times the rate", part=8.0, rate=200, burst=200, jump=1),
)


def run_limits(kind: type, demand: Demand, seed: int, seconds: float = 60.0):
    simulator = Simulator()
    random = Random(seed)
    limits = OrganisationLimits(rate=demand.rate, burst=demand.burst)
    limiter = kind(limits=limits, simulator=simulator)
    simulator.run(10.0)
    ideal = TokenBucket(
        capacity=limits.burst, rate=limits.rate, now=10.0, level=limits.burst
    )
    counts = {"asked": 0, "wrong": 0, "granted": 0}
    waits: list[float] = []

    def arrive() -> None:
        started = simulator.now()
        inside = ideal.take(started)
        counts["asked"] += 1

        def done(granted: bool) -> None:
            counts["granted"] += granted
            counts["wrong"] += inside and not granted
            waits.append(simulator.now() - started)

        limiter.take(demand.home(started - 10, random), done)
        simulator.call_later(random.expovariate(demand.rate * demand.part), arrive)

    simulator.call_later(0.0, arrive)
    simulator.run(10 + seconds)
    allowed = demand.burst + demand.rate * seconds
    messages = getattr(limiter, "messages", 0)
    return counts, waits, allowed, messages


def show_limits() -> None:
    print("\n### Rates over six domains, 60 s\n")
    print(
        "| demand | seed | way | refused inside the rate | granted of allowed "
        "| p99 wait ms | messages a request |"
    )
    print("|---|---|---|---|---|---|---|")
    for demand in DEMANDS:
        for seed in SEEDS:
            for kind in (EqualDivision, OneCounter, Escrow):
                counts, waits, allowed, messages = run_limits(kind, demand, seed)
                print(
                    f"| {demand.name} | {seed} | {kind.__name__} "
                    f"| {counts['wrong'] / counts['asked']:.4%} "
                    f"| {counts['granted'] / allowed:.3f} "
                    f"| {percentile(waits, 0.99) * 1e3:.1f} "
                    f"| {messages / counts['asked']:.3f} |"
                )


# Fairness: eight organisations, one of them far above its part, one short service


def run_fairness(fair: bool, factor: float, seed: int, seconds: float = 20.0):
    """Return the neighbours' latencies and the worst organisation's answered part."""
    simulator = Simulator()
    random = Random(seed)
    servers = [Server(simulator=simulator, random=random) for _ in range(TARGETS)]
    chooser = ByCoordinator(servers=servers, simulator=simulator, random=random)
    latencies: list[float] = []
    asked = dict.fromkeys(range(8), 0)
    answered = dict.fromkeys(range(8), 0)
    total = TARGETS * SLOTS / (SERVICE_SECONDS * 1.1331)

    def arrive(number: int) -> None:
        started = simulator.now()
        if started > seconds - PATIENCE - 1:
            # What is still open at the end would count as unanswered.
            return
        asked[number] += 1

        def done(ok: bool) -> None:
            answered[number] += ok
            if ok and number:
                latencies.append(simulator.now() - started)

        name = str(number) if fair else "all"
        chooser.send_as(name, done)
        rate = 0.08 * total * (factor if number == 0 else 1.0)
        simulator.call_later(random.expovariate(rate), lambda: arrive(number))

    for number in range(8):
        simulator.call_later(0.6, lambda n=number: arrive(n))
    simulator.run(seconds)
    worst = min(answered[n] / asked[n] for n in range(1, 8))
    return latencies, worst


def show_fairness() -> None:
    print("\n### One organisation at eight times its part, within its rate\n")
    print("| order | seed | neighbours' p99 ms, before | with it | worst answered |")
    print("|---|---|---|---|---|")
    for seed in SEEDS:
        for fair, name in ((False, "first come"), (True, "fair queue")):
            before, _ = run_fairness(fair, 1.0, seed)
            during, worst = run_fairness(fair, 8.0, seed)
            print(
                f"| {name} | {seed} | {percentile(before, 0.99) * 1e3:.1f} "
                f"| {percentile(during, 0.99) * 1e3:.1f} | {worst:.4%} |"
            )


def main() -> None:
    """Print every table."""
    show_choice()
    show_limits()
    show_fairness()


if __name__ == "__main__":
    main()

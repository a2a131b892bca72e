"""Simulated targets, and ways to choose among them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import attrs

from bench.decisions.deployment import (
    ADMISSION_TIMEOUT_SECONDS,
    HOST_COUNT,
    INTRA_REGION_DELAY_SECONDS,
    MEDIAN_SERVICE_SECONDS,
    SLOTS_PER_TARGET,
    create_coordinator,
)
from bench.simulation import Simulator
from chicoryhold.hosts.messages import Admit, Admitted, Announcement, Release
from chicoryhold.steering.effects import AnswerRequest


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

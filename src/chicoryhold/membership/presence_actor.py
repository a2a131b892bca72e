"""The actor of an entry host that reports to control hosts and learns of others."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.membership.messages import (
    ControlHost,
    ControlHosts,
    EntryHost,
    EntryPresence,
)
from chicoryhold.membership.registry import by_nearness

PRESENCE_INTERVAL = 0.5  # seconds
FIRST_INTERVAL = 0.05  # seconds, while no control host answers
HEARD_RECENTLY = 1.2  # seconds
SECOND_EVERY = 2  # reports of which one also goes to a second control host
OTHERS_EVERY = 8  # reports of which one also goes to another one in turn


@attrs.frozen(kw_only=True)
class ReportNow:
    """Report at once: the host's own state has changed."""


@attrs.frozen(kw_only=True)
class _Answered:
    name: str
    answer: ControlHosts


class ControlHostList:
    """The control hosts that an entry host knows, nearest first.

    Only the presence actor changes it; any thread may read.
    """

    def __init__(
        self, *, seeds: Callable[[], tuple[str, ...]], domain: str, region: str,
        clock: Clock,
    ) -> None:  # fmt: skip
        self._seeds = seeds
        self._domain = domain
        self._region = region
        self._clock = clock
        self._hosts: tuple[ControlHost, ...] = ()
        self._heard: dict[str, float] = {}
        self._entry_hosts = 0

    @property
    def entry_hosts(self) -> int:
        """How many entry hosts there are, as last heard; 0 before that."""
        return self._entry_hosts

    @property
    def names(self) -> tuple[str, ...]:
        """Names on the bus: known hosts by nearness, then the seeds."""
        known = tuple(host.name for host in self._hosts)
        return known + tuple(seed for seed in self._seeds() if seed not in known)

    @property
    def reachable(self) -> tuple[str, ...]:
        """The names that answered lately, nearest first."""
        oldest = self._clock.now() - HEARD_RECENTLY
        return tuple(
            name
            for name in self.names
            if self._heard.get(name, float("-inf")) >= oldest
        )

    @property
    def names_live_first(self) -> tuple[str, ...]:
        """The names that answered lately first, nearest first; then the others."""
        live = self.reachable
        return live + tuple(name for name in self.names if name not in live)

    def domain_of(self, name: str) -> str:
        return next((host.domain for host in self._hosts if host.name == name), "")

    def hear(self, name: str, answer: ControlHosts) -> bool:
        """Take an answer; returns whether the list of hosts has changed."""
        self._heard[name] = self._clock.now()
        self._entry_hosts = answer.entry_hosts
        merged = {host.name: host for host in self._hosts}
        merged.update({host.name: host for host in answer.hosts})
        sorted_hosts = by_nearness(
            merged.values(), domain=self._domain, region=self._region
        )
        changed = sorted_hosts != self._hosts
        self._hosts = sorted_hosts
        return changed


class PresenceActor(CriticalActor):
    """Reports every half second to the nearest control host that answers.

    ``reached`` is called when one answers after none did for a while.
    """

    def __init__(
        self, *, controls: ControlHostList, bus: Bus, clock: Clock,
        describe: Callable[[], EntryHost],
        on_reachable: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        super().__init__()
        self._on_reachable = on_reachable
        self._controls = controls
        self._bus = bus
        self._clock = clock
        self._describe = describe
        self._due = 0.0
        self._asked: list[Future] = []
        self._turn = 0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                if self._clock.now() >= self._due:
                    self._report()
            case ReportNow():
                self._report()
            case _Answered():
                was_alone = not self._controls.reachable
                if self._controls.hear(message.name, message.answer):
                    logger.bind(hosts=list(self._controls.names)).info(
                        "presence: the control hosts changed."
                    )
                if was_alone:
                    self._on_reachable()

    def _report(self) -> None:
        known = bool(self._controls.reachable)
        pause = PRESENCE_INTERVAL if known else FIRST_INTERVAL
        self._due = self._clock.now() + pause
        for future in self._asked:
            self._bus.forget(future)
        presence = EntryPresence(host=self._describe())
        self._asked = [self._ask(name, presence) for name in self._chosen()]

    def _chosen(self) -> tuple[str, ...]:
        names = self._controls.names_live_first
        self._turn += 1
        if not self._controls.reachable:
            return names
        chosen = list(names[:1])
        if self._turn % SECOND_EVERY == 0:
            chosen += names[1:2]
        if self._turn % OTHERS_EVERY == 0:
            # Finds hosts that came back, or that this one never heard.
            chosen.append(names[self._turn // OTHERS_EVERY % len(names)])
        return tuple(dict.fromkeys(chosen))

    def _ask(self, name: str, presence: EntryPresence) -> Future:
        future = self._bus.ask(name, presence)

        def deliver(done: Future) -> None:
            answer = done.result()
            if isinstance(answer, ControlHosts):
                self.actor_ref.tell(_Answered(name=name, answer=answer))

        future.add_done_callback(deliver)
        return future

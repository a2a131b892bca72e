"""The actor that sends an entry host's heartbeats to its domain replicas."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.clock import Clock
from chicoryhold.hosts.actors import CriticalActor, Tick
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.domain_view import (
    HELLO_INTERVAL_SECONDS,
    HELLO_TIMEOUT_SECONDS,
    DomainView,
)
from chicoryhold.hosts.messages import HeldSlots, Hello, HelloReply, KnownLimit
from chicoryhold.hosts.request_rounds import RequestRounds


@attrs.frozen(kw_only=True)
class _ReplyReceived:
    replica: str
    reply: HelloReply
    sent_at: float


class HeartbeatActor(CriticalActor):
    """Owns the domain view.

    ``leaving``, ``held`` and ``limits`` return the values of these heartbeat fields.
    """

    def __init__(
        self, *, view: DomainView, bus: Bus, clock: Clock,
        leaving: Callable[[], bool], held: Callable[[], tuple[HeldSlots, ...]],
        limits: Callable[[], tuple[KnownLimit, ...]] = lambda: (),
    ) -> None:  # fmt: skip
        super().__init__()
        self._view = view
        self._name = bus.name
        self._rounds = RequestRounds(
            bus=bus, clock=clock, open_seconds=HELLO_TIMEOUT_SECONDS
        )
        self._clock = clock
        self._leaving = leaving
        self._held = held
        self._limits = limits
        self._next_due = 0.0

    def on_receive(self, message: object) -> None:
        match message:
            case Tick():
                self._tick()
            case _ReplyReceived():
                self._view.on_reply(
                    message.replica, message.reply, sent_at=message.sent_at
                )

    def _tick(self) -> None:
        now = self._clock.now()
        if now < self._next_due:
            return
        self._next_due = now + HELLO_INTERVAL_SECONDS
        hello = Hello(
            host=self._name,
            leaving=self._leaving(),
            held=self._held(),
            limits=self._limits(),
        )
        self._rounds.start()
        for replica in self._view.replicas:
            self._send_hello(replica, hello)

    def _send_hello(self, replica: str, hello: Hello) -> None:
        sent_at = self._clock.now()
        self._rounds.ask(
            replica,
            attrs.evolve(hello, known=self._view.known_digest(replica)),
            actor=self.actor_ref,
            kinds=HelloReply,
            message=lambda reply: _ReplyReceived(
                replica=replica, reply=reply, sent_at=sent_at
            ),
        )

"""Heartbeats of an entry host to the replicas of its failure domain."""

from __future__ import annotations

import queue
from concurrent.futures import Future

from chicoryhold.hosts.actors import Tick
from chicoryhold.hosts.domain_view import HELLO_INTERVAL_SECONDS, DomainView
from chicoryhold.hosts.heartbeat_actor import HeartbeatActor
from chicoryhold.hosts.messages import Hello, HelloReply
from tests.conftest import FakeClock

REPLICAS = ("a", "b", "c")


class FakeBus:
    """Keeps the requests that weren't given up."""

    name = "own"

    def __init__(self) -> None:
        self.open: list[Future] = []

    def ask(self, peer: str, message: Hello) -> Future:
        future: Future = Future()
        self.open.append(future)
        return future

    def forget(self, future: Future) -> None:
        self.open.remove(future)


def a_reply(*, hosts: tuple[str, ...] = ("own",)) -> HelloReply:
    return HelloReply(
        control_age=0.1, generation="g", coordinator="a", epoch=1, digest="d",
        hosts=hosts,
    )  # fmt: skip


def test_a_domain_whose_replicas_reply_after_the_next_heartbeat_is_not_lost():
    clock = FakeClock()
    bus = FakeBus()
    view = DomainView(replicas=REPLICAS, clock=clock)
    actor = HeartbeatActor(
        view=view, bus=bus, clock=clock, leaving=lambda: False, held=lambda: ()
    )
    actor.on_receive(Tick())
    first = list(bus.open)
    for _ in range(3):
        clock.advance(HELLO_INTERVAL_SECONDS)
        actor.on_receive(Tick())
    for future in set(first) & set(bus.open):
        future.set_result(a_reply())
    while True:
        try:
            actor.on_receive(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            break
    assert view.has_quorum


def test_a_reply_that_a_later_one_has_overtaken_changes_nothing():
    clock = FakeClock()
    view = DomainView(replicas=REPLICAS, clock=clock)
    sent_at = clock.now()
    view.on_reply("a", a_reply(hosts=("own", "new")), sent_at=sent_at + 0.5)
    view.on_reply("a", a_reply(hosts=("own",)), sent_at=sent_at)
    assert view.hosts == {"own", "new"}

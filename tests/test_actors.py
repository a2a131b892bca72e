"""What passes messages, replies and ticks to actors."""

from __future__ import annotations

import logging
import os
import queue
from collections.abc import Iterator
from concurrent.futures import Future

import attrs
import pykka
import pytest
from loguru import logger

from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FollowerActor
from chicoryhold.control.messages import FetchChanges, JoinRequest
from chicoryhold.hosts.actors import Tick, forward_to, running_actor, tell_reply
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.hosts.heartbeat_actor import HeartbeatActor
from chicoryhold.hosts.messages import HelloReply
from tests.conftest import FakeClock

EXIT_TIMEOUT_SECONDS = 5.0


@attrs.define(kw_only=True)
class WrongReplyBus:
    """A bus on which every peer replies at once with a message of another kind."""

    name: str = "own"
    asked: list[str] = attrs.field(factory=list)

    def ask(self, peer: str, message: object) -> Future:
        self.asked.append(peer)
        future: Future = Future()
        future.set_result(JoinRequest(identity="x"))
        return future

    def forget(self, future: Future) -> None:
        return


class RecordingActor(pykka.ThreadingActor):
    """An actor that isn't started, so its messages stay in its inbox."""


@pytest.fixture
def log() -> Iterator[list[str]]:
    """Yield the log lines, each with its level, that are written during the test."""
    lines: list[str] = []
    sink = logger.add(lines.append, format="{level} {message}", level="DEBUG")
    yield lines
    logger.remove(sink)


def inbox(actor: pykka.ThreadingActor) -> list[object]:
    messages = []
    while True:
        try:
            messages.append(actor.actor_inbox.get_nowait().message)
        except queue.Empty:
            return messages


def test_a_reply_is_told_to_its_actor():
    actor = RecordingActor()
    future: Future = Future()
    tell_reply(future, actor.actor_ref, kinds=JoinRequest, message=lambda r: r.identity)
    future.set_result(JoinRequest(identity="x"))
    assert inbox(actor) == ["x"]


def test_a_reply_of_another_kind_is_dropped(log):
    actor = RecordingActor()
    future: Future = Future()
    tell_reply(future, actor.actor_ref, kinds=HelloReply, message=lambda reply: reply)
    future.set_result(JoinRequest(identity="x"))
    assert inbox(actor) == []
    assert [line for line in log if "JoinRequest" in line and "WARNING" in line]


def test_a_message_or_reply_to_a_stopped_actor_is_dropped_quietly(log, caplog):
    # A process stops its actors before its bus.
    actor = RecordingActor()
    handler = forward_to(actor.actor_ref)
    future: Future = Future()
    tell_reply(future, actor.actor_ref, kinds=JoinRequest, message=lambda reply: reply)
    actor.actor_ref.actor_stopped.set()
    with caplog.at_level(logging.WARNING):
        future.set_result(JoinRequest(identity="x"))
        reply = handler("peer", FetchChanges(after=0))
    assert not reply.done()
    assert caplog.records == []
    assert len([line for line in log if line.startswith("DEBUG actor:")]) == 2


def test_a_heartbeat_reply_of_another_kind_does_not_end_the_actor():
    clock = FakeClock()
    actor = HeartbeatActor(
        view=DomainView(replicas=("a",), clock=clock),
        bus=WrongReplyBus(),
        clock=clock,
        leaving=lambda: False,
        held=lambda: (),
    )
    actor.on_receive(Tick())
    for message in inbox(actor):
        actor.on_receive(message)


def test_a_fetch_reply_of_another_kind_is_not_followed_by_another_fetch_at_once():
    # Guards against a host that fetches in a loop from a source of another version.
    bus = WrongReplyBus()
    clock = FakeClock()
    actor = FollowerActor(
        follower=Follower(clock=clock),
        sources=lambda: ("source",),
        bus=bus,
        clock=clock,
        domain="d",
    )
    actor.on_receive(Tick())
    for message in inbox(actor):
        actor.on_receive(message)
    assert bus.asked == ["source"]


def test_a_ticker_that_fails_ends_the_process(monkeypatch):
    exit_codes: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_codes.append)
    actor = RecordingActor()
    actor.actor_ref.actor_stopped.set()
    with running_actor(actor.actor_ref, interval=EXIT_TIMEOUT_SECONDS):
        pass
    assert exit_codes == [70]

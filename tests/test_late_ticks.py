"""A replica that didn't run for a while, and what waits behind its next tick."""

from __future__ import annotations

import pytest

from chicoryhold.consensus.effects import Send
from chicoryhold.consensus.messages import AppendReply
from chicoryhold.consensus.replica import Replica, Role
from tests.fakes import Group

VOTERS = ("c1.founder", "c2.founder", "c3.founder")
TICK_SECONDS = 0.05
PAUSE_SECONDS = 3.0


class PausedReplica:
    """One replica of a group is paused; the network keeps what is sent to it."""

    def __init__(self, *, leads: bool) -> None:
        self.group = Group(seed=1, voters=VOTERS)
        leader = self.group.wait_for_leader()
        self.group.run(1.0)
        follower = next(name for name in VOTERS if name != leader)
        self.name = leader if leads else follower
        self.term = self.replica.term
        self.sent: list[object] = []

    @property
    def replica(self) -> Replica:
        return self.group.replicas[self.name]

    def pause(self) -> list[object]:
        """Return what the others send to it, oldest first, as if it led or followed."""
        if self.replica.role is Role.LEADER:
            return self._replies_while_it_pauses()
        return self._heartbeats_while_it_pauses()

    def tick(self) -> None:
        self.group.clock.advance(TICK_SECONDS)
        self.replica.tick()
        self._take_effects()

    def receive(self, message: object) -> None:
        self.replica.receive(message)
        self._take_effects()

    def _take_effects(self) -> None:
        while effects := self.replica.take_effects():
            self.sent += [e.message for e in effects if isinstance(e, Send)]

    def _heartbeats_while_it_pauses(self) -> list[object]:
        leader = self.group.replicas[self.group.leader()]
        waiting = []
        for _ in range(int(PAUSE_SECONDS / TICK_SECONDS)):
            self.group.clock.advance(TICK_SECONDS)
            leader.tick()
            waiting += [
                effect.message
                for effect in leader.take_effects()
                if isinstance(effect, Send) and effect.to == self.name
            ]
            for name in VOTERS:
                if name not in (self.name, leader.identity):
                    self._reply(leader, name)
        return waiting

    def _reply(self, leader: Replica, follower: str) -> None:
        leader.receive(
            AppendReply(
                term=leader.term,
                follower=follower,
                accepted=True,
                match=leader.log.last_index,
                round=leader._leadership._progress.round,
                sent_at=self.group.clock.now(),
            )
        )

    def _replies_while_it_pauses(self) -> list[object]:
        """The replies to its last broadcast reach it after the pause only."""
        requests = []
        while not requests:
            self.group.clock.advance(TICK_SECONDS)
            self.replica.tick()
            requests = [
                (effect.to, effect.message)
                for effect in self.replica.take_effects()
                if isinstance(effect, Send)
            ]
        self.group.clock.advance(PAUSE_SECONDS / 2)
        return [
            AppendReply(
                term=request.term,
                follower=to,
                accepted=True,
                match=request.previous_index,
                round=request.round,
                sent_at=self.group.clock.now(),
            )
            for to, request in requests
        ]


def test_a_follower_does_not_campaign_before_it_has_read_what_its_leader_sent():
    """Guards against CONFIG: a starved replica campaigned though its leader sent."""
    paused = PausedReplica(leads=False)
    waiting = paused.pause()
    paused.sent.clear()
    paused.tick()
    for message in waiting:
        paused.receive(message)
    for _ in range(3):
        paused.tick()
    assert paused.replica.role is Role.FOLLOWER
    assert paused.replica.leader is not None
    assert {type(message) for message in paused.sent} == {AppendReply}


def test_a_follower_whose_leader_sent_nothing_campaigns_at_the_next_tick():
    paused = PausedReplica(leads=False)
    paused.pause()
    paused.tick()
    assert paused.replica.role is Role.FOLLOWER
    paused.tick()
    assert paused.replica.role is Role.CANDIDATE


@pytest.mark.parametrize("interval", [0.06, 0.3, 1.0])
def test_a_slow_replica_campaigns_too(interval):
    paused = PausedReplica(leads=False)
    for _ in range(int(3.0 / interval) + 2):
        paused.group.clock.advance(interval)
        paused.replica.tick()
    assert paused.replica.role is Role.CANDIDATE


def test_a_leader_does_not_step_down_before_it_has_read_the_replies():
    paused = PausedReplica(leads=True)
    waiting = paused.pause()
    paused.tick()
    assert paused.replica.role is Role.LEADER
    for message in waiting:
        paused.receive(message)
    assert paused.replica.role is Role.LEADER
    assert paused.replica.term == paused.term


def test_a_leader_without_replies_steps_down_at_the_next_tick():
    paused = PausedReplica(leads=True)
    paused.pause()
    paused.tick()
    paused.tick()
    assert paused.replica.role is Role.FOLLOWER

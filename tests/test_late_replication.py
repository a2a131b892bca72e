"""What control hosts do with messages of a leader that they handle late."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given, settings, strategies as st

from chicoryhold.clock import Clock
from chicoryhold.consensus.effects import Apply, Send
from chicoryhold.consensus.messages import AppendRequest, Members
from chicoryhold.consensus.replica import Replica
from tests.fakes import Group

VOTERS = ("c1.founder", "c2.founder", "c3.founder")
SETTLED_SECONDS = 3.0


class PausingGroup(Group):
    """What is sent to the replicas in ``paused`` waits; they do nothing meanwhile."""

    def __init__(self, *, seed: int) -> None:
        super().__init__(seed=seed, voters=VOTERS)
        self.paused: set[str] = set()
        self.waiting: list[Send] = []

    def run(self, seconds: float) -> None:
        replicas = self.replicas
        running = {name: replicas[name] for name in replicas if name not in self.paused}
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)
            for name, replica in running.items():
                replica.tick()
                self.run_effects(name)
            self.deliver()

    def resume(self, name: str) -> list[Send]:
        """End a pause; return what waits for the replica, oldest first."""
        self.paused.discard(name)
        late = [sent for sent in self.waiting if sent.to == name]
        self.waiting = [sent for sent in self.waiting if sent.to != name]
        return late

    def age(self, name: str) -> float:
        return self.clock.now() - self.replicas[name].copy_confirmed_at

    def _deliver_one(self, send: Send) -> None:
        if send.to in self.paused:
            self.waiting.append(send)
        else:
            super()._deliver_one(send)


def a_follower(group: Group) -> str:
    leader = group.wait_for_leader()
    group.run(SETTLED_SECONDS)
    return next(name for name in VOTERS if name != leader)


def test_a_copy_is_as_old_as_the_leaders_message_that_confirms_it_however_late():
    """Guards against CONFIG: a paused control host passed its old copy off as new."""
    group = PausingGroup(seed=1)
    follower = a_follower(group)
    group.paused = {follower}
    group.run(0.5)
    group.propose(group.leader(), b"change")
    group.run(3.0)
    first, *_ = group.resume(follower)
    group.replicas[follower].receive(first.message)
    assert b"change" not in [entry.command for entry in group.applied[follower]]
    assert group.age(follower) >= 3.0


def test_a_follower_that_hears_its_leader_in_time_has_a_recent_copy():
    group = PausingGroup(seed=1)
    follower = a_follower(group)
    for _ in range(100):
        group.run(0.05)
        assert group.age(follower) <= 4 * group.timing.heartbeat


@settings(max_examples=200)
@given(st.integers(0, 2**32), st.sampled_from([0, 0.5, 0.9]))
def test_a_copy_lacks_nothing_that_was_accepted_before_it_was_confirmed(seed, delays):
    group = PausingGroup(seed=seed)
    accepted: list[tuple[float, bytes]] = []
    group.delay_probability = delays
    for number in range(60):
        if group.random.random() < 0.1:
            group.paused = set(group.random.sample(VOTERS, group.random.randint(0, 1)))
            for name in set(VOTERS) - group.paused:
                for late in group.resume(name):
                    group._deliver_one(late)
                    check_copies(group, accepted)
        group.run(0.1)
        leader = group.leader()
        if leader and leader not in group.paused:
            command = f"change {number}".encode()
            group.propose(leader, command)
            group.run(0.1)
            if command in [entry.command for entry in group.applied[leader]]:
                accepted.append((group.clock.now(), command))
        check_copies(group, accepted)


def check_copies(group: Group, accepted: list[tuple[float, bytes]]) -> None:
    for name, replica in group.replicas.items():
        applied = {entry.command for entry in group.applied[name]}
        missing = [at for at, command in accepted if command not in applied]
        assert replica.copy_confirmed_at <= min(missing, default=float("inf"))


@pytest.mark.parametrize("elapsed", [0.0, 2.0])
def test_a_message_that_tells_of_no_reply_of_the_follower_confirms_nothing(elapsed):
    group = PausingGroup(seed=1)
    follower = a_follower(group)
    sent = record_appends(group)
    group.run(1.0)
    group.paused = {follower}
    group.run(elapsed)
    confirmed_at = group.replicas[follower].copy_confirmed_at
    fields = attrs.asdict(sent[-1], recurse=False) | {"confirmed_age": 0.0}
    del fields["reply_sent_at"]
    group.replicas[follower].receive(AppendRequest(**fields))
    assert group.replicas[follower].copy_confirmed_at == confirmed_at


def record_appends(group: Group) -> list[AppendRequest]:
    sent: list[AppendRequest] = []
    deliver_one = group._deliver_one

    def record(send: Send) -> None:
        if isinstance(send.message, AppendRequest):
            sent.append(send.message)
        deliver_one(send)

    group._deliver_one = record
    return sent


def restarted_replicas(group: Group, changes: int) -> None:
    """Restart all replicas with that many committed changes, none of them applied."""
    leader = group.wait_for_leader()
    for number in range(changes):
        group.propose(leader, f"change {number}".encode())
        group.run(0.1)
    for name in VOTERS:
        group.crash(name)
        group.start(name, founders=Members(voters=VOTERS))


def test_restarted_control_hosts_reply_and_lead_before_they_apply_their_logs():
    """Guards against CONFIG: no heartbeat was answered while a log was applied."""
    group = PausingGroup(seed=1)
    restarted_replicas(group, changes=20)
    kinds: dict[str, list[type]] = {name: [] for name in VOTERS}
    run_effect = group._run_effect

    def record(name: str, effect: object) -> None:
        kinds[name].append(type(effect))
        run_effect(name, effect)

    group._run_effect = record
    for name in VOTERS:
        watch_handling(group.replicas[name], kinds[name])
    group.wait_for_leader()
    group.run(1.0)
    assert all(kinds[name].count(Apply) > 20 for name in VOTERS)
    for name in VOTERS:
        assert_sent_before_applied(kinds[name])


def watch_handling(replica: Replica, kinds: list[type]) -> None:
    """Mark in ``kinds`` where the effects of each message and each tick begin."""
    receive, tick = replica.receive, replica.tick

    def marked_receive(message: object) -> None:
        kinds.append(type(None))
        receive(message)

    def marked_tick() -> None:
        kinds.append(type(None))
        tick()

    replica.receive = marked_receive
    replica.tick = marked_tick


def assert_sent_before_applied(kinds: list[type]) -> None:
    handled: list[list[type]] = [[]]
    for kind in kinds:
        if kind is type(None):
            handled.append([])
        else:
            handled[-1].append(kind)
    for effects in handled:
        if Apply in effects:
            assert Send not in effects[effects.index(Apply) :]


def test_a_control_host_whose_machine_was_restarted_has_a_recent_copy_again():
    """Guards against CONFIG: its copy stayed unconfirmed while that leader led."""
    group = PausingGroup(seed=1)
    follower = a_follower(group)
    term = group.replicas[group.leader()].term
    group.crash(follower)
    clock_of_network, group.clock = group.clock, ShiftedClock(group.clock, -90.0)
    group.start(follower, founders=Members(voters=VOTERS))
    restarted_clock, group.clock = group.clock, clock_of_network
    group.run(1.0)
    replica = group.replicas[follower]
    assert replica.term == term
    age = restarted_clock.now() - replica.copy_confirmed_at
    assert age <= 4 * group.timing.heartbeat


@attrs.frozen
class ShiftedClock:
    """Another clock of the same rate."""

    _clock: Clock
    _offset: float

    def now(self) -> float:
        return self._clock.now() + self._offset

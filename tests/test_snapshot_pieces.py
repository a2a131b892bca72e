"""A snapshot on its way to a replica that lacks what its leader has discarded."""

from __future__ import annotations

from unittest import mock

import attrs
import pytest

from chicoryhold.consensus.effects import SaveSnapshot
from chicoryhold.consensus.messages import AppendReply, SnapshotRequest
from chicoryhold.consensus.replica import Role
from tests.fakes import Group
from tests.linked_group import LinkedGroup
from tests.test_bulk_replication import SMALL_WINDOWS, restore
from tests.test_consensus import VOTERS as MODEL_VOTERS, _Model, run_random_step

VOTERS = ("c1.founder", "c2.founder", "c3.founder")
SLOW_BYTES_PER_SECOND = 400_000.0
FAST_BYTES_PER_SECOND = 50_000_000.0
SNAPSHOT_BYTES = 4_000_000
LARGEST_MESSAGE_BYTES = 1_100_000


def state_at(index: int, *, size: int = SNAPSHOT_BYTES) -> bytes:
    """Return a state whose every part differs from those at other offsets."""
    words = (f"{index}:{offset} ".encode() for offset in range(size))
    data = bytearray()
    while len(data) < size:
        data += next(words)
    return bytes(data[:size])


def compact(group: Group, name: str, *, size: int = SNAPSHOT_BYTES) -> None:
    replica = group.replicas[name]
    index = replica.commit_index
    if index >= replica.log.first_index:
        snapshot = replica.compact(index=index, data=state_at(index, size=size))
        group.disks[name].log.compact(snapshot)


class Trial:
    """A leader whose log was compacted while one replica, ``behind``, was cut off."""

    def __init__(
        self, *, bytes_per_second: float, size: int = SNAPSHOT_BYTES, changes: int = 5
    ) -> None:
        self.group = LinkedGroup(
            seed=1, voters=VOTERS, bytes_per_second=bytes_per_second
        )
        self.size = size
        self.leader = self.group.wait_for_leader()
        self.group.run(1.0)
        self.behind = next(name for name in VOTERS if name != self.leader)
        self.group.partitioned = {self.behind}
        self.change(changes)
        compact(self.group, self.leader, size=size)
        self.group.run(1.0)
        self.group.sent_bytes = 0
        self.group.largest_message = 0

    @property
    def term(self) -> int:
        return self.group.replicas[self.leader].term

    @property
    def has_caught_up(self) -> bool:
        replicas = self.group.replicas
        return replicas[self.behind].commit_index == replicas[self.leader].commit_index

    @property
    def unheard_seconds(self) -> float:
        return self.group.replicas[self.behind].unheard_seconds

    def change(self, count: int) -> None:
        for number in range(count):
            self.group.propose(self.leader, bytes([number]))
            self.group.run(0.2)

    def connect(self) -> None:
        self.group.partitioned = set()

    def check_state(self) -> None:
        snapshot = self.group.disks[self.behind].log.snapshot
        assert snapshot.data == state_at(snapshot.index, size=self.size)


def test_a_replica_hears_its_leader_while_it_gets_a_long_snapshot():
    """Guards against CONFIG: heartbeats waited 10 s behind a whole snapshot."""
    trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND)
    term = trial.term
    trial.connect()
    trial.group.run(0.5)
    longest = 0.0
    for _ in range(400):
        trial.group.run(0.05)
        longest = max(longest, trial.unheard_seconds)
        if trial.has_caught_up:
            break
    assert trial.has_caught_up
    assert longest < trial.group.timing.election
    assert trial.term == term
    trial.check_state()


def test_no_message_is_as_large_as_a_long_snapshot():
    """Guards against CONFIG: what one message held grew with the state."""
    trial = Trial(bytes_per_second=FAST_BYTES_PER_SECOND)
    trial.connect()
    trial.group.run(3.0)
    assert trial.has_caught_up
    assert trial.group.largest_message <= LARGEST_MESSAGE_BYTES
    trial.check_state()


def test_pieces_that_were_lost_on_the_way_are_sent_again():
    trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND, size=800_000)
    trial.connect()
    for _ in range(8):
        trial.group.run(0.5)
        trial.group.reset = {trial.behind}
    trial.group.run(5.0)
    assert trial.has_caught_up
    trial.check_state()


@pytest.mark.parametrize("cut_seconds", [1.0, 6.0])
def test_a_snapshot_that_was_broken_off_goes_on_where_it_stopped(cut_seconds):
    trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND, size=1_600_000)
    trial.connect()
    trial.group.run(3.0)
    trial.group.partitioned = {trial.behind}
    trial.group.run(cut_seconds)
    trial.connect()
    trial.group.run(6.0)
    assert trial.has_caught_up
    assert trial.group.sent_bytes <= 1.3 * trial.size
    trial.check_state()


def test_little_is_sent_to_a_replica_that_does_not_reply():
    """Guards against CONFIG: a frozen replica's queue grew by each snapshot."""
    trial = Trial(bytes_per_second=FAST_BYTES_PER_SECOND)
    trial.connect()
    trial.group.run(0.3)
    trial.group.inbound_blocked = {trial.behind}
    trial.group.sent_bytes = 0
    for _ in range(10):
        trial.change(3)
        compact(trial.group, trial.leader, size=trial.size)
    assert trial.group.sent_bytes <= 0.6 * trial.size
    trial.group.inbound_blocked = set()
    trial.group.run(4.0)
    assert trial.has_caught_up
    trial.check_state()


def test_a_replica_catches_up_while_its_leader_takes_newer_snapshots():
    trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND, size=800_000)
    trial.connect()
    for _ in range(4):
        trial.change(15)
        compact(trial.group, trial.leader, size=trial.size)
    trial.group.run(4.0)
    assert trial.has_caught_up
    trial.check_state()


def test_a_new_leader_begins_its_own_snapshot():
    """Two leaders' snapshots of one index may differ: their pieces don't mix."""
    trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND, size=1_600_000)
    group = trial.group
    other = next(n for n in VOTERS if n not in (trial.leader, trial.behind))
    index = group.replicas[other].commit_index
    own = group.replicas[other].compact(index=index, data=bytes(trial.size))
    group.disks[other].log.compact(own)
    trial.connect()
    group.run(3.0)
    group.partitioned = {trial.leader}
    for _ in range(400):
        group.run(0.05)
        if group.disks[trial.behind].log.snapshot.index > 0:
            break
    assert group.replicas[other].role is Role.LEADER
    assert group.disks[trial.behind].log.snapshot == own


class GroupWithOlderBuild(LinkedGroup):
    """``older`` doesn't know pieces, nor does it say that it would."""

    older = ""

    def _deliver_one(self, send) -> None:
        message = send.message
        if send.to == self.older and "Piece" in type(message).__name__:
            return
        if isinstance(message, AppendReply) and message.follower == self.older:
            message = attrs.evolve(message, takes_pieces=False)
        super()._deliver_one(attrs.evolve(send, message=message))


@pytest.mark.parametrize("is_older_from", [0.0, 2.0])
def test_a_replica_of_an_older_build_gets_its_snapshot_whole(is_older_from):
    with mock.patch("tests.test_snapshot_pieces.LinkedGroup", GroupWithOlderBuild):
        trial = Trial(bytes_per_second=SLOW_BYTES_PER_SECOND, size=1_600_000)
    trial.connect()
    trial.group.run(is_older_from)
    trial.group.older = trial.behind
    trial.group.run(12.0)
    assert trial.has_caught_up
    trial.check_state()


def test_a_leader_of_an_older_build_sends_a_snapshot_whole():
    trial = Trial(bytes_per_second=FAST_BYTES_PER_SECOND)
    leader = trial.group.replicas[trial.leader]
    request = SnapshotRequest(
        term=leader.term,
        leader=trial.leader,
        snapshot=leader.log.snapshot,
        round=1,
    )
    trial.group.replicas[trial.behind].receive(request)
    trial.group.run_effects(trial.behind)
    trial.check_state()


class CheckedGroup(Group):
    """Checks each snapshot that a replica has received."""

    received = 0

    def _run_effect(self, name: str, effect: object) -> None:
        if isinstance(effect, SaveSnapshot):
            snapshot = effect.snapshot
            assert snapshot.data == state_at(snapshot.index, size=len(snapshot.data))
            self.received += 1
        super()._run_effect(name, effect)


@pytest.mark.parametrize("loss_probability", [0, 0.2])
@pytest.mark.parametrize("seed", range(30))
def test_pieces_make_up_the_snapshot_in_every_order_of_events(seed, loss_probability):
    with mock.patch.multiple("chicoryhold.consensus.in_flight", **SMALL_WINDOWS):
        group = CheckedGroup(seed=seed, voters=MODEL_VOTERS)
        model = _Model(group)
        group.loss_probability = loss_probability
        group.compacted = set()
        for _ in range(150):
            run_random_step(group, model)
            name = group.random.choice(MODEL_VOTERS)
            if name in group.replicas and group.random.random() < 0.1:
                note_covered(group, name)
                compact(group, name, size=200)
            model.check_order()
        restore(group)
        group.wait_for_leader()
        group.run(10.0)
        model.record_acknowledged()
        model.check()
        assert len({each.commit_index for each in group.replicas.values()}) == 1


def note_covered(group: CheckedGroup, name: str) -> None:
    """Note the commands that a compaction of ``name`` discards."""
    replica = group.replicas[name]
    first = replica.log.first_index
    covered = replica.log.slice(first, limit=replica.commit_index - first + 1)
    group.compacted |= {entry.command for entry in covered}

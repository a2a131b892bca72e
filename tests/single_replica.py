"""A control replica without followers, whose actor runs in the thread of the test."""

from __future__ import annotations

from random import Random

import attrs

from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Members, Snapshot, Vote
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.plane import ControlPlane
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.hosts.actors import Tick
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock

IDENTITY = "a.founder"


class NoStorage:
    """Storage whose every write succeeds without doing anything."""

    log_bytes = 0

    def save_vote(self, vote: object) -> None:
        return

    def append(self, entries: object) -> None:
        return


class NoBus:
    """A bus without peers: what is sent is lost."""

    name = "a"

    def tell(self, peer: str, message: object) -> None:
        return


@attrs.frozen(kw_only=True)
class SingleReplica:
    """A leader without followers; its actor runs in the thread of the test."""

    actor: ReplicaActor
    plane: ControlPlane
    state: ControlState

    def run(self) -> None:
        while not self.actor.actor_inbox.empty():
            self.actor.on_receive(self.actor.actor_inbox.get_nowait().message)


def actor_and_plane(
    replica: Replica, state: ControlState, clock: FakeClock
) -> tuple[ReplicaActor, ControlPlane]:
    """Return both for a replica whose disk and bus do nothing."""
    actor = ReplicaActor(
        replica=replica,
        storage=NoStorage(),
        state=state,
        bus=NoBus(),
        clock=clock,
        snapshot_every=1_000,
        peers=lambda: (),
    )
    plane = ControlPlane(
        replica=replica,
        actor=actor.actor_ref,
        state=state,
        bus=NoBus(),
        clock=clock,
        reports=TargetReports(targets=lambda: state.targets, clock=clock),
    )
    return actor, plane


def single_replica() -> SingleReplica:
    clock = FakeClock()
    members = Members(voters=(IDENTITY,))
    log = Log(snapshot=Snapshot(index=0, term=0, members=members, data=b""))
    replica = Replica(
        identity=IDENTITY, log=log, vote=Vote(), clock=clock, random=Random(1)
    )
    state = ControlState()
    actor, plane = actor_and_plane(replica, state, clock)
    clock.advance(5.0)
    actor.on_receive(Tick())
    assert plane.leads
    return SingleReplica(actor=actor, plane=plane, state=state)

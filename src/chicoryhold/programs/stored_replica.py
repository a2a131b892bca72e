"""The replica and the control state of a control host, as they are on its disk."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from chicoryhold.clock import Clock
from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.messages import Members
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.storage import Storage
from chicoryhold.state.control_state import ControlState

FOUNDER_SUFFIX = ".founder"


def founding_members(names: Iterable[str], *, identity: str) -> Members:
    """Return the replicas that ``identity`` founds the group with, if it is a founder.

    Any other replica learns of the members from the leader.
    """
    if not identity.endswith(FOUNDER_SUFFIX):
        return Members(voters=())
    return Members(voters=tuple(f"{name}{FOUNDER_SUFFIX}" for name in names))


def load_replica(
    storage: Storage, *, identity: str, founders: Members, clock: Clock, timing: Timing
) -> tuple[Replica, ControlState]:
    """Return the stored replica, and the state as of its snapshot."""
    log = storage.load_log(founders)
    state = ControlState()
    state.load(log.snapshot.data)
    replica = Replica(
        identity=identity,
        log=log,
        vote=storage.load_vote(),
        clock=clock,
        random=Random(identity),
        timing=timing,
    )
    return replica, state

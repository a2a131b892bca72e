"""Control replicas on a fake clock whose hosts are lost, return and are replaced."""

from __future__ import annotations

from random import Random

import attrs

from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.messages import Members
from chicoryhold.control.member_states import Place
from chicoryhold.control.membership_keeper import MembershipKeeper
from chicoryhold.control.messages import JoinRequest
from chicoryhold.control.replica_actor import JOIN_INTERVAL_SECONDS
from chicoryhold.control.replica_policy import ReplicaPolicy
from chicoryhold.errors import NotLeader
from tests.fakes import Group
from tests.group_model import Limits

TIMING = Timing(heartbeat=0.25, election=1.0)  # as on control hosts
STEP_SECONDS = 0.05


@attrs.define(kw_only=True)
class HostSlot:
    """A place for a control host; ``counts_until`` is when it no longer is lost."""

    place: Place
    identity: str
    number: int = 0
    disk: int = 0
    is_up: bool = True
    counts_until: float = float("-inf")


class ReplacedHosts:
    """A group that changes its membership by the product's rule."""

    def __init__(
        self, *, seed: int, places: tuple[Place, ...], limits: Limits,
        catch_up_seconds: float,
    ) -> None:  # fmt: skip
        self.random = Random(seed)
        self.limits = limits
        self._catch_up_seconds = catch_up_seconds
        self.slots = [
            HostSlot(place=place, identity=f"h{index}.founder")
            for index, place in enumerate(places)
        ]
        founders = tuple(slot.identity for slot in self.slots[:3])
        self.group = Group(seed=seed, voters=founders, timing=TIMING)
        self._keepers: dict[str, MembershipKeeper] = {}
        self._join_due_at: dict[str, float] = {}
        for slot in self.slots:
            self._start(slot, founders=founders if slot.identity in founders else ())
        self.run(12.0)

    @property
    def now(self) -> float:
        return self.group.clock.now()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.group.run(STEP_SECONDS)
            for identity, keeper in self._keepers.items():
                if identity in self.group.replicas:
                    keeper.update()
                    self.group.run_effects(identity)
            self._ask_to_join()

    def may_lose(self, slot: HostSlot) -> bool:
        lost = [s.place for s in self.slots if self._counts_as_lost(s)]
        if self._counts_as_lost(slot):
            return slot.is_up
        return self.limits.allow([*lost, slot.place])

    def lose(self, slot: HostSlot) -> None:
        slot.is_up = False
        self.group.crash(slot.identity)

    def bring_back(
        self, slot: HostSlot, *, replaced: bool, wiped: bool = False
    ) -> None:
        """Start the host again, or an empty one in its place, or with an empty disk."""
        if replaced:
            slot.number += 1
            slot.identity = f"h{self.slots.index(slot)}n{slot.number}.new"
        elif wiped:
            slot.disk += 1
            process = slot.identity.partition(".")[0]
            slot.identity = f"{process}.disk{slot.disk}"
        slot.is_up = True
        slot.counts_until = self.now + self._catch_up_seconds
        self._start(slot, founders=())

    def accepts_a_change(self, *, within: float) -> bool:
        """Return whether a leader commits a new entry in that time."""
        until = self.now + within
        while self.now < until:
            leader = self.group.leader()
            if leader is not None and self._commits(leader, until):
                return True
            self.run(STEP_SECONDS)
        return False

    def _commits(self, leader: str, until: float) -> bool:
        try:
            index = self.group.propose(leader, b"change")
        except NotLeader:
            return False
        replica = self.group.replicas[leader]
        term = replica.term
        while self.now < until and leader in self.group.replicas:
            self.run(STEP_SECONDS)
            if replica.commit_index >= index:
                return replica.log.term_at(index) in (term, None)
            if replica.term != term:
                return False
        return False

    def _start(self, slot: HostSlot, *, founders: tuple[str, ...]) -> None:
        if slot.identity not in self.group.replicas:
            self.group.start(slot.identity, founders=Members(voters=founders))
        self._keepers[slot.identity] = MembershipKeeper(
            replica=self.group.replicas[slot.identity],
            clock=self.group.clock,
            policy=ReplicaPolicy(
                tolerated_losses=self.limits.hosts,
                silent_seconds=self._catch_up_seconds / 4,
                forget_seconds=10 * self._catch_up_seconds,
                place_of=self._place_of,
            ),
        )

    def _ask_to_join(self) -> None:
        for identity, replica in self.group.replicas.items():
            is_due = self.now >= self._join_due_at.get(identity, 0.0)
            if is_due and identity not in replica.members.voters:
                self._join_due_at[identity] = self.now + JOIN_INTERVAL_SECONDS
                request = JoinRequest(identity=identity)
                for other, keeper in self._keepers.items():
                    if other in self.group.replicas:
                        keeper.record_join(identity.rpartition(".")[0], request)

    def _counts_as_lost(self, slot: HostSlot) -> bool:
        return not slot.is_up or self.now < slot.counts_until

    def _place_of(self, identity: str) -> Place:
        number = identity.removeprefix("h").partition(".")[0].partition("n")[0]
        return self.slots[int(number)].place

"""Simulated replicas and network for tests of the consensus classes."""

from __future__ import annotations

from random import Random

import attrs

from chicoryhold.consensus.effects import Apply, SaveEntries, SaveSnapshot, Send
from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import Entry, Members, Snapshot, Vote
from chicoryhold.consensus.replica import Replica, Role
from tests.conftest import FakeClock


@attrs.define(kw_only=True)
class Disk:
    """The state that a replica has synced to disk and that survives a crash."""

    vote: Vote
    log: Log

    def copy(self) -> Disk:
        log = Log(snapshot=self.log.snapshot)
        entries = self.log.slice(self.log.first_index, limit=self.log.last_index)
        if entries:
            log.write(entries)
        return Disk(vote=self.vote, log=log)


class Group:
    """Replicas on a simulated network that loses, delays and blocks messages.

    ``partitioned`` replicas neither send nor receive; ``inbound_blocked`` replicas only
    send. A message is lost with ``loss_probability`` when it is sent, and delayed with
    ``delay_probability`` at each delivery.
    """

    def __init__(
        self, *, seed: int, voters: tuple[str, ...], timing: Timing | None = None
    ) -> None:
        self.timing = timing or Timing()
        self.random = Random(seed)
        self.clock = FakeClock()
        self.disks: dict[str, Disk] = {}
        self.replicas: dict[str, Replica] = {}
        self.applied: dict[str, list[Entry]] = {}
        self.partitioned: set[str] = set()
        self.inbound_blocked: set[str] = set()
        self.loss_probability = 0.0
        self.delay_probability = 0.0
        self._network: list[Send] = []
        for name in voters:
            self.start(name, founders=Members(voters=voters))

    def start(self, name: str, *, founders: Members) -> None:
        """Start a replica from its disk, or from an empty disk."""
        empty = Snapshot(index=0, term=0, members=founders, data=b"")
        disk = self.disks.setdefault(name, Disk(vote=Vote(), log=Log(snapshot=empty)))
        copy = disk.copy()
        self.replicas[name] = Replica(
            identity=name,
            log=copy.log,
            vote=copy.vote,
            clock=self.clock,
            random=Random(self.random.random()),
            timing=self.timing,
        )
        self.applied[name] = []

    def crash(self, name: str) -> None:
        """Stop a replica; its synced state stays on disk."""
        self.replicas.pop(name, None)

    def wipe(self, name: str) -> None:
        """Stop a replica and delete its disk."""
        self.crash(name)
        del self.disks[name]

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of 50 ms, each with deliveries in random order."""
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)
            for name in list(self.replicas):
                self.replicas[name].tick()
                self.run_effects(name)
            self.deliver()

    def deliver(self) -> None:
        for _ in range(3):
            sent, self._network = self._network, []
            self.random.shuffle(sent)
            for message in sent:
                if self.random.random() < self.delay_probability:
                    self._network.append(message)
                else:
                    self._deliver_one(message)

    def propose(self, name: str, command: bytes) -> int:
        index = self.replicas[name].propose(command)
        self.run_effects(name)
        return index

    def run_effects(self, name: str) -> None:
        """Run the effects that one replica has queued."""
        replica = self.replicas[name]
        while effects := replica.take_effects():
            for effect in effects:
                self._run_effect(name, effect)

    def leader(self) -> str | None:
        """Return the name of the leader with the highest term, if any."""
        leaders = [r for r in self.replicas.values() if r.role is Role.LEADER]
        return max(leaders, key=lambda r: r.term).identity if leaders else None

    def wait_for_leader(self) -> str:
        for _ in range(400):
            self.run(0.05)
            leader = self.leader()
            if leader and self.replicas[leader].confirmed_at > 0:
                return leader
        raise AssertionError("no leader was elected in 20 s of fake time")

    def _run_effect(self, name: str, effect: object) -> None:
        disk = self.disks[name]
        match effect:
            case SaveEntries(entries=entries):
                disk.log.write(entries)
            case SaveSnapshot(snapshot=snapshot, remaining=remaining):
                disk.log = Log(snapshot=snapshot, entries=remaining)
            case Send():
                blocked = name in self.partitioned or effect.to in self.partitioned
                if not blocked and self.random.random() >= self.loss_probability:
                    self._network.append(effect)
            case Apply(entry=entry):
                self.applied[name].append(entry)
            case _:
                if hasattr(effect, "vote"):
                    disk.vote = effect.vote

    def _deliver_one(self, send: Send) -> None:
        if (
            send.to in self.replicas
            and send.to not in self.partitioned | self.inbound_blocked
        ):
            self.replicas[send.to].receive(send.message)
            self.run_effects(send.to)

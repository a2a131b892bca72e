"""Control replicas with disks, whose actors and network run in the test's thread."""

from __future__ import annotations

import shutil
from concurrent.futures import Future
from contextlib import ExitStack
from pathlib import Path
from random import Random

import attrs

from chicoryhold.codec import decode, encode
from chicoryhold.consensus.messages import Members
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.replica_requests import Propose
from chicoryhold.control.storage import open_storage, read_identity
from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.state.changes import Change, PutConfiguration
from chicoryhold.state.control_state import ControlState
from tests.conftest import FakeClock
from tests.follower_trial import configuration

STEP_SECONDS = 0.05
SNAPSHOT_EVERY = 500  # entries, as on control hosts


@attrs.define(kw_only=True)
class Network:
    """Carries encoded messages between the hosts in order."""

    sent: list[tuple[str, str, bytes]] = attrs.Factory(list)
    largest: int = 0

    def send(self, sender: str, peer: str, message: object) -> None:
        payload = encode(message)
        self.largest = max(self.largest, len(payload))
        self.sent.append((sender, peer, payload))


@attrs.frozen(kw_only=True)
class NetworkBus:
    name: str
    network: Network

    def tell(self, peer: str, message: object) -> None:
        self.network.send(self.name, peer, message)


@attrs.define(kw_only=True)
class ControlHost:
    """One process with its disk."""

    actor: ReplicaActor
    replica: Replica
    state: ControlState
    resources: ExitStack


class ControlHosts:
    """A group of control hosts, one folder of ``folder`` each.

    The first three found it, and the others join.
    """

    def __init__(self, *, folder: Path, names: tuple[str, ...]) -> None:
        self.folder = folder
        self.names = names
        self.founders = names[:3]
        self.clock = FakeClock()
        self.network = Network()
        self.hosts: dict[str, ControlHost] = {}
        for name in names:
            self.start(name, founds=name in self.founders)

    def start(self, name: str, *, founds: bool = False) -> None:
        """Start a host from its disk; ``founds`` only if it has none yet."""
        with ExitStack() as stack:
            storage = stack.enter_context(open_storage(self.folder / name))
            identity = read_identity(self.folder / name, name=name, found=founds)
            founders = tuple(f"{each}.founder" for each in self.founders)
            voters = founders if identity in founders else ()
            log = storage.load_log(Members(voters=voters))
            state = ControlState()
            state.load(log.snapshot.data)
            replica = Replica(
                identity=identity,
                log=log,
                vote=storage.load_vote(),
                clock=self.clock,
                random=Random(name),
            )
            actor = ReplicaActor(
                replica=replica,
                storage=storage,
                state=state,
                bus=NetworkBus(name=name, network=self.network),
                clock=self.clock,
                snapshot_every=SNAPSHOT_EVERY,
                peers=lambda: self.names,
            )
            self.hosts[name] = ControlHost(
                actor=actor, replica=replica, state=state, resources=stack.pop_all()
            )

    def kill(self, name: str) -> None:
        self.hosts.pop(name).resources.close()

    def wipe(self, name: str) -> None:
        """Delete the disk of a killed host."""
        shutil.rmtree(self.folder / name)

    def close(self) -> None:
        for name in list(self.hosts):
            self.kill(name)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_SECONDS)):
            self.clock.advance(STEP_SECONDS)
            for host in list(self.hosts.values()):
                host.actor.on_receive(Tick())
            self._deliver()

    @property
    def leader(self) -> ControlHost | None:
        leaders = [h for h in self.hosts.values() if h.replica.role is Role.LEADER]
        return max(leaders, key=lambda host: host.replica.term, default=None)

    def put(self, version: int, *, routes: int) -> None:
        """Have a configuration of so many routes accepted."""
        body = PutConfiguration(
            configuration=configuration(version, routes=routes), text=b""
        )
        change = Change(request_id="", operator="", body=encode(body))
        reply: Future = Future()
        self.leader.actor.on_receive(Propose(change=change, reply=reply))
        for _ in range(40):
            self.run(STEP_SECONDS)
            if reply.done():
                break
        assert reply.result(0).accepted

    def _deliver(self) -> None:
        for _ in range(6):
            sent, self.network.sent = self.network.sent, []
            while sent:
                sender, peer, payload = sent.pop(0)
                if peer in self.hosts:
                    request = PeerRequest(
                        sender=sender, message=decode(payload), reply=Future()
                    )
                    self.hosts[peer].actor.on_receive(request)

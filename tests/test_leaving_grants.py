"""Slots of targets that said to a host that they leave."""

from __future__ import annotations

from chicoryhold.hosts.messages import Admit, Admitted, NotAdmitted, Release
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.coordinator import Coordinator
from tests.conftest import FakeClock
from tests.coordinators import admit, announcement, create_coordinator


def coordinator_told_of_leaving(clock: FakeClock) -> Coordinator:
    """Return a coordinator of one target, of which a host says that it leaves."""
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement())
    (granted,) = admit(coordinator)
    release = Release(grant=granted.grant, ok=True, latency=0.1, is_leaving=True)
    coordinator.release(release)
    return coordinator


def test_a_target_that_said_it_leaves_is_granted_to_nobody(clock):
    # Regression test: only the target's own announcement ended its grants.
    coordinator = coordinator_told_of_leaving(clock)
    coordinator.announce(announcement(sequence=2))
    assert isinstance(admit(coordinator)[0], NotAdmitted)
    coordinator.announce(announcement(address="t2", instance="i2"))
    (granted,) = admit(coordinator)
    assert granted.address == "t2"


def test_the_next_process_at_the_address_is_granted_again(clock):
    coordinator = coordinator_told_of_leaving(clock)
    coordinator.announce(announcement(instance="next"))
    (granted,) = admit(coordinator)
    assert granted.instance == "next"


def test_a_late_word_on_a_process_does_not_bind_the_next_one(clock):
    coordinator = create_coordinator(clock)
    coordinator.announce(announcement())
    (granted,) = admit(coordinator)
    coordinator.announce(announcement(instance="next"))
    release = Release(grant=granted.grant, ok=True, latency=0.1, is_leaving=True)
    coordinator.release(release)
    assert isinstance(admit(coordinator)[0], Admitted)


class Coordinators:
    """A bus with one coordinator, and the view that names it."""

    coordinator = "c"
    replicas = ("c",)

    def __init__(self) -> None:
        self.told: list[object] = []

    def ask(self, host, message):
        return Answered(Admitted(grant="1.1", address="t1", waited=0.0, instance="i1"))

    def forget(self, future):
        pass

    def tell(self, host, message):
        self.told.append(message)


class Answered:
    def __init__(self, reply: object) -> None:
        self._reply = reply

    def result(self, timeout):
        return self._reply


def test_a_host_tells_the_coordinator_with_the_release_that_a_target_leaves(clock):
    coordinators = Coordinators()
    client = AdmissionClient(
        bus=coordinators, view=coordinators, clock=clock, domains={}
    )
    request = Admit(organisation="o", service="menus", patience=1.0)
    granted = client.admit(request, deadline=clock.now() + 1)
    client.release(granted.grant, ok=True, latency=None, is_leaving=True)
    assert [message.is_leaving for message in coordinators.told] == [True]


class TwoDomains(Coordinators):
    """A bus with the coordinators of two domains, which name their grants alike."""

    def ask(self, host, message):
        grant = Admitted(grant="1.1", address=f"t-{host}", waited=0.0, instance="i1")
        return Answered(grant)

    def call(self, host, message, *, timeout):
        return self.ask(host, message).result(timeout)

    def tell(self, host, message):
        self.told.append((host, message.grant, message.is_leaving))


def test_slots_that_two_coordinators_name_alike_are_released_each_at_its_own(clock):
    """Guards against a release, and what it says, at another domain's coordinator."""
    coordinators = TwoDomains()
    client = AdmissionClient(
        bus=coordinators, view=coordinators, clock=clock, domains={"far": ("f",)}
    )
    request = Admit(organisation="o", service="menus", patience=1.0)
    own = client.admit(request, deadline=clock.now() + 1)
    far = client.admit_in_domain("far", request)
    client.release(own.grant, ok=True, latency=None, is_leaving=True)
    client.release(far.grant, ok=True, latency=None)
    assert coordinators.told == [("c", "1.1", True), ("f", "1.1", False)]

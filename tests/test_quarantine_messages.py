"""How crash reports and quarantined requests pass between hosts."""

from __future__ import annotations

from concurrent.futures import Future

from chicoryhold.hosts.actors import PeerRequest, Tick
from chicoryhold.membership.messages import (
    ControlHost,
    ControlHosts,
    ControlPresence,
    EntryHost,
    EntryPresence,
)
from chicoryhold.membership.presence_actor import ControlHostList, PresenceActor
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.membership.registry_actor import HostRegistryActor
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.metrics import Metrics
from chicoryhold.quarantine.evidence import CrashEvidence
from chicoryhold.quarantine.messages import (
    CrashReport,
    QuarantineChanged,
    RequestSucceeded,
    WatchQuarantine,
)
from chicoryhold.quarantine.quarantine import Quarantine
from chicoryhold.quarantine.records import CrashRecords
from chicoryhold.routing.stated_limits import StatedLimits
from tests.conftest import FakeClock
from tests.crash_fakes import a_guard
from tests.currency_fakes import a_current_copy
from tests.test_presence import process_inbox

DEADLY = b"deadly"
ENTRY = EntryHost(name="e", domain="a", region="r", address="10.0.0.9:80", ready=True)


class Bus:
    name = "10.1.0.1"

    def __init__(self) -> None:
        self.told: list[tuple[str, object]] = []
        self.asked: list[tuple[str, object, Future]] = []

    def tell(self, peer: str, message: object) -> None:
        self.told.append((peer, message))

    def ask(self, peer: str, message: object) -> Future:
        future: Future = Future()
        self.asked.append((peer, message, future))
        return future

    def forget(self, future: Future) -> None:
        return

    def futures(self, kind: type) -> list[Future]:
        return [each for _, message, each in self.asked if isinstance(message, kind)]


def control_actor(clock: FakeClock, bus: Bus) -> HostRegistryActor:
    metrics = Metrics(process="test")
    return HostRegistryActor(
        registry=HostRegistry(
            own=ControlHost(name=bus.name, domain="a", region="r"), clock=clock
        ),
        reports=TargetReports(targets=dict, clock=clock),
        bus=bus,
        clock=clock,
        peers=lambda: (bus.name, "10.2.0.1"),
        leads=lambda: False,
        record_silent=lambda records: None,
        limits=StatedLimits(clock=clock, metrics=metrics),
        targets=dict,
        crashes=CrashRecords(
            evidence=CrashEvidence(clock=clock),
            quarantine=Quarantine(clock=clock, metrics=metrics),
        ),
        confirmed_age=lambda: 0.1,
    )


def send(actor: HostRegistryActor, message: object, *, sender: str = "e") -> Future:
    reply: Future = Future()
    actor.on_receive(PeerRequest(sender=sender, message=message, reply=reply))
    return reply


def a_report(number: int) -> CrashReport:
    return CrashReport(instance=f"i-{number}", born_ms=1, requests=(DEADLY,))


def test_entry_hosts_that_wait_hear_of_the_third_crash_and_of_a_release_at_once():
    actor = control_actor(FakeClock(), Bus())
    waiting = [send(actor, WatchQuarantine(), sender=f"e{n}") for n in range(3)]
    for number in range(3):
        assert not any(each.done() for each in waiting)
        send(actor, a_report(number))
    for each in waiting:
        (quarantined,) = each.result(timeout=0).requests
        assert quarantined.request == DEADLY and quarantined.remaining > 0
    again = send(actor, WatchQuarantine())
    send(actor, RequestSucceeded(request=DEADLY))
    assert again.result(timeout=0).requests[0].remaining == 0


def test_reports_and_the_quarantine_travel_with_presence_as_well():
    clock = FakeClock()
    bus = Bus()
    actor = control_actor(clock, bus)
    for number in range(3):
        presence = EntryPresence(host=ENTRY, crashes=(a_report(number),))
        reply = send(actor, presence).result(timeout=0)
    assert reply.quarantined[0].request == DEADLY
    actor.on_receive(Tick())
    told = [each for _, each in bus.told if isinstance(each, ControlPresence)]
    assert told[-1].quarantined[0].request == DEADLY
    other = control_actor(clock, Bus())
    waiting = send(other, WatchQuarantine())
    send(other, told[-1], sender=bus.name)
    assert waiting.result(timeout=0).requests[0].request == DEADLY


def test_an_entry_host_waits_for_changes_at_one_control_host_at_a_time():
    clock = FakeClock()
    bus = Bus()
    guard = a_guard(clock)
    actor = PresenceActor(
        control_hosts=ControlHostList(
            seeds=lambda: (bus.name,), domain="a", region="r", clock=clock
        ),
        bus=bus,
        clock=clock,
        describe=lambda: ENTRY,
        limits=StatedLimits(clock=clock, metrics=Metrics(process="test")),
        guard=guard,
        currency=a_current_copy(clock),
    )
    actor.on_receive(Tick())
    own = ControlHost(name=bus.name, domain="a", region="r")
    bus.futures(EntryPresence)[0].set_result(ControlHosts(hosts=(own,)))
    process_inbox(actor)
    assert not bus.futures(WatchQuarantine)
    actor.on_receive(Tick())
    (watch,) = bus.futures(WatchQuarantine)
    quarantine = Quarantine(clock=clock, metrics=Metrics(process="test"))
    quarantine.add(DEADLY)
    watch.set_result(QuarantineChanged(requests=quarantine.all()))
    process_inbox(actor)
    assert guard.refusal(DEADLY) is not None
    assert len(bus.futures(WatchQuarantine)) == 2

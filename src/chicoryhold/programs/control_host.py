"""One control host of an installation whose hosts discover each other from seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

import attrs
import pykka
from loguru import logger

from chicoryhold.clock import BootClock
from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.member_states import UNKNOWN_PLACE, Place
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    JoinRequest,
    ReplicaMessage,
    ReplicaStatusRequest,
)
from chicoryhold.control.plane import ControlPlane
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.replica_policy import ReplicaPolicy
from chicoryhold.control.replica_requests import process_name
from chicoryhold.control.storage import open_storage, read_identity
from chicoryhold.hosts.actors import forward_to, running_actor
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.limits.known_limits import KnownLimits
from chicoryhold.limits.lenders import lenders
from chicoryhold.limits.messages import PermitLoan, PermitLoanRequest, PermitRequest
from chicoryhold.limits.permit_actor import PermitActor
from chicoryhold.limits.permits import Allowance, PermitAllocator
from chicoryhold.limits.target_permits import TargetPermitAllocator
from chicoryhold.membership.messages import (
    ControlPresence,
    EntryPresence,
    ForwardedChange,
    ReadConfiguration,
)
from chicoryhold.membership.registry import HostRegistry
from chicoryhold.membership.registry_actor import HostRegistryActor
from chicoryhold.membership.target_reports import TargetReports
from chicoryhold.metrics import Metrics, serve_metrics
from chicoryhold.programs.host_bus import create_bus
from chicoryhold.programs.host_settings import (
    ControlHostSettings,
    RateTolerance,
)
from chicoryhold.programs.stored_replica import founding_members, load_replica
from chicoryhold.quarantine.evidence import CrashEvidence
from chicoryhold.quarantine.messages import (
    CrashReport,
    RequestSucceeded,
    WatchQuarantine,
)
from chicoryhold.quarantine.quarantine import Quarantine
from chicoryhold.quarantine.records import CrashRecords
from chicoryhold.routing.configuration import OrganisationRule
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.state.control_state import ControlState

REPLICA_TICK_SECONDS = 0.1
REGISTRY_TICK_SECONDS = 0.25
CONSENSUS_TIMING = Timing(heartbeat=0.25, election=1.0)
# Of the time until the group has to bear the next loss. The rest is for an election
# before, and two changes of the membership for each lost voter.
SILENT_SHARE = 0.25
FORGET_FACTOR = 10.0  # a host that is lost for so many times that time isn't back soon
MAX_FETCH_WAIT_SECONDS = 0.5
EXTRA_REQUESTS_SHARE = 0.75  # of the tolerated extra requests; added to the burst
IMMEDIATE_BURST_SHARE = 0.2  # of the burst; the rest is spread over the window


@attrs.frozen(kw_only=True)
class ControlHostComponents:
    """The components of a control host that an embedding program uses."""

    plane: ControlPlane
    registry: HostRegistry
    metrics: Metrics


@contextmanager
def running_control_host(
    settings: ControlHostSettings, *, seeds: Callable[[], tuple[str, ...]]
) -> Iterator[ControlHostComponents]:
    """Run a control host until the block ends.

    ``seeds`` is called again whenever it is needed, so its result may change.
    """
    with ExitStack() as stack:
        storage = stack.enter_context(open_storage(settings.data_folder))
        bus = stack.enter_context(running_bus(create_bus(settings)))
        clock = BootClock()
        identity = read_identity(
            settings.data_folder, name=settings.name, found=_is_founder(settings)
        )
        replica, state = load_replica(
            storage,
            identity=identity,
            founders=founding_members(settings.seeds, identity=identity),
            clock=clock,
            timing=CONSENSUS_TIMING,
        )
        registry = HostRegistry(own=settings.control_host, clock=clock)

        def peers() -> tuple[str, ...]:
            return _peers(replica, registry, seeds())

        for peer in peers():
            # Vote requests sent before a connection is open would be lost.
            bus.connect(peer)
        actor = ReplicaActor.start(
            replica=replica,
            storage=storage,
            state=state,
            bus=bus,
            clock=clock,
            snapshot_every=settings.snapshot_every,
            peers=peers,
            policy=_replica_policy(settings, registry),
        )
        stack.enter_context(running_actor(actor, interval=REPLICA_TICK_SECONDS))
        reports = TargetReports(targets=lambda: state.targets, clock=clock)
        plane = ControlPlane(
            replica=replica,
            actor=actor,
            state=state,
            bus=bus,
            clock=clock,
            reports=reports,
        )
        metrics = Metrics(process=settings.name)
        registry_actor = HostRegistryActor.start(
            registry=registry,
            reports=reports,
            bus=bus,
            clock=clock,
            peers=peers,
            leads=lambda: plane.leads,
            record_silent=plane.record_silent,
            limits=StatedLimits(clock=clock, metrics=metrics),
            targets=lambda: {record.instance: record for record in state.targets},
            crashes=CrashRecords(
                evidence=CrashEvidence(clock=clock),
                quarantine=Quarantine(clock=clock, metrics=metrics),
            ),
            confirmed_age=lambda: clock.now() - replica.applied_confirmed_at,
        )
        stack.enter_context(
            running_actor(registry_actor, interval=REGISTRY_TICK_SECONDS)
        )
        permit_actor = _start_permits(settings, replica, state, registry, bus, clock)
        _register_handlers(bus, actor, registry_actor, permit_actor, plane)
        metrics.gauge("chicoryhold_control_revision", lambda: state.revision)
        metrics.gauge("chicoryhold_control_term", lambda: replica.term)
        metrics.gauge("chicoryhold_control_leads", lambda: int(plane.leads))
        stack.enter_context(
            serve_metrics(
                settings.metrics_address, lambda: _unready_reason(replica), metrics
            )
        )
        logger.bind(identity=identity, seeds=list(seeds())).info("control: started.")
        yield ControlHostComponents(plane=plane, registry=registry, metrics=metrics)
        logger.info("control: stopping.")


def _is_founder(settings: ControlHostSettings) -> bool:
    """Return whether this host is one of the founding replicas.

    Only the seeds of a new installation are: at that time every host has the same ones.
    """
    return settings.new_installation and settings.name in settings.seeds


def _replica_policy(
    settings: ControlHostSettings, registry: HostRegistry
) -> ReplicaPolicy:
    def place_of(identity: str) -> Place:
        name = process_name(identity)
        for host in registry.known_control_hosts:
            if host.name == name:
                return Place(region=host.region, domain=host.domain)
        return UNKNOWN_PLACE

    return ReplicaPolicy(
        tolerated_losses=settings.tolerated_losses,
        silent_seconds=SILENT_SHARE * settings.catch_up_seconds,
        forget_seconds=FORGET_FACTOR * settings.catch_up_seconds,
        place_of=place_of,
        followers_serve_fetches=True,
        accept_any_sender=True,
        max_fetch_wait=MAX_FETCH_WAIT_SECONDS,
    )


def _peers(
    replica: Replica, registry: HostRegistry, seeds: tuple[str, ...]
) -> tuple[str, ...]:
    members = (process_name(identity) for identity in replica.members.identities)
    discovered = (host.name for host in registry.known_control_hosts)
    return tuple(dict.fromkeys((*members, *discovered, *seeds)))


def _start_permits(
    settings: ControlHostSettings, replica: Replica, state: ControlState,
    registry: HostRegistry, bus: Bus, clock: BootClock,
) -> pykka.ActorRef:  # fmt: skip
    limits = KnownLimits(
        configuration=lambda: state.configuration,
        allowance_for=lambda rule: allowance_for(rule, settings.tolerance),
    )
    allocator = PermitAllocator(
        domains=len(settings.regions), allowance_of=limits.allowance_of, clock=clock
    )
    return PermitActor.start(
        allocator=allocator,
        target_allocator=TargetPermitAllocator(
            domain=settings.domain, domains=tuple(settings.regions), clock=clock
        ),
        bus=bus,
        clock=clock,
        peers=lambda: lenders(registry.control_hosts, domain=settings.domain),
        knows_limits=lambda: replica.applied_confirmed_at > float("-inf"),
        limits=limits,
    )


def allowance_for(rule: OrganisationRule, tolerance: RateTolerance) -> Allowance:
    """Return a rate and a burst that keep each window within the rule's limit.

    A steady demand above the rate could use the burst again in each window, so most of
    the burst is converted into rate. ``tolerance.share`` isn't added: it covers permits
    that are used late.
    """
    burst_rate = (1 - IMMEDIATE_BURST_SHARE) * rule.burst / tolerance.window
    immediate_burst = (
        IMMEDIATE_BURST_SHARE * rule.burst + EXTRA_REQUESTS_SHARE * tolerance.requests
    )
    return Allowance(rate=rule.rate + burst_rate, burst=immediate_burst)


def _register_handlers(
    bus: Bus, actor: pykka.ActorRef, registry: pykka.ActorRef, permits: pykka.ActorRef,
    plane: ControlPlane,
) -> None:  # fmt: skip
    replica_kinds = (
        ReplicaMessage, JoinRequest, FetchChanges, FetchImage, ReplicaStatusRequest,
    )  # fmt: skip
    for kind in replica_kinds:
        bus.handle(kind, forward_to(actor))
    registry_kinds = (
        EntryPresence, ControlPresence, CrashReport, RequestSucceeded, WatchQuarantine,
    )  # fmt: skip
    for kind in registry_kinds:
        bus.handle(kind, forward_to(registry))
    for kind in (PermitRequest, PermitLoanRequest, PermitLoan):
        bus.handle(kind, forward_to(permits))
    bus.handle(ForwardedChange, plane.on_forwarded)
    bus.handle(ReadConfiguration, plane.on_read)


def _unready_reason(replica: Replica) -> str:
    return "" if replica.leader else "no leader is known: check the other replicas"

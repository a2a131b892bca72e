"""``chicoryhold-entry``: one entry host."""

from __future__ import annotations

import secrets
from collections.abc import Iterator
from concurrent.futures import Future
from contextlib import AbstractContextManager, ExitStack, contextmanager
from functools import partial
from pathlib import Path
from random import Random

import pykka
from absl import flags
from loguru import logger

from chicoryhold.callers.app import CallerApp
from chicoryhold.callers.authentication import Authenticator
from chicoryhold.callers.forwarding import Forwarder
from chicoryhold.callers.observations import RequestMetrics
from chicoryhold.callers.service import CallerService
from chicoryhold.callers.slots import Slots
from chicoryhold.callers.target_answers import CoordinatedLimits
from chicoryhold.claims.client import ClaimClient
from chicoryhold.claims.replica import ClaimReplica
from chicoryhold.clock import BootClock
from chicoryhold.control.follower_actor import FollowerActor, choose_sources
from chicoryhold.control.messages import FetchChanges, FetchImage
from chicoryhold.errors import SettingsError
from chicoryhold.gateway.target_prober import TargetProber
from chicoryhold.hosts.actors import PeerRequest, forward_to, running_actor
from chicoryhold.hosts.bus import Handler, running_bus
from chicoryhold.hosts.domain_replica_actor import DomainReplicaActor
from chicoryhold.hosts.heartbeat_actor import HeartbeatActor
from chicoryhold.hosts.messages import (
    AbandonClaim,
    Admit,
    Announcement,
    BorrowRequest,
    FinishClaim,
    Hello,
    LeaseRequest,
    LoanGivenBack,
    RecordClaim,
    Release,
)
from chicoryhold.http.server import HttpServer, serve_http
from chicoryhold.limits.domain_limits import DomainLimits
from chicoryhold.log_queue import LogQueue
from chicoryhold.logs import configure_text_logging
from chicoryhold.metrics import serve_metrics
from chicoryhold.programs.draining import Drain, drain_timing
from chicoryhold.programs.entry_context import (
    HostContext,
    create_bus,
    create_context,
)
from chicoryhold.programs.entry_quarantine import EntryQuarantine, running_quarantine
from chicoryhold.programs.running import run_program
from chicoryhold.programs.signals import ignore_sighup, stop_signals
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.settings import EntrySettings, load_settings
from chicoryhold.steering.admission_client import AdmissionClient
from chicoryhold.steering.coordinator import Coordinator
from chicoryhold.steering.coordinator_actor import CoordinatorActor
from chicoryhold.steering.lease import LeaseCandidate, LeaseVoter
from chicoryhold.steering.lookup import Lookup
from chicoryhold.steering.shifts import ShiftChooser, ShiftLimiter
from chicoryhold.steering.targets import TargetRegistry
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.probe import probe_addresses

USAGE = """Runs one entry host.

usage: %s --settings=FILE

SIGTERM drains: callers are sent to other hosts, and the process ends once the last
request is answered.
"""
FOLLOWER_TICK_SECONDS = 0.2
HEARTBEAT_TICK_SECONDS = 0.25
COORDINATOR_TICK_SECONDS = 0.05
DOMAIN_REPLICA_TICK_SECONDS = 5.0
GENERATION_BYTES = 6
DRAIN_IDLE_SECONDS = 1.0
DRAIN_TIMEOUT_SECONDS = 60.0

_SETTINGS = flags.DEFINE_string("settings", None, "The TOML settings file.")


def run() -> None:
    """Entry point of the console script."""
    run_program(_main, usage=USAGE)


def _main(arguments: list[str]) -> None:
    if not _SETTINGS.value:
        raise SettingsError("--settings is missing: name the TOML settings file")
    settings = load_settings(Path(_SETTINGS.value), EntrySettings)
    _check_settings(settings)
    log = configure_text_logging(process=settings.name, level=settings.log.level)
    clock = BootClock()
    timing = drain_timing(
        DRAIN_TIMEOUT_SECONDS, min_seconds=0.0, idle_seconds=DRAIN_IDLE_SECONDS
    )
    with stop_signals(clock=clock) as stopping, ignore_sighup():
        drain = Drain(clock=clock, timing=timing, stopping=stopping)
        with _running_host(settings, drain, log) as server:
            stopping.wait()
            logger.info("entry: draining.")
            drain.run([server]).log("entry")
            logger.info("entry: stopping.")


def _check_settings(settings: EntrySettings) -> None:
    domain = settings.domains.get(settings.domain)
    if domain is None or settings.name not in domain.hosts:
        raise SettingsError(
            f"{_SETTINGS.value}: domains.{settings.domain}.hosts doesn't name "
            f"{settings.name!r}: add it"
        )


@contextmanager
def _running_host(
    settings: EntrySettings, drain: Drain, log: LogQueue
) -> Iterator[HttpServer]:
    with ExitStack() as stack:
        bus = stack.enter_context(running_bus(create_bus(settings)))
        context = create_context(settings, bus)
        context.metrics.gauge(
            "chicoryhold_log_lines_dropped", lambda: log.dropped_count
        )
        quarantine = stack.enter_context(_running_quarantine(context))
        admission = AdmissionClient(
            bus=bus, view=context.view, clock=context.clock, domains=context.replicas
        )
        _start_follower(stack, context)
        voter = LeaseVoter(clock=context.clock)
        _start_domain_replica(stack, context, voter)

        def leaving() -> bool:
            planned = settings.name in context.follower.state.stops
            return planned or drain.is_started or context.reachability.is_cut_off

        heartbeats = HeartbeatActor.start(
            view=context.view,
            bus=bus,
            clock=context.clock,
            leaving=leaving,
            held=admission.held,
            limits=admission.limits,
        )
        stack.enter_context(running_actor(heartbeats, interval=HEARTBEAT_TICK_SECONDS))
        stack.enter_context(_create_prober(context).running())
        app = _create_app(context, admission, quarantine, drain)
        server = stack.enter_context(
            serve_http(
                app,
                settings.callers_address,
                threads=settings.caller_threads,
                should_close=leaving,
            )
        )
        stack.enter_context(
            serve_metrics(
                settings.metrics_address,
                lambda: _unready_reason(context, voter),
                context.metrics,
            )
        )
        logger.info("entry: host {} of {} is up.", settings.name, settings.domain)
        yield server


def _running_quarantine(
    context: HostContext,
) -> AbstractContextManager[EntryQuarantine]:
    return running_quarantine(
        context.settings,
        bus=context.bus,
        clock=context.clock,
        metrics=context.metrics,
        is_cut_off=lambda: context.reachability.is_cut_off,
    )


def _start_follower(stack: ExitStack, context: HostContext) -> None:
    sources = choose_sources(
        context.settings.name,
        domain_hosts=context.domain_hosts,
        replicas=tuple(context.settings.replicas),
    )
    actor = FollowerActor.start(
        follower=context.follower,
        sources=lambda: sources,
        bus=context.bus,
        clock=context.clock,
        domain=context.settings.domain,
    )
    for kind in (FetchChanges, FetchImage):
        context.bus.handle(kind, forward_to(actor))
    stack.enter_context(running_actor(actor, interval=FOLLOWER_TICK_SECONDS))


def _start_domain_replica(
    stack: ExitStack, context: HostContext, voter: LeaseVoter
) -> None:
    if context.settings.name not in context.view.replicas:
        return
    replica = DomainReplicaActor.start(
        claims=ClaimReplica(
            clock=context.clock, new_name=lambda: secrets.token_hex(GENERATION_BYTES)
        ),
        lease=voter,
        clock=context.clock,
        # The age is infinite until the first copy of the control state arrives.
        control_age=lambda: min(context.follower.age, 1e9),
    )
    coordinator = _create_coordinator_actor(context)
    for kind in (RecordClaim, FinishClaim, AbandonClaim, LeaseRequest):
        context.bus.handle(kind, forward_to(replica))
    for kind in (Admit, Release, Announcement, BorrowRequest, LoanGivenBack):
        context.bus.handle(kind, forward_to(coordinator))
    context.bus.handle(Hello, _hello_handler(replica, coordinator))
    stack.enter_context(running_actor(replica, interval=DOMAIN_REPLICA_TICK_SECONDS))
    stack.enter_context(running_actor(coordinator, interval=COORDINATOR_TICK_SECONDS))


def _hello_handler(replica: pykka.ActorRef, coordinator: pykka.ActorRef) -> Handler:
    """Return a handler that tells both actors of a ``Hello``; the replica replies."""
    forward = forward_to(replica)

    def handler(sender: str, hello: Hello) -> Future:
        coordinator.tell(PeerRequest(sender=sender, message=hello, reply=Future()))
        return forward(sender, hello)

    return handler


def _create_coordinator_actor(context: HostContext) -> pykka.ActorRef:
    name = context.settings.name
    return CoordinatorActor.start(
        candidate=LeaseCandidate(
            name=name, voters=context.view.replicas, clock=context.clock
        ),
        view=context.view,
        bus=context.bus,
        clock=context.clock,
        random=Random(name),
        create=lambda epoch: _create_coordinator(context, epoch),
        domain_hosts=context.replicas,
    )


def _create_coordinator(context: HostContext, epoch: int) -> Coordinator:
    follower = context.follower
    limits = DomainLimits(
        domain=context.settings.domain,
        domains=tuple(context.settings.domains),
        limits_of=lambda organisation: follower.state.table.limits(organisation),
        clock=context.clock,
        epoch=epoch,
    )
    return Coordinator(
        epoch=epoch,
        limits=limits,
        targets=TargetRegistry(clock=context.clock),
        shifts=ShiftLimiter(clock=context.clock, shifts=lambda: follower.state.shifts),
        weight_of=lambda organisation: follower.state.table.limits(organisation).weight,
        clock=context.clock,
    )


def _create_prober(context: HostContext) -> TargetProber:
    return TargetProber(
        reachability=context.reachability,
        probe=partial(probe_addresses, clock=context.clock),
        clock=context.clock,
        candidates=lambda: context.granted.candidates(
            include_old=context.reachability.is_cut_off
        ),
        random=Random(context.settings.name),
        component="entry",
        meanwhile="refusing requests",
    )


def _create_slots(context: HostContext, admission: AdmissionClient) -> Slots:
    return Slots(
        admission=admission,
        shifts=ShiftChooser(
            domain=context.settings.domain,
            clock=context.clock,
            random=Random(),
            shifts=lambda: context.follower.state.shifts,
        ),
        statements=TargetStatements(
            limits=CoordinatedLimits(), clock=context.clock, metrics=context.metrics
        ),
    )


def _create_app(
    context: HostContext, admission: AdmissionClient, quarantine: EntryQuarantine,
    drain: Drain,
) -> CallerApp:  # fmt: skip
    authenticator = Authenticator(
        follower=context.follower, view=context.view, clock=context.clock
    )
    forwarder = Forwarder(
        slots=_create_slots(context, admission),
        connections=TargetConnections(
            clock=context.clock,
            record_connect_time=lambda *_: context.reachability.record_opened(),
            record_link_failure=lambda address, _: context.reachability.record_failure(
                address
            ),
        ),
        reachability=context.reachability,
        granted=context.granted,
        crashes=quarantine.crashes,
        guard=quarantine.guard,
        clock=context.clock,
    )
    metrics = RequestMetrics(meter=context.meter)
    service = CallerService(
        follower=context.follower,
        authenticator=authenticator,
        claims=ClaimClient(bus=context.bus, clock=context.clock, domains=context.hosts),
        forwarder=forwarder,
        guard=quarantine.guard,
        clock=context.clock,
        observe=metrics.observe,
        may_take=drain.may_take,
    )
    lookup = Lookup(
        domain=context.settings.domain,
        domains=context.settings.domains,
        view=context.view,
        follower=context.follower,
    )
    return CallerApp(
        service=service,
        lookup=lookup,
        admission=admission,
        announcement_token=context.settings.announcement_token,
    )


def _unready_reason(context: HostContext, voter: LeaseVoter) -> str:
    if context.follower.state.revision == 0:
        return "no configuration yet: check the link to the control replicas"
    if not context.view.has_quorum:
        return "the domain's replicas are silent: check the links in the domain"
    if not context.view.coordinator:
        return "the domain has no coordinator yet"
    if context.reachability.is_cut_off:
        return "no target can be reached: check the network to the targets"
    if context.settings.name in context.view.replicas and not voter.may_vote:
        # Restarting the next replica now could leave the domain without a majority.
        return "this replica doesn't vote yet: wait for two seconds after its start"
    return ""

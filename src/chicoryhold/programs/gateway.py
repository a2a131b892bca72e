"""Assembles an entry host of an installation whose hosts find each other by seeds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import Protocol

from loguru import logger

from chicoryhold.clock import BootClock
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FetchTiming, FollowerActor
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.delivery import Delivery, TargetHeaderTranslator
from chicoryhold.gateway.relay import Relay, RelayHeaderTranslator
from chicoryhold.gateway.service import GatewayService
from chicoryhold.hosts.actors import Tick, running_actor
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.limits.control_host_calls import PermitSources
from chicoryhold.limits.permit_client import PermitClient
from chicoryhold.limits.retry_budgets import RetryBudgets
from chicoryhold.limits.target_permit_client import TargetPermitClient
from chicoryhold.membership.presence_actor import (
    ControlHostList,
    PresenceActor,
    ReportNow,
)
from chicoryhold.metrics import Metrics, serve_metrics
from chicoryhold.programs.draining import Drain
from chicoryhold.programs.gateway_host import Gateway
from chicoryhold.programs.gateway_links import (
    create_prober,
    create_relay,
    create_target_links,
)
from chicoryhold.programs.host_bus import create_bus
from chicoryhold.programs.host_settings import GatewaySettings
from chicoryhold.quarantine.crash_watch import CrashWatch, crash_check_threads
from chicoryhold.quarantine.evidence import AMBIGUOUS_CRASHES, CrashEvidence
from chicoryhold.quarantine.guard import RequestGuard
from chicoryhold.routing.selection import HostLocation
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.routing.target_choice import TargetChooser
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.targets.dialect import TargetDialect

FOLLOWER_TICK_SECONDS = 0.25
PRESENCE_TICK_SECONDS = 0.1
FETCH_TIMING = FetchTiming(timeout=0.9, stale_age=1.2, retry_delay=0.05)
DOMAIN_ROUND_TRIP_SECONDS = 0.001
INITIAL_REGION_ROUND_TRIP_SECONDS = 0.1  # used until one has been measured


class HeaderTranslator(TargetHeaderTranslator, RelayHeaderTranslator, Protocol):
    """Translates to the headers of targets and of other entry hosts."""


@contextmanager
def running_gateway(
    settings: GatewaySettings, *, seeds: Callable[[], tuple[str, ...]],
    header_translator: HeaderTranslator, dialect: TargetDialect,
    drain: Drain,
) -> Iterator[Gateway]:  # fmt: skip
    """Run an entry host until the block ends.

    ``seeds`` is called again whenever it is needed, so its result may change.
    """
    with ExitStack() as stack:
        bus = stack.enter_context(running_bus(create_bus(settings)))
        clock = BootClock()
        follower = Follower(clock=clock)
        control_hosts = ControlHostList(
            seeds=seeds, domain=settings.domain, region=settings.region, clock=clock
        )
        metrics = Metrics(process=settings.name)
        limits = StatedLimits(clock=clock, metrics=metrics)
        statements = TargetStatements(limits=limits, clock=clock, metrics=metrics)
        permit_sources = _permit_sources(settings, control_hosts)
        chooser = TargetChooser(
            location=_host_location(settings),
            clock=clock,
            statements=statements,
            permits=TargetPermitClient(
                bus=bus, clock=clock, control_hosts=permit_sources, metrics=metrics
            ),
        )
        links = create_target_links(
            chooser=chooser, dialect=dialect, clock=clock, metrics=metrics
        )
        guard = RequestGuard(
            # This host's crashes alone tell less than those that control hosts know.
            evidence=CrashEvidence(clock=clock, confirming_crashes=AMBIGUOUS_CRASHES),
            clock=clock,
            metrics=metrics,
            random=Random(settings.name),
            tell=lambda message: _tell_control_hosts(bus, control_hosts, message),
        )
        crashes = CrashWatch(
            on_crash=guard.record_crash,
            executor=stack.enter_context(crash_check_threads()),
            clock=clock,
            metrics=metrics,
            is_cut_off=lambda: links.reachability.is_cut_off,
        )
        gateway = Gateway(
            settings=settings,
            follower=follower,
            chooser=chooser,
            limits=limits,
            crashes=crashes,
            links=links,
            metrics=metrics,
            clock=clock,
            drain=drain,
        )
        delivery = Delivery(
            chooser=chooser,
            connections=links.connections,
            header_translator=header_translator,
            budgets=RetryBudgets(),
            clock=clock,
            statements=statements,
            crashes=crashes,
            guard=guard,
            log=AttemptLog(
                clock=clock, metrics=metrics, copy_age=lambda: gateway.copy_age
            ),
            is_cut_off=lambda: links.reachability.is_cut_off,
            may_take=drain.may_take,
        )
        relay = create_relay(
            links,
            own=gateway.describe,
            peers=lambda: control_hosts.relay_hosts,
            header_translator=header_translator,
            metrics=metrics,
            statements=statements,
            may_take=drain.may_take,
        )
        gateway.service = _create_service(
            settings, gateway, delivery, relay, permit_sources, guard, bus
        )
        prober = create_prober(
            links, name=settings.name, on_change=gateway.apply_reachability
        )
        _start_actors(
            stack, settings, gateway, follower, control_hosts, limits, guard, bus
        )
        stack.enter_context(prober.running())
        stack.enter_context(
            serve_metrics(
                settings.metrics_address,
                lambda: _unready_reason(gateway),
                gateway.metrics,
            )
        )
        logger.bind(seeds=list(seeds()), domain=settings.domain).info(
            "gateway: started."
        )
        yield gateway
        logger.info("gateway: stopping.")


def _unready_reason(gateway: Gateway) -> str:
    if not gateway.ready:
        return "no configuration, or leaving"
    return "" if gateway.takes_callers else "the configuration may be out of date"


def _tell_control_hosts(
    bus: Bus, control_hosts: ControlHostList, message: object
) -> None:
    for name in control_hosts.names:
        bus.tell(name, message)


def _host_location(settings: GatewaySettings) -> HostLocation:
    return HostLocation(
        host=settings.name,
        domain=settings.domain,
        region=settings.region,
        regions=settings.regions,
        domain_round_trip=DOMAIN_ROUND_TRIP_SECONDS,
        region_round_trip=INITIAL_REGION_ROUND_TRIP_SECONDS,
    )


def _permit_sources(
    settings: GatewaySettings, control_hosts: ControlHostList
) -> PermitSources:
    regions = settings.regions
    return PermitSources(
        reachable=lambda: control_hosts.reachable,
        is_same_region=lambda name: (
            regions.get(control_hosts.domain_of(name)) == settings.region
        ),
    )


def _create_service(
    settings: GatewaySettings, gateway: Gateway, delivery: Delivery, relay: Relay,
    permit_sources: PermitSources, guard: RequestGuard, bus: Bus,
) -> GatewayService:  # fmt: skip
    clock = gateway.clock
    permits = PermitClient(bus=bus, clock=clock, control_hosts=permit_sources)
    return GatewayService(
        index=lambda: gateway.route_index,
        copy_age=lambda: gateway.copy_age,
        revision=lambda: gateway.revision,
        currency=gateway.currency,
        permits=permits,
        delivery=delivery,
        relay=relay,
        guard=guard,
        clock=clock,
        random=Random(settings.name),
        metrics=gateway.metrics,
        may_take=gateway.drain.may_take,
    )


def fetch_sources(
    control_hosts: ControlHostList, follower: Follower
) -> tuple[str, ...]:
    """Return the control hosts to fetch from, nearest first.

    A host that has just started waits until one replies: a fetch that is sent before
    there is a connection is lost. Later, a host may have a connection before it knows
    which control hosts reply, so it asks all in turn.
    """
    has_copy = follower.state.revision > 0
    if has_copy or control_hosts.reachable:
        return control_hosts.names_live_first
    return ()


def _start_actors(
    stack: ExitStack, settings: GatewaySettings, gateway: Gateway, follower: Follower,
    control_hosts: ControlHostList, limits: StatedLimits, guard: RequestGuard,
    bus: Bus,
) -> None:  # fmt: skip
    follower_actor = FollowerActor.start(
        follower=follower,
        sources=lambda: fetch_sources(control_hosts, follower),
        bus=bus,
        clock=gateway.clock,
        domain=settings.domain,
        timing=FETCH_TIMING,
        on_applied=gateway.apply,
    )
    presence = PresenceActor.start(
        control_hosts=control_hosts,
        bus=bus,
        clock=gateway.clock,
        describe=gateway.describe,
        limits=limits,
        guard=guard,
        currency=gateway.currency,
        on_reachable=lambda: follower_actor.tell(Tick()),
    )
    gateway.on_change(lambda: presence.tell(ReportNow()))
    for seed in control_hosts.names:
        bus.connect(seed)
    stack.enter_context(running_actor(follower_actor, interval=FOLLOWER_TICK_SECONDS))
    stack.enter_context(running_actor(presence, interval=PRESENCE_TICK_SECONDS))

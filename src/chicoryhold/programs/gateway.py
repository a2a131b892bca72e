"""One entry host of an installation whose hosts find each other through seeds."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random

import attrs
from loguru import logger

from chicoryhold.clock import BootClock
from chicoryhold.control.follower import Follower
from chicoryhold.control.follower_actor import FetchTiming, FollowerActor
from chicoryhold.gateway.delivery import Delivery, TargetHeaderTranslator
from chicoryhold.gateway.retry_budgets import RetryBudgets
from chicoryhold.gateway.service import GatewayService
from chicoryhold.hosts.actors import Tick, running_actor
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.limits.permit_client import PermitClient
from chicoryhold.membership.messages import EntryHost
from chicoryhold.membership.presence_actor import (
    Announce,
    ControlHostList,
    PresenceActor,
)
from chicoryhold.metrics import Metrics, serve_metrics
from chicoryhold.programs.host_bus import create_bus
from chicoryhold.programs.host_settings import GatewaySettings
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.routing.target_choice import HostLocation, TargetChooser
from chicoryhold.state.targets import TargetRecord, TargetState
from chicoryhold.targets.connections import TargetConnections
from chicoryhold.targets.dialect import TargetDialect

TICK = 0.25  # seconds
PRESENCE_TICK = 0.1  # seconds
FETCH_TIMING = FetchTiming(timeout=0.9, stale=1.2, pause=0.05)
CONNECT_TIMEOUT = 0.4  # seconds; two round trips to the farthest region and some
DOMAIN_DISTANCE = 0.001  # seconds there and back
REGION_DISTANCE = 0.1  # seconds there and back, before it was measured


class Gateway:
    """What the adapters of an entry host use. Safe to use from many threads."""

    def __init__(
        self, *, settings: GatewaySettings, follower: Follower, chooser: TargetChooser,
        connections: TargetConnections, clock: BootClock,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._follower = follower
        self._chooser = chooser
        self._connections = connections
        self._prepared: frozenset[str] = frozenset()
        self._clock = clock
        self._index = RouteIndex(follower.state.configuration)
        self._leaving = False
        self._announce: Callable[[], None] = lambda: None
        self._metrics = Metrics(process=settings.name)
        self._metrics.gauge("chicoryhold_revision", lambda: follower.state.revision)
        self.service: GatewayService | None = None

    @property
    def clock(self) -> BootClock:
        return self._clock

    @property
    def index(self) -> RouteIndex:
        """The configuration in force here."""
        return self._index

    @property
    def metrics(self) -> Metrics:
        return self._metrics

    @property
    def draining(self) -> bool:
        return self._leaving

    @property
    def ready(self) -> bool:
        return self._index.version > 0 and not self._leaving

    def start_draining(self) -> None:
        """Stop being named to callers; requests that come are still served."""
        self._leaving = True
        self._announce()

    def describe(self) -> EntryHost:
        return EntryHost(
            name=self._settings.name,
            domain=self._settings.domain,
            region=self._settings.region,
            address=self._settings.callers_address,
            ready=self.ready,
        )

    def apply(self) -> None:
        """Bring the newest copy of the control state into force."""
        state = self._follower.state
        was_ready = self.ready
        if state.configuration.version != self._index.version:
            self._index = RouteIndex(state.configuration)
            logger.bind(
                version=state.configuration.version,
                revision=state.revision,
                routes=len(state.configuration.routes),
            ).info("gateway: configuration applied.")
        self._chooser.update(
            state.targets,
            evacuated=state.evacuated,
            service_rule=self._index.service,
        )
        self._prepare_connections(state.targets)
        if self.ready != was_ready:
            self._announce()

    def _prepare_connections(self, targets: Iterable[TargetRecord]) -> None:
        """Have a connection to each target of another region before it is needed."""
        regions, own = self._settings.regions, self._settings.region
        addresses = frozenset(
            record.address
            for record in targets
            if record.state is TargetState.READY and regions.get(record.domain) != own
        )
        for address in addresses - self._prepared:
            self._connections.preconnect(address)
        self._prepared = addresses

    def on_change(self, announce: Callable[[], None]) -> None:
        """Call ``announce`` whenever :meth:`describe` has changed."""
        self._announce = announce


@contextmanager
def running_gateway(
    settings: GatewaySettings, *, seeds: Callable[[], tuple[str, ...]],
    header_translator: TargetHeaderTranslator, dialect: TargetDialect,
) -> Iterator[Gateway]:  # fmt: skip
    """Run an entry host until the block ends; ``seeds`` may change meanwhile."""
    with ExitStack() as stack:
        bus = stack.enter_context(running_bus(create_bus(settings)))
        clock = BootClock()
        follower = Follower(clock=clock)
        controls = ControlHostList(
            seeds=seeds, domain=settings.domain, region=settings.region, clock=clock
        )
        chooser = TargetChooser(
            location=_place(settings),
            clock=clock,
            entry_hosts=lambda: controls.entry_hosts,
        )
        connections = TargetConnections(
            clock=clock,
            dialect=dialect,
            connect_timeout=CONNECT_TIMEOUT,
            record_connect_time=chooser.record_connect_time,
        )
        gateway = Gateway(
            settings=settings,
            follower=follower,
            chooser=chooser,
            connections=connections,
            clock=clock,
        )
        delivery = Delivery(
            chooser=chooser,
            connections=connections,
            header_translator=header_translator,
            budgets=RetryBudgets(),
            clock=clock,
        )
        gateway.service = _create_service(settings, gateway, delivery, controls, bus)
        _start_actors(stack, settings, gateway, follower, controls, bus)
        stack.enter_context(
            serve_metrics(
                settings.metrics_address,
                lambda: "" if gateway.ready else "no configuration, or leaving",
                gateway.metrics,
            )
        )
        logger.bind(seeds=list(seeds()), domain=settings.domain).info(
            "gateway: started."
        )
        yield gateway
        logger.info("gateway: stopping.")


def _place(settings: GatewaySettings) -> HostLocation:
    return HostLocation(
        host=settings.name,
        domain=settings.domain,
        region=settings.region,
        regions=settings.regions,
        domain_round_trip=DOMAIN_DISTANCE,
        region_round_trip=REGION_DISTANCE,
    )


def _create_service(
    settings: GatewaySettings, gateway: Gateway, delivery: Delivery,
    controls: ControlHostList, bus: Bus,
) -> GatewayService:  # fmt: skip
    clock = gateway.clock
    regions = settings.regions
    permits = PermitClient(
        bus=bus,
        clock=clock,
        control_hosts=lambda: controls.reachable,
        is_near=lambda name: regions.get(controls.domain_of(name)) == settings.region,
    )
    return GatewayService(
        index=lambda: gateway.index,
        permits=permits,
        delivery=delivery,
        clock=clock,
        random=Random(settings.name),
        metrics=gateway.metrics,
    )


def _start_actors(
    stack: ExitStack, settings: GatewaySettings, gateway: Gateway, follower: Follower,
    controls: ControlHostList, bus: Bus,
) -> None:  # fmt: skip
    follower_actor = FollowerActor.start(
        follower=follower,
        sources=lambda: controls.live_names if controls.reachable else (),
        bus=bus,
        clock=gateway.clock,
        domain=settings.domain,
        timing=FETCH_TIMING,
        applied=gateway.apply,
    )
    presence = PresenceActor.start(
        controls=controls,
        bus=bus,
        clock=gateway.clock,
        describe=gateway.describe,
        reached=lambda: follower_actor.tell(Tick()),
    )
    gateway.on_change(lambda: presence.tell(Announce()))
    for seed in controls.names:
        bus.connect(seed)
    stack.enter_context(running_actor(follower_actor, interval=TICK))
    stack.enter_context(running_actor(presence, interval=PRESENCE_TICK))


@attrs.frozen(kw_only=True)
class DrainTiming:
    """How a stopping entry host waits, in seconds from the signal on."""

    least: float = 1.5
    max_seconds: float = 5.0
    quiet: float = 0.5


def wait_until_idle(
    in_flight: Callable[[], int], *, clock: BootClock, timing: DrainTiming
) -> None:
    """Return once no request was in flight for a while, or when time is up."""
    started = clock.now()
    quiet_since = started
    while (elapsed := clock.now() - started) < timing.max_seconds:
        if in_flight():
            quiet_since = clock.now()
        if elapsed > timing.least and clock.now() - quiet_since > timing.quiet:
            return
        time.sleep(0.05)

"""What the components of one entry host share, where the settings name all hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from chicoryhold.callers.granted_targets import GrantedTargets
from chicoryhold.claims.client import REPLICAS_PER_DOMAIN
from chicoryhold.clock import BootClock
from chicoryhold.control.follower import Follower
from chicoryhold.gateway.reachability import TargetReachability
from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.metrics import Metrics, create_meter
from chicoryhold.programs.curve_bus import create_curve_bus
from chicoryhold.settings import EntrySettings

if TYPE_CHECKING:
    from opentelemetry.metrics import Meter


@attrs.frozen(kw_only=True)
class HostContext:
    """What the components of one entry host share."""

    settings: EntrySettings
    bus: Bus
    clock: BootClock
    follower: Follower
    view: DomainView
    hosts: dict[str, tuple[str, ...]]
    reachability: TargetReachability
    granted: GrantedTargets
    meter: Meter
    metrics: Metrics

    @property
    def replicas(self) -> dict[str, tuple[str, ...]]:
        """The names of the domain replicas in each domain."""
        return {
            domain: names[:REPLICAS_PER_DOMAIN] for domain, names in self.hosts.items()
        }

    @property
    def domain_hosts(self) -> tuple[str, ...]:
        return self.hosts[self.settings.domain]


def create_bus(settings: EntrySettings) -> Bus:
    """Return a bus to all hosts that the settings name; it isn't started."""
    peers = dict(settings.replicas)
    for domain in settings.domains.values():
        peers.update(domain.hosts)
    return create_curve_bus(
        name=settings.name,
        address=settings.transport.address,
        key_folder=settings.transport.key_folder,
        peers=peers,
    )


def create_context(settings: EntrySettings, bus: Bus) -> HostContext:
    """Return the context of one host; nothing in it runs yet."""
    clock = BootClock()
    hosts = {name: tuple(domain.hosts) for name, domain in settings.domains.items()}
    replicas = hosts[settings.domain][:REPLICAS_PER_DOMAIN]
    meter = create_meter(settings.name)
    return HostContext(
        settings=settings,
        bus=bus,
        clock=clock,
        follower=Follower(clock=clock),
        view=DomainView(replicas=replicas, clock=clock),
        hosts=hosts,
        reachability=TargetReachability(clock=clock),
        granted=GrantedTargets(clock=clock),
        meter=meter,
        metrics=Metrics.for_existing_meter(meter),
    )

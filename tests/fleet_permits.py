"""The permits of all domains, with real allocators and actors on a fake network."""

from __future__ import annotations

from concurrent.futures import Future

import attrs

from chicoryhold.hosts.actors import PeerRequest
from chicoryhold.limits.control_host_calls import PermitSources
from chicoryhold.limits.known_limits import KnownLimits
from chicoryhold.limits.lenders import lenders
from chicoryhold.limits.permit_actor import PermitActor
from chicoryhold.limits.permits import Allowance, PermitAllocator
from chicoryhold.limits.target_permit_client import TargetPermitClient
from chicoryhold.limits.target_permits import TargetPermitAllocator
from chicoryhold.membership.messages import ControlHost
from chicoryhold.metrics import Metrics
from chicoryhold.routing.configuration import Configuration, OrganisationRule
from tests.conftest import FakeClock


def known_limits(configuration: Configuration) -> KnownLimits:
    """Return the limits of a control host whose copy is ``configuration``."""
    return KnownLimits(
        configuration=lambda: configuration,
        allowance_for=lambda rule: Allowance(rate=rule.rate, burst=rule.burst),
    )


class FleetPermits:
    """Control hosts of each domain. Messages to those in ``down`` are lost.

    The first one of a domain has the domain's name.
    """

    def __init__(
        self, *, clock: FakeClock, domains: tuple[str, ...], hosts_per_domain: int = 1
    ) -> None:
        self.clock = clock
        self.domains = domains
        self.down: set[str] = set()
        self.messages = 0
        self.control_hosts = tuple(
            ControlHost(name=domain + "+" * number, domain=domain, region="r")
            for domain in domains
            for number in range(hosts_per_domain)
        )
        self.actors = {
            host.name: self.start(host.name, domain=host.domain)
            for host in self.control_hosts
        }

    def start(self, name: str, *, domain: str = "") -> PermitActor:
        """Return the actor of a control host that has just started."""
        domain = domain or name
        return PermitActor(
            allocator=PermitAllocator(
                domains=len(self.domains),
                allowance_of=lambda name: None,
                clock=self.clock,
            ),
            target_allocator=TargetPermitAllocator(
                domain=domain, domains=self.domains, clock=self.clock
            ),
            bus=_Bus(fleet=self, sender=name),
            clock=self.clock,
            peers=lambda: lenders(self.control_hosts, domain=domain),
            knows_limits=lambda: True,
            limits=known_limits(
                Configuration(version=1, organisations=(OrganisationRule(name="o"),))
            ),
        )

    def deliver(self, sender: str, receiver: str, message: object) -> Future:
        reply: Future = Future()
        self.messages += 1
        if receiver not in self.down and sender not in self.down:
            request = PeerRequest(sender=sender, message=message, reply=reply)
            self.actors[receiver].on_receive(request)
        return reply

    def client(self, number: int) -> TargetPermitClient:
        """Return the client of a host, which is in each domain in turn."""
        own = self.domains[number % len(self.domains)]
        nearest_first = (own, *(each for each in self.domains if each != own))
        return TargetPermitClient(
            bus=_Bus(fleet=self, sender=f"host {number}"),
            clock=self.clock,
            control_hosts=PermitSources(
                reachable=lambda: tuple(
                    each for each in nearest_first if each not in self.down
                ),
                is_same_region=lambda name: True,
            ),
            metrics=Metrics(process="test"),
        )


@attrs.frozen(kw_only=True)
class _Bus:
    fleet: FleetPermits
    sender: str

    def tell(self, peer: str, message: object) -> None:
        self.fleet.deliver(self.sender, peer, message)

    def call(
        self, peer: str, message: object, *, timeout: float, on_late=None
    ) -> object:
        return self.fleet.deliver(self.sender, peer, message).result(timeout=0)

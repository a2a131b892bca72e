"""The configuration: routes, services and organisations, accepted as one document."""

from __future__ import annotations

from chicoryhold.codec import message

LONGEST_TIMEOUT = 600.0


@message
class WeightedService:
    """A service that gets ``weight`` parts of a route's requests."""

    service: str
    weight: float


@message
class RouteRule:
    """How requests for ``host`` whose path starts with ``prefix`` are treated.

    ``timeout`` and ``objective`` in seconds, 0 for none. Rank 0 is the most urgent.
    ``repeatable`` requests may run more than once. ``homes`` are the only regions in
    which a request may run; empty means any.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[WeightedService, ...]
    repeatable: bool = True
    attempts: int = 1
    timeout: float = 0.0
    objective: float = 0.0
    rank: int = 0
    open: bool = False
    sticky: bool = False
    homes: tuple[str, ...] = ()


@message
class ServiceRule:
    """``cold_rate`` in requests per second that a cold target bears."""

    name: str
    health_path: str = ""
    connection_limit: int = 0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@message
class OrganisationRule:
    """``rate`` in requests per second, ``burst`` in requests; 0 means no limit."""

    name: str
    keys: tuple[str, ...] = ()
    rank: int = 0
    rate: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()


@message
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout: float = 30.0
    idle_timeout: float = 30.0


@message
class Configuration:
    """One version of everything that operators decide about requests."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    organisations: tuple[OrganisationRule, ...] = ()
    limits: CallerLimits = CallerLimits()


def validation_errors(configuration: Configuration) -> tuple[str, ...]:
    """Return what is wrong, each with the place, the value and the remedy."""
    services = {service.name for service in configuration.services}
    faults = [
        fault
        for route in configuration.routes
        for fault in _route_faults(route, services)
    ]
    faults += _shared_keys(configuration.organisations)
    return tuple(faults)


def _route_faults(route: RouteRule, services: set[str]) -> list[str]:
    place = f"route {route.name!r}"
    faults = []
    if not route.host:
        faults.append(f"{place}: host is empty: name the host")
    if not route.prefix.startswith("/"):
        faults.append(f"{place}: prefix {route.prefix!r}: begin it with a slash")
    if not route.parts:
        faults.append(f"{place}: no service: name one, or a split")
    for part in route.parts:
        if part.service not in services:
            faults.append(f"{place}: service {part.service!r} is unknown: define it")
        if part.weight < 0:
            faults.append(f"{place}: weight {part.weight:g}: write 0 or more")
    if route.timeout > LONGEST_TIMEOUT:
        faults.append(
            f"{place}: timeout {route.timeout:g} s: write {LONGEST_TIMEOUT:g} at most"
        )
    if route.timeout < 0 or route.attempts < 0:
        faults.append(f"{place}: a timeout and attempts can't be negative")
    return faults


def _shared_keys(organisations: tuple[OrganisationRule, ...]) -> list[str]:
    holders: dict[str, str] = {}
    faults = []
    for organisation in organisations:
        for key in organisation.keys:
            holder = holders.setdefault(key, organisation.name)
            if holder != organisation.name:
                faults.append(
                    f"organisations {holder!r} and {organisation.name!r} share a key: "
                    "give each its own"
                )
    return faults

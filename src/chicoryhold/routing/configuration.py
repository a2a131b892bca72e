"""Configuration of routes, services and organisations.

A new version replaces the whole of the previous one.
"""

from __future__ import annotations

from chicoryhold.codec import message

MAX_TIMEOUT_SECONDS = 600.0


@message
class WeightedService:
    """A service that gets a share of a route's requests in proportion to ``weight``."""

    service: str
    weight: float


@message
class RouteRule:
    """How requests for ``host`` whose path starts with ``prefix`` are handled.

    ``timeout`` and the latency ``objective`` are in seconds, 0 for none. ``attempts``
    is the number of times that a request may be sent, including the first one. Rank 0
    is the most urgent. ``repeatable`` requests may run more than once. Requests on
    ``open`` routes need no key. ``homes`` are the only regions that a request may run
    in; empty means any.
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
    """Settings of one service.

    ``cold_seconds`` is how long a target is treated as cold after the evacuation of
    its domain has ended; after its start, the target itself reports how long it stays
    cold. ``cold_rate`` is the number of requests per second that a cold target can
    handle.
    """

    name: str
    health_path: str = ""
    connection_limit: int = 0
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@message
class OrganisationRule:
    """Settings of one organisation.

    ``rate`` is in requests per second, ``burst`` in requests; 0 means no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    rank: int = 0
    rate: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()


@message
class CallerLimits:
    """Limits on the requests of callers; sizes in bytes, times in seconds."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout: float = 30.0
    idle_timeout: float = 30.0


@message
class Configuration:
    """One version of all settings by which operators control requests."""

    version: int
    routes: tuple[RouteRule, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    organisations: tuple[OrganisationRule, ...] = ()
    limits: CallerLimits = CallerLimits()


def validation_errors(configuration: Configuration) -> tuple[str, ...]:
    """Return all errors; each names the item, the invalid value and the remedy."""
    services = {service.name for service in configuration.services}
    errors = [
        error
        for route in configuration.routes
        for error in _route_errors(route, services)
    ]
    errors += _shared_key_errors(configuration.organisations)
    return tuple(errors)


def _route_errors(route: RouteRule, services: set[str]) -> list[str]:
    label = f"route {route.name!r}"
    errors = []
    if not route.host:
        errors.append(f"{label}: host is empty: set the host name")
    if not route.prefix.startswith("/"):
        errors.append(f"{label}: prefix {route.prefix!r}: must start with '/'")
    if not route.parts:
        errors.append(f"{label}: no service: set a service or a split")
    for part in route.parts:
        if part.service not in services:
            errors.append(f"{label}: service {part.service!r} is unknown: define it")
        if part.weight < 0:
            errors.append(f"{label}: weight {part.weight:g}: must be 0 or more")
    if route.timeout > MAX_TIMEOUT_SECONDS:
        errors.append(
            f"{label}: timeout {route.timeout:g} s: "
            f"must be at most {MAX_TIMEOUT_SECONDS:g} s"
        )
    if route.timeout < 0 or route.attempts < 0:
        errors.append(f"{label}: timeout and attempts must not be negative")
    return errors


def _shared_key_errors(organisations: tuple[OrganisationRule, ...]) -> list[str]:
    owner_by_key: dict[str, str] = {}
    errors = []
    for organisation in organisations:
        for key in organisation.keys:
            owner = owner_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                errors.append(
                    f"organisations {owner!r} and {organisation.name!r} share a key: "
                    "give each its own key"
                )
    return errors

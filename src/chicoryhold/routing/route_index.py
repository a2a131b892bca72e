"""Looks up routes, organisations and services of one configuration."""

from __future__ import annotations

from chicoryhold.routing.configuration import (
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
)


class RouteIndex:
    """A configuration arranged for look-ups; it never changes."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes: dict[str, list[RouteRule]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._organisations = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self._by_name = {rule.name: rule for rule in configuration.organisations}
        self._services = {rule.name: rule for rule in configuration.services}

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    @property
    def version(self) -> int:
        return self._configuration.version

    def route(self, *, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def has_organisations(self) -> bool:
        return bool(self._by_name)

    def organisation_of(self, key: str | None) -> OrganisationRule | None:
        return self._organisations.get(key) if key else None

    def organisation(self, name: str) -> OrganisationRule | None:
        return self._by_name.get(name)

    def service(self, name: str) -> ServiceRule:
        return self._services.get(name) or ServiceRule(name=name)

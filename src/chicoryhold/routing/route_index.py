"""Index of the routes, organisations and services of one configuration."""

from __future__ import annotations

from chicoryhold.routing.configuration import (
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
)


class RouteIndex:
    """An immutable index over one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._routes_by_host: dict[str, list[RouteRule]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._organisations_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        self._organisations_by_name = {
            rule.name: rule for rule in configuration.organisations
        }
        self._services_by_name = {rule.name: rule for rule in configuration.services}

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    @property
    def version(self) -> int:
        return self._configuration.version

    def route(self, *, host: str, path: str) -> RouteRule | None:
        """Return the route of ``host`` with the longest prefix that ``path`` has.

        A port in ``host`` counts only if a configured host has the same.
        """
        name = host.lower()
        routes = self._routes_by_host.get(name)
        if routes is None and ":" in name:
            routes = self._routes_by_host.get(name.rpartition(":")[0])
        for route in routes or ():
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def has_organisations(self) -> bool:
        return bool(self._organisations_by_name)

    def organisation_by_key(self, key: str | None) -> OrganisationRule | None:
        return self._organisations_by_key.get(key) if key else None

    def organisation(self, name: str) -> OrganisationRule | None:
        return self._organisations_by_name.get(name)

    def service(self, name: str) -> ServiceRule:
        """Return the service's rule, or one with the defaults if it has none."""
        return self._services_by_name.get(name) or ServiceRule(name=name)

"""A configuration whose rules are found by name, so that two can be compared."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from chicoryhold.routing.configuration import (
    CallerLimits,
    Configuration,
    OrganisationRule,
    RouteRule,
    ServiceRule,
)
from chicoryhold.state.object_index import ObjectIndex, ObjectKey, numbered

Rule = RouteRule | ServiceRule | OrganisationRule

ROUTE_KIND = "route"
SERVICE_KIND = "service"
ORGANISATION_KIND = "organisation rule"
RULE_KINDS = (ROUTE_KIND, SERVICE_KIND, ORGANISATION_KIND)
SETTINGS_KEY: ObjectKey = ("configuration",)


@attrs.frozen(kw_only=True)
class KeyedConfiguration:
    """Immutable. The order of rules matters only among those of the same name."""

    version: int = 0
    limits: CallerLimits = CallerLimits()
    rules: Mapping[ObjectKey, Rule] = attrs.field(factory=dict)

    @classmethod
    def of(cls, configuration: Configuration) -> KeyedConfiguration:
        rules: dict[ObjectKey, Rule] = {}
        rules.update(_keyed(ROUTE_KIND, configuration.routes))
        rules.update(_keyed(SERVICE_KIND, configuration.services))
        rules.update(_keyed(ORGANISATION_KIND, configuration.organisations))
        return cls(
            version=configuration.version, limits=configuration.limits, rules=rules
        )

    @property
    def configuration(self) -> Configuration:
        by_kind: dict[str, list[Rule]] = {}
        for key, rule in self.rules.items():
            by_kind.setdefault(key[0], []).append(rule)
        return Configuration(
            version=self.version,
            routes=tuple(by_kind.get(ROUTE_KIND, ())),
            services=tuple(by_kind.get(SERVICE_KIND, ())),
            organisations=tuple(by_kind.get(ORGANISATION_KIND, ())),
            limits=self.limits,
        )

    def index_changes(
        self, former: KeyedConfiguration, index: ObjectIndex, *, revision: int
    ) -> None:
        """Record in ``index`` what differs from ``former`` since ``revision``."""
        index.put(SETTINGS_KEY, (self.version, self.limits), revision=revision)
        for key, rule in self.rules.items():
            if former.rules.get(key) != rule:
                index.put(key, rule, revision=revision)
        for key in former.rules:
            if key not in self.rules:
                index.remove(key, revision=revision)

    def with_changes(
        self, *, version: int, limits: CallerLimits, changed: Iterable[Rule],
        names: Iterable[ObjectKey], removed: Iterable[ObjectKey],
    ) -> KeyedConfiguration:  # fmt: skip
        """Return this one with ``changed`` rules, named ``names`` in this order."""
        rules = dict(self.rules)
        for key in removed:
            rules.pop(key, None)
        rules.update(zip(names, changed, strict=True))
        return KeyedConfiguration(version=version, limits=limits, rules=rules)


def _keyed(kind: str, rules: Iterable[Rule]) -> Iterable[tuple[ObjectKey, Rule]]:
    rules = tuple(rules)
    return zip(numbered(_key(kind, rule) for rule in rules), rules, strict=True)


def _key(kind: str, rule: Rule) -> ObjectKey:
    if isinstance(rule, RouteRule):
        return (kind, rule.host.lower(), rule.prefix)
    return (kind, rule.name)

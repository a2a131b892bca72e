"""The difference between two revisions of the control state.

Its size follows the objects that differ, not the number of changes between the two.
"""

from __future__ import annotations

from collections.abc import Iterable

from chicoryhold.codec import message
from chicoryhold.routing.configuration import (
    CallerLimits,
    OrganisationRule,
    RouteRule,
    ServiceRule,
)
from chicoryhold.state.changes import StartShift
from chicoryhold.state.keyed_configuration import (
    ORGANISATION_KIND,
    ROUTE_KIND,
    SERVICE_KIND,
    KeyedConfiguration,
    Rule,
)
from chicoryhold.state.object_index import ObjectKey
from chicoryhold.state.records import KeyRecord
from chicoryhold.state.targets import TargetRecord


@message
class RuleChanges:
    """Rules of a configuration that differ, with their names, and those removed."""

    version: int
    limits: CallerLimits
    route_names: tuple[ObjectKey, ...] = ()
    routes: tuple[RouteRule, ...] = ()
    service_names: tuple[ObjectKey, ...] = ()
    services: tuple[ServiceRule, ...] = ()
    organisation_names: tuple[ObjectKey, ...] = ()
    organisations: tuple[OrganisationRule, ...] = ()
    removed: tuple[ObjectKey, ...] = ()


@message
class StateDelta:
    """All that differs between the revision ``after`` and ``revision``.

    Objects have their value at ``revision``, so it can be applied to any copy between
    the two, more than once. What is ``None`` hasn't changed. ``digest`` and
    ``checksum`` are those of the state at ``revision``.
    """

    after: int
    revision: int
    digest: bytes
    checksum: int
    table: str | None = None
    table_revision: int = 0
    organisations: tuple[str, ...] = ()
    keys: dict[str, KeyRecord] = {}
    shifts: dict[str, StartShift] | None = None
    stops: tuple[str, ...] | None = None
    evacuated: tuple[str, ...] | None = None
    targets: tuple[TargetRecord, ...] = ()
    removed_targets: tuple[str, ...] = ()
    rules: RuleChanges | None = None


def rule_changes(
    configuration: KeyedConfiguration, names: Iterable[ObjectKey]
) -> RuleChanges:
    """Return the rules ``names`` as they are in ``configuration``, or aren't."""
    kept: dict[str, list[ObjectKey]] = {
        ROUTE_KIND: [],
        SERVICE_KIND: [],
        ORGANISATION_KIND: [],
    }
    removed = []
    for name in sorted(names):
        if name in configuration.rules:
            kept[name[0]].append(name)
        else:
            removed.append(name)

    def rules(kind: str) -> tuple[Rule, ...]:
        return tuple(configuration.rules[name] for name in kept[kind])

    return RuleChanges(
        version=configuration.version,
        limits=configuration.limits,
        route_names=tuple(kept[ROUTE_KIND]),
        routes=rules(ROUTE_KIND),
        service_names=tuple(kept[SERVICE_KIND]),
        services=rules(SERVICE_KIND),
        organisation_names=tuple(kept[ORGANISATION_KIND]),
        organisations=rules(ORGANISATION_KIND),
        removed=tuple(removed),
    )


def apply_rule_changes(
    configuration: KeyedConfiguration, changes: RuleChanges
) -> KeyedConfiguration:
    return configuration.with_changes(
        version=changes.version,
        limits=changes.limits,
        names=(
            *changes.route_names,
            *changes.service_names,
            *changes.organisation_names,
        ),
        changed=(*changes.routes, *changes.services, *changes.organisations),
        removed=changes.removed,
    )

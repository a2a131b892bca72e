"""The objects that the control state consists of, and the difference between two."""

from __future__ import annotations

from chicoryhold.routing.configuration import Configuration
from chicoryhold.state.changes import StartShift
from chicoryhold.state.delta import StateDelta, apply_rule_changes, rule_changes
from chicoryhold.state.keyed_configuration import (
    RULE_KINDS,
    SETTINGS_KEY,
    KeyedConfiguration,
)
from chicoryhold.state.object_index import ObjectIndex, ObjectKey
from chicoryhold.state.records import KeyRecord, StateImage
from chicoryhold.state.table import EMPTY_TABLE, Table, parse_table
from chicoryhold.state.targets import TargetRecord, TargetRecords

_TABLE: ObjectKey = ("table",)
_SHIFTS: ObjectKey = ("shifts",)
_STOPS: ObjectKey = ("stops",)
_EVACUATED: ObjectKey = ("evacuated",)
_ORGANISATION = "organisation"
_KEY = "key"
_TARGET = "target"


class StateObjects:
    """Holds the objects, and knows at which revision each of them last changed.

    One thread changes it, and passes the revision that the change creates. Any thread
    may read a single attribute.
    """

    def __init__(self) -> None:
        self._index = ObjectIndex()
        self._table_text = EMPTY_TABLE
        self._table = Table()
        self._table_revision = 0
        self._organisations: set[str] = set()
        self._keys: dict[str, KeyRecord] = {}
        self._shifts: dict[str, StartShift] = {}
        self._stops: set[str] = set()
        self._evacuated: set[str] = set()
        self._targets = TargetRecords()
        self._rules = KeyedConfiguration()
        self._configuration = self._rules.configuration

    @classmethod
    def of(cls, image: StateImage) -> StateObjects:
        """Return the objects of ``image``. No delta from an earlier one is known."""
        objects = cls()
        revision = image.revision
        objects._index = ObjectIndex(oldest_base=revision)
        if image.table_revision > 0:
            objects.put_table(image.table, revision)
            objects._table_revision = image.table_revision
        for name in image.organisations:
            objects.add_organisation(name, revision)
        for digest, record in image.keys.items():
            objects.put_key(digest, record, revision)
        objects.put_shifts(image.shifts, revision)
        objects.put_stops(frozenset(image.stops), revision)
        objects.put_evacuated(frozenset(image.evacuated), revision)
        objects.put_targets(TargetRecords(image.targets), revision)
        if image.configuration.version > 0:
            objects.put_configuration(image.configuration, revision)
        return objects

    @property
    def oldest_base(self) -> int:
        """The oldest revision for which :meth:`delta` is known."""
        return self._index.oldest_base

    @property
    def checksum(self) -> int:
        return self._index.checksum

    @property
    def table(self) -> Table:
        return self._table

    @property
    def table_text(self) -> str:
        return self._table_text

    @property
    def table_revision(self) -> int:
        return self._table_revision

    @property
    def organisations(self) -> set[str]:
        return self._organisations

    @property
    def keys(self) -> dict[str, KeyRecord]:
        return self._keys

    @property
    def shifts(self) -> dict[str, StartShift]:
        return self._shifts

    @property
    def stops(self) -> set[str]:
        return self._stops

    @property
    def evacuated(self) -> set[str]:
        return self._evacuated

    @property
    def targets(self) -> TargetRecords:
        return self._targets

    @property
    def configuration(self) -> Configuration:
        return self._configuration

    def put_table(self, text: str, revision: int) -> None:
        self._table_text = text
        self._table = parse_table(text)
        self._table_revision = revision
        self._index.put(_TABLE, text, revision=revision)

    def add_organisation(self, name: str, revision: int) -> None:
        self._organisations.add(name)
        self._index.put((_ORGANISATION, name), name, revision=revision)

    def put_key(self, digest: str, record: KeyRecord, revision: int) -> None:
        self._keys[digest] = record
        self._index.put((_KEY, digest), record, revision=revision)

    def put_shifts(self, shifts: dict[str, StartShift], revision: int) -> None:
        self._shifts = dict(shifts)
        self._index_set(_SHIFTS, tuple(shifts.values()), revision)

    def put_stops(self, hosts: frozenset[str], revision: int) -> None:
        self._stops = set(hosts)
        self._index_set(_STOPS, tuple(sorted(hosts)), revision)

    def put_evacuated(self, domains: frozenset[str], revision: int) -> None:
        self._evacuated = set(domains)
        self._index_set(_EVACUATED, tuple(sorted(domains)), revision)

    def record_targets(self, records: tuple[TargetRecord, ...], revision: int) -> None:
        """Store those of ``records`` that are newer than what is known."""
        targets = self._targets.copy()
        for record in records:
            targets.put(record)
        self.put_targets(targets, revision)

    def put_targets(self, targets: TargetRecords, revision: int) -> None:
        former, self._targets = self._targets, targets
        for record in targets:
            if former.get(record.instance) is not record:
                key = (_TARGET, record.instance)
                self._index.put(key, record, revision=revision)
        for record in former:
            if targets.get(record.instance) is None:
                self._index.remove((_TARGET, record.instance), revision=revision)

    def put_configuration(self, configuration: Configuration, revision: int) -> None:
        rules = KeyedConfiguration.of(configuration)
        rules.index_changes(self._rules, self._index, revision=revision)
        self._rules = rules
        self._configuration = configuration

    def delta(self, *, after: int, revision: int, digest: bytes) -> StateDelta:
        """Return what differs from these objects as they were at ``after``.

        ``after`` must be at least :attr:`oldest_base`; ``revision`` and ``digest`` are
        those of now.
        """
        changed: dict[str, list[ObjectKey]] = {}
        for key in reversed(tuple(self._index.changed_after(after))):
            changed.setdefault(key[0], []).append(key)
        instances = [key[1] for key in changed.get(_TARGET, ())]
        records = [self._targets.get(instance) for instance in instances]
        rules = [key for kind in RULE_KINDS for key in changed.get(kind, ())]
        has_rules = SETTINGS_KEY[0] in changed
        return StateDelta(
            after=after,
            revision=revision,
            digest=digest,
            checksum=self._index.checksum,
            table=self._table_text if _TABLE[0] in changed else None,
            table_revision=self._table_revision,
            organisations=tuple(key[1] for key in changed.get(_ORGANISATION, ())),
            keys={key[1]: self._keys[key[1]] for key in changed.get(_KEY, ())},
            shifts=dict(self._shifts) if _SHIFTS[0] in changed else None,
            stops=tuple(sorted(self._stops)) if _STOPS[0] in changed else None,
            evacuated=(
                tuple(sorted(self._evacuated)) if _EVACUATED[0] in changed else None
            ),
            targets=tuple(record for record in records if record is not None),
            removed_targets=tuple(
                instance
                for instance, record in zip(instances, records, strict=True)
                if record is None
            ),
            rules=rule_changes(self._rules, rules) if has_rules else None,
        )

    def apply_delta(self, delta: StateDelta) -> bool:
        """Apply ``delta``; return whether the result is what it was made from.

        These objects must be those of a revision between the two of ``delta``.
        """
        revision = delta.revision
        if delta.table is not None:
            self.put_table(delta.table, revision)
            self._table_revision = delta.table_revision
        for name in delta.organisations:
            self.add_organisation(name, revision)
        for digest, record in delta.keys.items():
            self.put_key(digest, record, revision)
        if delta.shifts is not None:
            self.put_shifts(delta.shifts, revision)
        if delta.stops is not None:
            self.put_stops(frozenset(delta.stops), revision)
        if delta.evacuated is not None:
            self.put_evacuated(frozenset(delta.evacuated), revision)
        if delta.targets or delta.removed_targets:
            targets = self._targets.replaced(delta.targets, delta.removed_targets)
            self.put_targets(targets, revision)
        if delta.rules is not None:
            rules = apply_rule_changes(self._rules, delta.rules)
            rules.index_changes(self._rules, self._index, revision=revision)
            self._rules = rules
            self._configuration = rules.configuration
        return self._index.checksum == delta.checksum

    def _index_set(self, key: ObjectKey, members: tuple, revision: int) -> None:
        """Index a small set as one object, and an empty one as none."""
        if members:
            self._index.put(key, members, revision=revision)
        else:
            self._index.remove(key, revision=revision)

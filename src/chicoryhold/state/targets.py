"""Target records in the replicated state, and which report supersedes which."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

import attrs

from chicoryhold.codec import message

MAX_GONE_RECORDS = 500


class TargetState(enum.Enum):
    """The state of a target.

    A ``SILENT`` target has stopped reporting. Its next report makes it available
    again.
    """

    READY = "ready"
    SILENT = "silent"
    DRAINING = "draining"
    GONE = "gone"


# A process in one of these states can't become READY or SILENT again.
_LEAVING = (TargetState.DRAINING, TargetState.GONE)


@message
class TargetRecord:
    """One process that serves requests.

    ``born_ms`` is its start time in Unix milliseconds, by which a restarted instance,
    or a new one at the same address, is distinguished from the earlier one.
    ``sequence`` orders the reports of one process. ``cold_seconds`` is the rest of
    its cold-start period at the time of the report.
    """

    instance: str
    born_ms: int
    sequence: int
    address: str
    service: str
    domain: str
    slots: int
    state: TargetState
    cold_seconds: float = 0.0
    version: str = ""


@attrs.frozen(kw_only=True)
class TargetProcess:
    """Names one process of a target, by the same fields as its record."""

    instance: str
    born_ms: int


def process_of(record: TargetRecord) -> TargetProcess:
    return TargetProcess(instance=record.instance, born_ms=record.born_ms)


@attrs.frozen(kw_only=True)
class _Index:
    """The records by instance, and the instance at each address. Never changed."""

    records: Mapping[str, TargetRecord]
    owners: Mapping[str, str]

    @classmethod
    def of(cls, records: Iterable[TargetRecord]) -> _Index:
        by_instance = {record.instance: record for record in records}
        owners = {
            record.address: record.instance
            for record in by_instance.values()
            if record.state is not TargetState.GONE
        }
        return cls(records=by_instance, owners=owners)

    def owner(self, address: str) -> TargetRecord | None:
        """Return the record of the instance at ``address``."""
        return self.records.get(self.owners.get(address, ""))


class TargetRecords:
    """The newest record of each instance.

    Of the instances that are gone, the last ``MAX_GONE_RECORDS`` are kept, so that a
    delayed report can't bring them back.

    Only one thread may call :meth:`put`. Any thread may read, since each change
    replaces the whole index.
    """

    def __init__(self, records: tuple[TargetRecord, ...] = ()) -> None:
        self._index = _Index.of(records)

    def __iter__(self):
        return iter(tuple(self._index.records.values()))

    def get(self, instance: str) -> TargetRecord | None:
        return self._index.records.get(instance)

    def copy(self) -> TargetRecords:
        """Return the same records, which later calls of :meth:`put` don't change."""
        other = TargetRecords()
        other._index = self._index
        return other

    def replaced(
        self, records: Iterable[TargetRecord], removed: Iterable[str]
    ) -> TargetRecords:
        """Return these with ``records`` as given, and without those ``removed``."""
        by_instance = dict(self._index.records)
        for instance in removed:
            by_instance.pop(instance, None)
        by_instance.update({record.instance: record for record in records})
        return TargetRecords(tuple(by_instance.values()))

    def is_newer(self, record: TargetRecord) -> bool:
        """Return whether ``record`` is newer than the stored records it concerns.

        These are the record of its instance and that of the instance which has its
        address.
        """
        index = self._index
        known = index.records.get(record.instance)
        if known is not None and not _supersedes(record, known):
            return False
        owner = index.owner(record.address)
        if owner is None or owner.instance == record.instance:
            return True
        return record.born_ms > owner.born_ms

    def put(self, record: TargetRecord) -> bool:
        """Store ``record`` if it is newer; return whether it was stored."""
        if not self.is_newer(record):
            return False
        records = dict(self._index.records)
        owners = dict(self._index.owners)
        _release_address(records, owners, record)
        records.pop(record.instance, None)
        records[record.instance] = record
        if record.state is TargetState.GONE:
            _evict_oldest_gone(records)
        else:
            owners[record.address] = record.instance
        self._index = _Index(records=records, owners=owners)
        return True


def _release_address(
    records: dict[str, TargetRecord], owners: dict[str, str], record: TargetRecord
) -> None:
    known = records.get(record.instance)
    if known and owners.get(known.address) == record.instance:
        del owners[known.address]
    owner = records.get(owners.get(record.address, ""))
    if owner is not None and owner.instance != record.instance:
        records[owner.instance] = attrs.evolve(owner, state=TargetState.GONE)
        del owners[record.address]


def _evict_oldest_gone(records: dict[str, TargetRecord]) -> None:
    gone = [r.instance for r in records.values() if r.state is TargetState.GONE]
    for instance in gone[: max(0, len(gone) - MAX_GONE_RECORDS)]:
        del records[instance]


def _supersedes(record: TargetRecord, known: TargetRecord) -> bool:
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.state is TargetState.GONE:
        return False
    if record.state is TargetState.GONE:
        return True
    if known.state in _LEAVING and record.state not in _LEAVING:
        return False
    return record.sequence >= known.sequence and record != known

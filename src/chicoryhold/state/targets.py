"""Targets as the replicated state knows them, and which report of one wins."""

from __future__ import annotations

import enum

import attrs

from chicoryhold.codec import message

REMEMBERED_GONE = 500


class TargetState(enum.Enum):
    """``SILENT`` targets stopped reporting; they come back by reporting again."""

    READY = "ready"
    SILENT = "silent"
    DRAINING = "draining"
    GONE = "gone"


_FINAL = (TargetState.DRAINING, TargetState.GONE)


@message
class TargetRecord:
    """One process that answers requests.

    ``born_ms`` (Unix milliseconds of its start) tells incarnations of an address or
    an instance apart; ``sequence`` orders the reports of one incarnation.
    ``cold_seconds`` is how long it stays cold, counted from the report.
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


class TargetRecords:
    """The newest record of each instance, with those that are gone for a while."""

    def __init__(self, records: tuple[TargetRecord, ...] = ()) -> None:
        self._records = {record.instance: record for record in records}
        self._owners: dict[str, str] = {}
        for record in records:
            if record.state is not TargetState.GONE:
                self._owners[record.address] = record.instance

    def __iter__(self):
        return iter(tuple(self._records.values()))

    def get(self, instance: str) -> TargetRecord | None:
        return self._records.get(instance)

    def is_newer(self, record: TargetRecord) -> bool:
        """Whether ``record`` tells something newer than what is known."""
        known = self._records.get(record.instance)
        if known is not None and not _supersedes(record, known):
            return False
        owner = self._records.get(self._owners.get(record.address, ""))
        if owner is None or owner.instance == record.instance:
            return True
        return record.born_ms > owner.born_ms

    def put(self, record: TargetRecord) -> bool:
        """Take ``record`` if it wins; returns whether it did."""
        if not self.is_newer(record):
            return False
        self._release_address(record)
        self._records.pop(record.instance, None)
        self._records[record.instance] = record
        if record.state is TargetState.GONE:
            self._forget_oldest_gone()
        else:
            self._owners[record.address] = record.instance
        return True

    def _release_address(self, record: TargetRecord) -> None:
        known = self._records.get(record.instance)
        if known and self._owners.get(known.address) == record.instance:
            del self._owners[known.address]
        owner = self._records.get(self._owners.get(record.address, ""))
        if owner is not None and owner.instance != record.instance:
            self._records[owner.instance] = attrs.evolve(owner, state=TargetState.GONE)
            del self._owners[record.address]

    def _forget_oldest_gone(self) -> None:
        gone = [r.instance for r in self if r.state is TargetState.GONE]
        for instance in gone[: max(0, len(gone) - REMEMBERED_GONE)]:
            del self._records[instance]


def _supersedes(record: TargetRecord, known: TargetRecord) -> bool:
    if record.born_ms != known.born_ms:
        return record.born_ms > known.born_ms
    if known.state is TargetState.GONE:
        return False
    if record.state is TargetState.GONE:
        return True
    if known.state in _FINAL and record.state not in _FINAL:
        return False
    return record.sequence >= known.sequence and record != known

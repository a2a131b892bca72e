"""The outcomes that resends get, by request id."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from chicoryhold.state.changes import Outcome
from chicoryhold.state.records import RequestRecord

MAX_RECORDS = 100_000
MAX_BYTES = 8_388_608
MAX_TEXT_CHARACTERS = 2_000
RECORD_BYTES = 200  # of a record without its texts


class RequestRecords:
    """Keeps the newest records, up to ``max_records`` and ``MAX_BYTES`` of them.

    What is kept depends on the records alone, so that all replicas keep the same.
    """

    def __init__(self, *, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: dict[str, RequestRecord] = {}
        self._size = 0

    @property
    def records(self) -> Mapping[str, RequestRecord]:
        """The records by request id, oldest first."""
        return self._records

    def get(self, request_id: str) -> RequestRecord | None:
        return self._records.get(request_id)

    def put(self, request_id: str, *, digest: bytes, outcome: Outcome) -> None:
        """Add the record of a request id that has none; long texts are cut."""
        record = RequestRecord(digest=digest, outcome=_with_short_texts(outcome))
        self._add(request_id, record)

    def replace(self, records: Mapping[str, RequestRecord]) -> None:
        """Keep the newest of ``records`` in place of what is kept."""
        self._records = {}
        self._size = 0
        for request_id, record in records.items():
            self._add(request_id, record)

    def _add(self, request_id: str, record: RequestRecord) -> None:
        self._records[request_id] = record
        self._size += _size_of(request_id, record)
        while len(self._records) > self._max_records or self._size > MAX_BYTES:
            oldest = next(iter(self._records))
            self._size -= _size_of(oldest, self._records.pop(oldest))


def _size_of(request_id: str, record: RequestRecord) -> int:
    outcome = record.outcome
    texts = (request_id, outcome.reason, outcome.difference)
    return RECORD_BYTES + sum(len(text) for text in texts)


def _with_short_texts(outcome: Outcome) -> Outcome:
    if len(outcome.reason) + len(outcome.difference) <= MAX_TEXT_CHARACTERS:
        return outcome
    return attrs.evolve(
        outcome, reason=_cut(outcome.reason), difference=_cut(outcome.difference)
    )


def _cut(text: str) -> str:
    if len(text) <= MAX_TEXT_CHARACTERS:
        return text
    return f"{text[:MAX_TEXT_CHARACTERS]} [cut: {len(text)} characters]"

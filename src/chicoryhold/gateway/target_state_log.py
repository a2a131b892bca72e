"""Logs when this host's copy of the control state learns that targets leave."""

from __future__ import annotations

from collections.abc import Iterable

from loguru import logger

from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord, TargetState

MAX_LINES = 20  # for one copy; further targets are only counted
NOT_IN_COPY = "absent"


class TargetStateLog:
    """Compares each copy of the targets with the one before it. Not thread-safe."""

    def __init__(self, *, metrics: Metrics) -> None:
        self._metrics = metrics
        self._known: dict[str, TargetRecord] = {}

    def record(
        self, records: Iterable[TargetRecord], *, revision: int, age: float
    ) -> None:
        """Log the targets that drain or are gone by the copy of ``revision``.

        ``age`` is the seconds since that copy was confirmed to be the newest. Targets
        that were gone before this host knew them aren't logged.
        """
        known, self._known = self._known, {each.instance: each for each in records}
        learned = 0
        for record in self._known.values():
            before = known.get(record.instance)
            if _has_left(record, before):
                learned += 1
                if learned <= MAX_LINES:
                    state = record.state.value
                    _log(record, before, state=state, revision=revision, age=age)
                self._count(record.state.value)
        for record in known.values():
            is_gone = record.state is TargetState.GONE
            if record.instance not in self._known and not is_gone:
                learned += 1
                if learned <= MAX_LINES:
                    _log(record, record, state=NOT_IN_COPY, revision=revision, age=age)
                self._count(NOT_IN_COPY)
        if learned > MAX_LINES:
            logger.bind(
                targets=learned - MAX_LINES, revision=revision, age=round(age, 2)
            ).info("gateway: the copy says of more targets that they leave.")

    def _count(self, state: str) -> None:
        self._metrics.count("chicoryhold_targets_learned_leaving", state=state)


def _has_left(record: TargetRecord, before: TargetRecord | None) -> bool:
    if record.state not in (TargetState.DRAINING, TargetState.GONE):
        return False
    if before is None:
        return record.state is TargetState.DRAINING
    return (record.born_ms, record.state) != (before.born_ms, before.state)


def _log(
    record: TargetRecord, before: TargetRecord | None, *, state: str, revision: int,
    age: float,
) -> None:  # fmt: skip
    is_same_process = before is not None and before.born_ms == record.born_ms
    logger.bind(
        target=record.instance,
        born=record.born_ms,
        report=record.sequence,
        address=record.address,
        domain=record.domain,
        state=state,
        before=before.state.value if is_same_process else None,
        revision=revision,
        age=round(age, 2),
    ).info("gateway: the copy says that a target leaves.")

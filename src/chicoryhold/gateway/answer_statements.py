"""Records what the answers to one attempt state of the target that they come from."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from chicoryhold.gateway.attempt import Attempt
from chicoryhold.gateway.attempt_log import AttemptLog
from chicoryhold.gateway.outcomes import MIN_FAILURE_STATUS
from chicoryhold.gateway.request import ResponseMetadata
from chicoryhold.routing.target_statements import TargetStatements
from chicoryhold.state.targets import TargetRecord, process_of
from chicoryhold.targets.exchange import ResponseHead, TargetResponse

# A request that is sent this long after its target said that it leaves is late. An
# earlier one may have been on its way.
LATE_SECONDS = 0.5


class MetadataReader(Protocol):
    def response_metadata(self, response: ResponseHead) -> ResponseMetadata: ...


class AnswerStatements:
    """Records what answers state, whatever becomes of them. Thread-safe.

    ``record_at`` returns the record of the target at an address, if it is known.
    """

    def __init__(
        self, *, statements: TargetStatements, reader: MetadataReader,
        record_at: Callable[[str], TargetRecord | None], log: AttemptLog,
    ) -> None:  # fmt: skip
        self._statements = statements
        self._reader = reader
        self._record_at = record_at
        self._log = log

    def record_response(
        self, attempt: Attempt, metadata: ResponseMetadata, response: TargetResponse
    ) -> None:
        """Record a valid response, and the earlier ones on its connection."""
        target = self._sender(attempt, metadata)
        if target is None:
            return
        if metadata.statement.is_leaving:
            self._record_leaving(attempt, target)
        if not metadata.other_instance:
            is_failure = response.status >= MIN_FAILURE_STATUS or metadata.did_not_run
            self._statements.record(target, metadata.statement, is_failure=is_failure)
        if response.earlier:
            self._record_heads(attempt, target, response.earlier)

    def record_failed(self, attempt: Attempt, heads: tuple[ResponseHead, ...]) -> None:
        """Record the heads that arrived before the exchange failed, the last its own.

        Only a complete response says something about a limit.
        """
        if not heads:
            return
        target = self._sender(attempt, self._reader.response_metadata(heads[-1]))
        if target is not None:
            self._record_heads(attempt, target, heads)

    def _sender(
        self, attempt: Attempt, metadata: ResponseMetadata
    ) -> TargetRecord | None:
        """Return the target that a response comes from, ``None`` if it isn't known.

        If another instance has the address, it can only be the one that the control
        state names there. One that it has named only since may have taken the address
        over from the sender.
        """
        expected = attempt.target
        if not metadata.other_instance:
            return expected
        other = self._record_at(expected.address)
        if other is None or other.instance == expected.instance:
            return None
        before = attempt.named_there
        if before is None or process_of(before) != process_of(other):
            return None
        return other

    def _record_heads(
        self, attempt: Attempt, target: TargetRecord, heads: Iterable[ResponseHead]
    ) -> None:
        for head in heads:
            if self._reader.response_metadata(head).statement.is_leaving:
                self._record_leaving(attempt, target)

    def _record_leaving(self, attempt: Attempt, target: TargetRecord) -> None:
        if self._statements.record_leaving(target):
            self._log.record_leaving(attempt, target)
            return
        heard_at = self._statements.leaving_since(target)
        if heard_at is not None and attempt.started - heard_at > LATE_SECONDS:
            self._log.record_late(attempt, target, attempt.started - heard_at)

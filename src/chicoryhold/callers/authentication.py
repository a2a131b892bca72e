"""Authentication of callers, repeated for each request with the current state."""

from __future__ import annotations

from result import Err, Ok, Result

from chicoryhold.callers.refusals import Refusal, RefusalKind, RunStatus
from chicoryhold.clock import Clock
from chicoryhold.control.follower import Follower
from chicoryhold.hosts.domain_view import DomainView
from chicoryhold.keys import key_digest

MAX_LAG_BEHIND_DOMAIN_SECONDS = 3.0


class Authenticator:
    """Finds the organisation of a key; refuses while the control state is too old."""

    def __init__(self, *, follower: Follower, view: DomainView, clock: Clock) -> None:
        self._follower = follower
        self._view = view
        self._clock = clock

    def authenticate(self, key: str | None) -> Result[str, Refusal]:
        """Return the organisation that ``key`` belongs to."""
        if key is None:
            message = "send the organisation's key in the header Chicoryhold-Key"
            return Err(_refusal(RefusalKind.KEY_MISSING, message))
        if not self._view.has_quorum:
            message = "this host is cut off from its domain: ask another entry host"
            return Err(_refusal(RefusalKind.NOT_READY, message))
        lag = self._view.control_confirmed_at - self._follower.confirmed_at
        if lag > MAX_LAG_BEHIND_DOMAIN_SECONDS:
            message = "this host's configuration is old: ask another entry host"
            return Err(_refusal(RefusalKind.NOT_READY, message))
        return self._check_key(key)

    def _check_key(self, key: str) -> Result[str, Refusal]:
        state = self._follower.state
        record = state.key_by_digest(key_digest(key))
        # Unknown and withdrawn keys get the same response, so that a caller
        # that guesses keys does not learn that one once existed.
        if record is None or record.withdrawn:
            message = "the key is not valid: ask your operator for a new one"
            return Err(_refusal(RefusalKind.KEY_REJECTED, message))
        limits = state.table.limits(record.organisation)
        if self._follower.age > limits.cut_off_key_seconds:
            message = (
                "this failure domain is cut off from the control replicas for longer "
                "than cut_off_key_seconds allows: ask another entry host"
            )
            return Err(_refusal(RefusalKind.NOT_READY, message))
        return Ok(record.organisation)


def _refusal(kind: RefusalKind, message: str) -> Refusal:
    return Refusal(kind=kind, ran=RunStatus.NOT_RUN, message=message)

"""Exceptions raised by chicoryhold. Each message says how to proceed."""

from __future__ import annotations


class ChicoryholdError(Exception):
    """Base class of all errors that this package raises on purpose."""


class SettingsError(ChicoryholdError):
    """Raised when a settings file can't be read or holds a wrong key or value."""


class AddressInUse(ChicoryholdError):
    """Raised when a listening address is taken by another process."""


class CorruptLog(ChicoryholdError):
    """Raised when a record that was synced to disk can't be read back.

    An incomplete record at the very end of a file is truncated silently instead:
    it was never synced, so it was never acknowledged.
    """


class UnknownMessage(ChicoryholdError):
    """Raised when a peer sends a message that this version can't read."""


class NotEncodable(ChicoryholdError):
    """Raised when a message holds a value that can't be sent or stored."""


class PeerTimeout(ChicoryholdError):
    """Raised when a peer doesn't reply within the timeout of the call."""


class UnknownPeer(ChicoryholdError):
    """Raised when a message is addressed to a peer that has no key or address."""


class NotLeader(ChicoryholdError):
    """Raised when a control replica that isn't the leader is asked for a change."""

    def __init__(self, *, leader: str | None) -> None:
        self.leader = leader
        hint = f"ask {leader!r}" if leader else "retry until one is elected"
        super().__init__(f"this replica is not the leader: {hint}")


class ResultUnknown(ChicoryholdError):
    """Raised when a change was sent but no replica confirmed its outcome."""


class OrderOvertaken(ChicoryholdError):
    """Raised when another order on the same matter may have been accepted since."""

    def __init__(self) -> None:
        super().__init__("another order on the same matter came first: send it again")


class OperatorRequestFailed(ChicoryholdError):
    """Raised when an operator's command is invalid, refused or can't be completed."""


class RequestRefused(ChicoryholdError):
    """Raised while a caller's request is handled and must be answered by a refusal.

    ``refusal`` describes the response, see :mod:`chicoryhold.callers.refusals`.
    """

    def __init__(self, *, refusal: object) -> None:
        self.refusal = refusal
        super().__init__(str(refusal))


class ConnectFailed(ChicoryholdError):
    """Raised when no connection to a target could be opened: no byte was sent."""


class RequestNotSent(ConnectFailed):
    """Raised when an open connection took no byte of the request."""


class ExchangeFailed(ChicoryholdError):
    """Raised when an exchange with a target failed after its first byte was sent.

    ``heads`` are the heads of responses that arrived in full and come from the target,
    the last of them that to the request itself; none if that hasn't arrived.
    """

    heads: tuple = ()


class ExchangeTimeout(ExchangeFailed):
    """Raised when a target sent no complete response in time."""


class ExchangeCancelled(ExchangeFailed):
    """Raised when an exchange was cancelled because its caller had disconnected."""


class InvalidResponse(ExchangeFailed):
    """Raised when a response is truncated, too long or belongs to another request."""


class ReportError(ChicoryholdError):
    """Raised when a report can't be produced from its arguments or samples."""


class ExperimentError(ChicoryholdError):
    """Raised when an experiment can't be started."""


class Unavailable(ChicoryholdError):
    """Raised or returned when a control host can't give a confirmed answer now."""

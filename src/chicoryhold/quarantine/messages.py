"""Messages about requests that crash targets."""

from __future__ import annotations

from chicoryhold.codec import message


@message
class CrashReport:
    """The digests of requests of the sender that ran at a target when it crashed.

    ``instance`` and ``born_ms`` name the target process.
    """

    instance: str
    born_ms: int
    requests: tuple[bytes, ...]


@message
class RequestSucceeded:
    """A request that had been at a crash has succeeded."""

    request: bytes


@message
class QuarantinedRequest:
    """Says since ``age`` seconds ago whether no host may send a request.

    It is sent again in ``remaining`` seconds. ``remaining`` is 0 if it was released.
    """

    request: bytes
    remaining: float
    age: float


@message
class WatchQuarantine:
    """Asks for the next change of the quarantine, which is replied when it happens."""


@message
class QuarantineChanged:
    """The quarantined and lately released requests that the sender knows."""

    requests: tuple[QuarantinedRequest, ...]

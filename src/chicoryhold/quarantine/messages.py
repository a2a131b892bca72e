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

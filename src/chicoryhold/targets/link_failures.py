"""Kinds of failures of connections to targets."""

from __future__ import annotations

import enum
import errno


class LinkFailure(enum.Enum):
    """How a connection failed: the first four while opening it, ``LOST`` later."""

    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    LOST = "lost"


_BY_ERRNO = {
    errno.ECONNREFUSED: LinkFailure.REFUSED,
    errno.ECONNRESET: LinkFailure.RESET,
    errno.ETIMEDOUT: LinkFailure.TIMED_OUT,
}


def connect_failure(error: BaseException) -> LinkFailure:
    """Return the kind of ``error``, raised while a connection was opened.

    HTTP libraries wrap the operating system's error, so its causes are examined.
    """
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, TimeoutError):
            return LinkFailure.TIMED_OUT
        if isinstance(cause, OSError) and cause.errno in _BY_ERRNO:
            return _BY_ERRNO[cause.errno]
        cause = cause.__cause__ or cause.__context__
    return LinkFailure.UNREACHABLE

"""What goes to a target and what comes back, without the way there."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """What is sent to a target. ``once`` means that it must not run twice.

    ``far`` targets are so distant that opening a connection costs as much as the
    request, so a connection may have been idle for longer, even for ``once``.
    """

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    at_most_once: bool
    far: bool = False


@attrs.frozen(kw_only=True)
class TargetResponse:
    """A whole answer that belongs to the request it was given for."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

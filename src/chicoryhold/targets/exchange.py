"""Requests to targets and their responses, independent of the connection."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to a target.

    ``at_most_once`` means that it must not run twice. ``cross_region`` means that the
    target is so distant that opening a connection takes as long as the request, so an
    idle connection may be older, even if ``at_most_once`` is set.
    """

    request_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    at_most_once: bool
    cross_region: bool = False


@attrs.frozen(kw_only=True)
class TargetResponse:
    """A complete response, verified to belong to its request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

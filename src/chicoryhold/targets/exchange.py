"""Requests to targets and their responses, independent of the connection."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from chicoryhold.state.targets import TargetProcess


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
class ResponseHead:
    """The head of a response, which has arrived in full."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def header(self, name: str) -> str:
        """Return the first value of the header ``name``, or ``""``."""
        lower = name.lower()
        return next((v for k, v in self.headers if k.lower() == lower), "")


@attrs.frozen(kw_only=True)
class ConnectionUse:
    """Names one request of one connection in logs.

    ``port`` is that of this host's end; ``number`` counts the connection's requests
    from 1.
    """

    port: int
    number: int


@attrs.frozen(kw_only=True)
class TargetResponse(ResponseHead):
    """A complete response, verified to belong to its request.

    ``earlier`` are the heads of responses to earlier requests that came before it on
    the same connection. ``use`` names that connection. ``leaving`` is the target that
    it comes from, if that states in it that it leaves.
    """

    body: bytes
    earlier: tuple[ResponseHead, ...] = ()
    use: ConnectionUse | None = None
    leaving: TargetProcess | None = None

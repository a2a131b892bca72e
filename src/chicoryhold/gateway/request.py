"""Requests of callers and calls to targets, independent of HTTP header names."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from chicoryhold.routing.configuration import RouteRule
from chicoryhold.routing.target_statements import TargetStatement
from chicoryhold.targets.cancellation import Cancellation

NO_STATEMENT = TargetStatement()


@attrs.frozen(kw_only=True)
class RelayTerms:
    """What an entry host states of a request that it relays.

    ``version`` is that of its configuration; no older one may decide the request.
    ``attempts`` is the number of targets that the request may still be sent to.
    """

    version: int
    attempts: int


@attrs.frozen(kw_only=True)
class GatewayRequest:
    """A caller's request. ``deadline`` and ``arrived_at`` are on the local clock.

    ``path`` is the path that routes are matched against; ``target`` is the HTTP
    request target including the query, exactly as the caller sent it. ``headers`` are
    the headers that a target may see, ``key`` is the caller's API key. ``relayed``
    is what another entry host stated if that one sent it, in place of the caller.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes | memoryview
    key: str | None = attrs.field(repr=False)
    affinity_key: str
    arrived_at: float
    deadline: float
    cancellation: Cancellation
    relayed: RelayTerms | None = None


@attrs.frozen(kw_only=True)
class TargetCall:
    """What a target is sent in addition to the caller's own headers.

    ``remaining`` is the time until the deadline in seconds. ``instance`` is the only
    process that may run the request. ``organisation`` is empty on open routes.
    """

    instance: str
    organisation: str
    remaining: float


@attrs.frozen(kw_only=True)
class RelayCall:
    """What a relayed request carries in addition to the headers for targets.

    ``host`` and ``key`` are the caller's, as the peer chooses the route and checks the
    key itself. ``remaining`` is the time until the deadline in seconds.
    """

    host: str
    key: str | None = attrs.field(repr=False)
    remaining: float
    terms: RelayTerms


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What a target's response states in addition to its content.

    ``did_not_run`` is the target's own statement that it did not run the request.
    ``other_instance`` means that another process now has the address. ``statement`` is
    what the process that sent it states of itself.
    """

    did_not_run: bool = False
    other_instance: bool = False
    statement: TargetStatement = NO_STATEMENT


@attrs.frozen(kw_only=True)
class RoutedRequest:
    """A request with its route and service, ready to be sent to targets.

    ``deadline`` is on the local clock. ``allowed_regions`` are the regions that the
    request may run in, empty for any. ``digest`` names the request when it comes again.
    Rank 0 is the most urgent.
    """

    request: GatewayRequest
    route: RouteRule
    service: str
    organisation: str
    allowed_regions: frozenset[str]
    deadline: float
    digest: bytes
    rank: int = 0

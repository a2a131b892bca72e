"""One request on its way through an entry host, in the project's own words."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from chicoryhold.routing.target_view import LoadReport
from chicoryhold.targets.cancellation import Cancellation


@attrs.frozen(kw_only=True)
class GatewayRequest:
    """A caller's request. ``deadline`` and ``arrived_at`` are on the own clock.

    ``path`` is what routes are chosen by, ``target`` the request target with its
    query, exactly as the caller sent it. ``headers`` are those a target may see.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    key: str | None = attrs.field(repr=False)
    affinity_key: str
    arrived_at: float
    deadline: float
    cancellation: Cancellation


@attrs.frozen(kw_only=True)
class TargetCall:
    """What a target must be told beside the caller's own headers.

    ``remaining`` is the time left in seconds; ``instance`` the only process that may
    run the request; ``organisation`` is empty on open routes.
    """

    instance: str
    organisation: str
    remaining: float


@attrs.frozen(kw_only=True)
class ResponseMetadata:
    """What a target's answer says beside its content.

    ``did_not_run`` is the target's own statement; ``other_instance`` that another
    process has the address now.
    """

    did_not_run: bool = False
    other_instance: bool = False
    load: LoadReport | None = None

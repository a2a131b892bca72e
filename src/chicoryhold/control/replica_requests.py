"""What other parts of a control host ask the actor of its replica."""

from __future__ import annotations

from concurrent.futures import Future

import attrs

from chicoryhold.consensus.messages import LogPosition
from chicoryhold.control.in_force import InForceReports
from chicoryhold.control.messages import ReplicaStatus
from chicoryhold.state.changes import Change
from chicoryhold.state.control_state import ControlState


@attrs.frozen(kw_only=True)
class Propose:
    """Replicate a change; ``reply`` gets its outcome.

    With ``position``, it gets :class:`OrderOvertaken` if a later order on the same
    matter may be in the log after that position.
    """

    change: Change
    reply: Future
    position: LogPosition | None = None


@attrs.frozen(kw_only=True)
class Read:
    """Answer ``reply`` with a :class:`ControlView` confirmed to be current.

    ``since`` is when the actor received the request.
    """

    reply: Future
    since: float = attrs.field(default=0.0)


@attrs.frozen(kw_only=True)
class ReadPosition:
    """Answer ``reply`` at once with the end of the leader's log."""

    reply: Future


@attrs.frozen(kw_only=True)
class Sync:
    """Set ``reply`` once all that is committed here is applied to the state."""

    reply: Future


@attrs.frozen(kw_only=True)
class ControlView:
    """The leader's state, read-only, confirmed to be current when it was returned."""

    state: ControlState
    in_force: InForceReports
    status: ReplicaStatus


def process_name(identity: str) -> str:
    """Return the process name in a replica identity."""
    return identity.rpartition(".")[0]

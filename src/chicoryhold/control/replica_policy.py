"""Settings by which groups of control replicas differ."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from chicoryhold.control.member_states import UNKNOWN_PLACE, Place
from chicoryhold.control.membership import DEFAULT_TOLERATED_LOSSES
from chicoryhold.control.pending_fetches import MAX_FETCH_WAIT_SECONDS


@attrs.frozen(kw_only=True)
class ReplicaPolicy:
    """Settings of a group of control replicas.

    As many replicas vote as are needed to bear ``tolerated_losses`` at once; the others
    are learners. A voter that hasn't replied for ``silent_seconds`` may be replaced by
    a host that joins, and a learner that hasn't for ``forget_seconds`` is forgotten.
    ``place_of`` returns where the replica with an identity runs. With
    ``followers_serve_fetches``, replicas other than the leader answer fetches from
    their copy; the answer states the age of the copy. With ``accept_any_sender``,
    consensus messages from processes that aren't members are accepted. A fetch waits
    at most ``max_fetch_wait`` seconds for a change.
    """

    tolerated_losses: int = DEFAULT_TOLERATED_LOSSES
    silent_seconds: float = 1.0
    forget_seconds: float = 40.0
    place_of: Callable[[str], Place] = lambda identity: UNKNOWN_PLACE
    followers_serve_fetches: bool = False
    accept_any_sender: bool = False
    max_fetch_wait: float = MAX_FETCH_WAIT_SECONDS

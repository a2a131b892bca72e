"""Has the leader change the members of its group as they are lost and join."""

from __future__ import annotations

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.in_flight import MAX_WINDOW_BYTES, size_of
from chicoryhold.consensus.replica import Replica, Role
from chicoryhold.control.member_states import MemberStates
from chicoryhold.control.membership import next_members
from chicoryhold.control.messages import JoinRequest
from chicoryhold.control.replica_policy import ReplicaPolicy
from chicoryhold.control.replica_requests import process_name

JOIN_REQUEST_EXPIRY_SECONDS = 5.0
# What a replica may lack that has caught up, besides the newest entry: no more than a
# leader sends at once.
CATCH_UP_ENTRIES = 256
CATCH_UP_BYTES = MAX_WINDOW_BYTES


@attrs.frozen(kw_only=True)
class _JoinRequested:
    """The latest request of a process: its newest identity."""

    identity: str
    at: float


class MembershipKeeper:
    """Proposes the next change of the membership, if one is due and this one leads."""

    def __init__(
        self, *, replica: Replica, clock: Clock, policy: ReplicaPolicy
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._policy = policy
        self._join_requests: dict[str, _JoinRequested] = {}

    def record_join(self, sender: str, request: JoinRequest) -> None:
        """Note that a replica asks to be a member, itself or through a member."""
        process = process_name(request.identity)
        members = map(process_name, self._replica.members.identities)
        if sender == process or sender in members:
            self._join_requests[process] = _JoinRequested(
                identity=request.identity, at=self._clock.now()
            )

    def update(self) -> None:
        """Propose a change if one is due; call this often, and after each change."""
        if self._replica.role is not Role.LEADER:
            return
        states = self._member_states()
        members = next_members(
            self._replica.members,
            states,
            tolerated_losses=self._policy.tolerated_losses,
        )
        if members and self._replica.propose_members(members):
            logger.bind(
                voters=list(members.voters),
                learners=list(members.learners),
                silent=list(states.silent),
                lost=list(members.lost),
            ).info("control: proposed other members.")

    def _member_states(self) -> MemberStates:
        replica, policy = self._replica, self._policy
        cutoff = self._clock.now() - JOIN_REQUEST_EXPIRY_SECONDS
        requests = self._join_requests.values()
        return MemberStates(
            leader=replica.identity,
            joining=[r.identity for r in requests if r.at > cutoff],
            silent=replica.silent_members(longer_than=policy.silent_seconds),
            forgotten=replica.silent_members(longer_than=policy.forget_seconds),
            caught_up=self._is_caught_up,
            is_watched=lambda identity: (
                replica.watched_seconds(identity) > policy.silent_seconds
            ),
            place_of=policy.place_of,
        )

    def _is_caught_up(self, identity: str) -> bool:
        match_index = self._replica.match_index_of(identity)
        count = self._replica.commit_index - match_index
        log = self._replica.log
        if match_index < log.snapshot.index or count >= CATCH_UP_ENTRIES:
            return False
        missing = log.slice(match_index + 1, limit=max(0, count - 1))
        return match_index > 0 and size_of(missing) <= CATCH_UP_BYTES

"""How far a leader has replicated its log, and which members acknowledged it when."""

from __future__ import annotations

import attrs

from chicoryhold.consensus.in_flight import InFlight
from chicoryhold.consensus.messages import AppendReply, Members, SnapshotPieceReply
from chicoryhold.consensus.snapshot_transfer import OutgoingSnapshot


@attrs.define(kw_only=True)
class MemberProgress:
    """The leader's view of one follower.

    ``acknowledged_at`` is when the latest broadcast that the follower has replied to
    was sent. ``reply_sent_at`` is when the follower sent its newest reply, by its own
    clock, which starts again with its machine; ``reply_handled_at`` is when it was
    handled here, by this one's, and ``reply_round`` the broadcast that it replies to.
    Rejections of broadcasts before ``restarted_round`` were sent before the leader went
    back. ``takes_pieces`` is whether the follower's build takes snapshots in pieces,
    and ``outgoing`` the snapshot that is being sent so.
    """

    next_index: int
    match_index: int = 0
    acknowledged_at: float = float("-inf")
    reply_sent_at: float = 0.0
    reply_handled_at: float = 0.0
    reply_round: int = 0
    restarted_round: int = 0
    takes_pieces: bool = False
    outgoing: OutgoingSnapshot | None = None
    in_flight: InFlight = attrs.field(factory=InFlight)

    def has_replied_since(self, time: float) -> bool:
        """Whether a reply of the follower was handled after ``time`` in this term."""
        return self.reply_round > 0 and self.reply_handled_at > time

    def record_sending(
        self, reply: AppendReply | SnapshotPieceReply, *, now: float
    ) -> None:
        """Note when ``reply``, handled at ``now``, was sent, unless a later one is."""
        if reply.round > self.reply_round or reply.sent_at > self.reply_sent_at:
            self.reply_sent_at = reply.sent_at
            self.reply_handled_at = now
            self.reply_round = reply.round


class Progress:
    """The progress of each follower during one term of leadership.

    Broadcasts are numbered; a reply to one acknowledges the leader as of the time at
    which it was sent. Broadcasts older than ``round_lifetime`` are discarded.
    """

    def __init__(self, *, identity: str, round_lifetime: float) -> None:
        self._identity = identity
        self._round_lifetime = round_lifetime
        self._members: dict[str, MemberProgress] = {}
        self._round = 0
        self._round_sent_at: dict[int, float] = {}

    @property
    def round(self) -> int:
        """The number of the latest broadcast."""
        return self._round

    def reset(self) -> None:
        """Discard the progress of all followers, as a new term begins."""
        self._round_sent_at = {}
        self._members = {}

    def start_round(self, now: float) -> None:
        """Number the broadcast that is sent at ``now``."""
        self._round += 1
        self._round_sent_at[self._round] = now
        oldest = now - self._round_lifetime
        self._round_sent_at = {
            number: sent_at
            for number, sent_at in self._round_sent_at.items()
            if sent_at > oldest
        }

    def of(self, member: str, *, last_index: int) -> MemberProgress:
        """Return the progress of ``member``.

        The log of a new one is assumed to match up to the leader's ``last_index``.
        """
        progress = self._members.get(member)
        if progress is None:
            progress = MemberProgress(next_index=last_index + 1)
            self._members[member] = progress
        return progress

    def record_reply(
        self, reply: AppendReply, *, last_index: int, now: float
    ) -> MemberProgress:
        """Update and return the progress of the follower that sent ``reply``."""
        progress = self._record_contact(reply, last_index=last_index, now=now)
        progress.takes_pieces = reply.takes_pieces
        if reply.accepted:
            progress.match_index = max(progress.match_index, reply.match)
            progress.next_index = max(progress.next_index, reply.match + 1)
            progress.in_flight.acknowledge(reply.match, now=now)
        elif reply.round >= progress.restarted_round:
            progress.next_index = max(1, min(progress.next_index - 1, reply.match + 1))
            progress.in_flight.clear()
            self.start_round(now)
            progress.restarted_round = self._round
        return progress

    def record_piece_reply(
        self, reply: SnapshotPieceReply, *, last_index: int, now: float
    ) -> MemberProgress:
        """Update and return the progress of a follower that gets a snapshot."""
        progress = self._record_contact(reply, last_index=last_index, now=now)
        outgoing = progress.outgoing
        if outgoing is None or not outgoing.is_answered_by(reply):
            return progress
        if reply.held > outgoing.held:
            progress.in_flight.acknowledge(reply.index, now=now)
        else:
            progress.in_flight.clear()
        outgoing.record_held(reply.held)
        return progress

    def _record_contact(
        self, reply: AppendReply | SnapshotPieceReply, *, last_index: int, now: float
    ) -> MemberProgress:
        progress = self.of(reply.follower, last_index=last_index)
        sent_at = self._round_sent_at.get(reply.round, float("-inf"))
        progress.acknowledged_at = max(progress.acknowledged_at, sent_at)
        progress.record_sending(reply, now=now)
        return progress

    def match_index_of(self, member: str) -> int:
        """Return the highest index up to which a follower's log is known to match."""
        progress = self._members.get(member)
        return progress.match_index if progress else 0

    def acknowledged_at(self, member: str) -> float:
        progress = self._members.get(member)
        return progress.acknowledged_at if progress else float("-inf")

    def quorum_match_index(self, members: Members, *, last_index: int) -> int:
        """Return the highest index that a majority of the voters has stored."""
        match_indices = [
            last_index if voter == self._identity else self.match_index_of(voter)
            for voter in members.voters
        ]
        match_indices.sort(reverse=True)
        return match_indices[members.majority - 1]

    def quorum_acknowledged_at(self, members: Members, *, now: float) -> float:
        """Return the latest time as of which a majority acknowledged the leader."""
        times = [
            now if voter == self._identity else self.acknowledged_at(voter)
            for voter in members.voters
        ]
        times.sort(reverse=True)
        return times[members.majority - 1]

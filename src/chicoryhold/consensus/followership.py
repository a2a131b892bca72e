"""The follower's side of replication: what it stores, and how recent its copy is."""

from __future__ import annotations

from collections.abc import Callable

from chicoryhold.clock import Clock
from chicoryhold.consensus.committed_log import CommittedLog
from chicoryhold.consensus.log import Log
from chicoryhold.consensus.messages import (
    UNCONFIRMED_AGE_SECONDS,
    AppendReply,
    AppendRequest,
    SnapshotPieceReply,
    SnapshotPieceRequest,
    SnapshotRequest,
)
from chicoryhold.consensus.snapshot_transfer import IncomingSnapshot

LeaderRequest = AppendRequest | SnapshotRequest | SnapshotPieceRequest


class Followership:
    """Stores what the leader of the current term sends, and replies to it.

    ``term`` returns the current term; ``send`` queues a message to a member.
    """

    def __init__(
        self, *, identity: str, log: Log, committed: CommittedLog, clock: Clock,
        term: Callable[[], int], send: Callable[[str, object], None],
    ) -> None:  # fmt: skip
        self._identity = identity
        self._log = log
        self._committed = committed
        self._clock = clock
        self._term = term
        self._send = send
        self._copy_confirmed_at = float("-inf")
        self._incoming = IncomingSnapshot()

    @property
    def copy_confirmed_at(self) -> float:
        """The latest time at which the committed state was known to be current.

        It is computed from the age in the leader's message, and from when this follower
        sent the reply that the leader had handled before: the message may be handled
        long after it was sent.
        """
        return self._copy_confirmed_at

    def confirm_copy(self, at: float) -> None:
        """Note that the committed state was known to be current ``at`` a time."""
        self._copy_confirmed_at = max(self._copy_confirmed_at, at)

    def reject(self, request: LeaderRequest) -> None:
        """Tell the leader of an earlier term that it has ended."""
        self._reply(request, accepted=False, match=self._log.last_index, round=0)

    def on_append(self, request: AppendRequest) -> None:
        """Store the entries. The caller applies what is committed by them."""
        if request.previous_index < self._log.snapshot.index:
            # Entries covered by the snapshot are committed, so they match the leader's.
            self._reply(request, accepted=True, match=self._log.snapshot.index)
            return
        if self._log.term_at(request.previous_index) != request.previous_term:
            match_index = min(self._log.last_index, request.previous_index - 1)
            self._reply(request, accepted=False, match=match_index)
            return
        self._incoming.clear()
        self._committed.store_missing(request.entries)
        match_index = request.previous_index + len(request.entries)
        self._committed.commit_to(min(request.commit, match_index))
        if (
            request.commit <= match_index
            and request.confirmed_age < UNCONFIRMED_AGE_SECONDS
        ):
            self.confirm_copy(self._sent_at(request) - request.confirmed_age)
        self._reply(request, accepted=True, match=match_index)

    def on_snapshot(self, request: SnapshotRequest) -> None:
        """Replace the log by the snapshot, unless the log is further."""
        self._committed.install(request.snapshot)
        self._reply(request, accepted=True, match=request.snapshot.index)

    def on_piece(self, request: SnapshotPieceRequest) -> None:
        """Add a piece of a snapshot; the last one replaces the log by it."""
        if request.index <= self._committed.commit_index:
            self._incoming.clear()
            self._reply(request, accepted=True, match=request.index)
            return
        self._incoming.add(request)
        snapshot = self._incoming.take_whole(request)
        if snapshot is None:
            self._reply_to_piece(request)
            return
        self._committed.install(snapshot)
        self._reply(request, accepted=True, match=snapshot.index)

    def _reply_to_piece(self, request: SnapshotPieceRequest) -> None:
        reply = SnapshotPieceReply(
            term=self._term(),
            follower=self._identity,
            index=request.index,
            held=self._incoming.held,
            round=request.round,
            sent_at=self._clock.now(),
        )
        self._send(request.leader, reply)

    def _sent_at(self, request: AppendRequest) -> float:
        """Return a time before which the leader didn't send ``request``."""
        now = self._clock.now()
        if not 0 < request.reply_sent_at <= now:
            # The leader has no reply yet, or only of before this machine was restarted.
            return float("-inf")
        return min(now, request.reply_sent_at + request.reply_held)

    def _reply(
        self, request: LeaderRequest,
        *, accepted: bool, match: int, round: int | None = None,
    ) -> None:  # fmt: skip
        reply = AppendReply(
            term=self._term(),
            follower=self._identity,
            accepted=accepted,
            match=match,
            round=request.round if round is None else round,
            sent_at=self._clock.now(),
            takes_pieces=True,
        )
        self._send(request.leader, reply)

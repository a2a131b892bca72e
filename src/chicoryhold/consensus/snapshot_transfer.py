"""A snapshot on its way from a leader to a member, one piece after the other."""

from __future__ import annotations

import attrs

from chicoryhold.consensus.messages import (
    Snapshot,
    SnapshotPieceReply,
    SnapshotPieceRequest,
)


class OutgoingSnapshot:
    """What the leader knows of a snapshot that it sends to one member.

    One piece is sent at a time: heartbeats wait behind no more than that, and nothing
    is sent to a member that doesn't reply. A piece is sent again once the reply to a
    later broadcast shows that it was lost.
    """

    def __init__(self, *, snapshot: Snapshot) -> None:
        self._snapshot = snapshot
        self._held = 0
        self._sent_round: int | None = None

    @property
    def snapshot(self) -> Snapshot:
        return self._snapshot

    @property
    def held(self) -> int:
        """How many bytes of the snapshot the member has."""
        return self._held

    @property
    def is_piece_due(self) -> bool:
        """Whether the member has replied since the latest piece was sent."""
        return self._sent_round is None

    def next_piece(self, *, size: int) -> bytes:
        return self._snapshot.data[self._held : self._held + size]

    def record_sending(self, *, round: int) -> None:
        """Note that the next piece is sent in a broadcast of its own."""
        self._sent_round = round

    def is_answered_by(self, reply: SnapshotPieceReply) -> bool:
        """Whether ``reply`` was sent after the latest piece should have arrived."""
        is_of_this = reply.index == self._snapshot.index
        return is_of_this and not self.is_piece_due and reply.round >= self._sent_round

    def record_held(self, held: int) -> None:
        """Note how many bytes the member has; the next piece is the one after them."""
        self._held = held
        self._sent_round = None


@attrs.frozen(kw_only=True)
class _SnapshotId:
    """Snapshots of the same index that two leaders took may differ in their bytes."""

    term: int
    index: int
    total: int

    @classmethod
    def of(cls, request: SnapshotPieceRequest) -> _SnapshotId:
        return cls(term=request.term, index=request.index, total=request.total)


class IncomingSnapshot:
    """The pieces of a leader's snapshot that have arrived at a follower."""

    def __init__(self) -> None:
        self._id: _SnapshotId | None = None
        self._data = bytearray()

    @property
    def held(self) -> int:
        """How many bytes have arrived."""
        return len(self._data)

    def add(self, request: SnapshotPieceRequest) -> None:
        """Add a piece if it is the next one; one of another snapshot begins that."""
        if self._id != _SnapshotId.of(request):
            self.clear()
            self._id = _SnapshotId.of(request)
        if request.offset == len(self._data):
            self._data += request.data

    def take_whole(self, request: SnapshotPieceRequest) -> Snapshot | None:
        """Return the snapshot of which ``request`` is a piece, once all has arrived."""
        if len(self._data) < request.total:
            return None
        snapshot = Snapshot(
            index=request.index,
            term=request.snapshot_term,
            members=request.members,
            data=bytes(self._data),
        )
        self.clear()
        return snapshot

    def clear(self) -> None:
        """Discard what has arrived."""
        if self._id is not None:
            self._id = None
            self._data = bytearray()

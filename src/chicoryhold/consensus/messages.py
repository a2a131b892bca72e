"""Messages and records of the replicated log."""

from __future__ import annotations

from chicoryhold.codec import message

UNCONFIRMED_AGE_SECONDS = 1e9  # finite, so that every codec can encode it


@message
class Members:
    """Identities of the replicas. Learners receive entries but don't vote.

    ``settled`` are the learners known not to stand for a member of another process that
    was lost, ``lost`` the voters that another process stands for. The build before
    knows none of both.
    """

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()
    settled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def identities(self) -> tuple[str, ...]:
        return self.voters + self.learners


@message
class Entry:
    """One log entry: a command for the state machine, or a membership change."""

    index: int
    term: int
    command: bytes = b""
    members: Members | None = None


@message
class LogPosition:
    """The end of a leader's log at some time in its term."""

    term: int
    index: int


@message
class EntryBatch:
    """Entries that are stored together."""

    entries: tuple[Entry, ...]


@message
class Vote:
    """The durable election state of a replica."""

    term: int = 0
    candidate: str | None = None


@message
class Snapshot:
    """The state of the state machine after the entry at ``index`` was applied."""

    index: int
    term: int
    members: Members
    data: bytes


@message
class VoteRequest:
    """Requests a vote; with ``trial`` a pre-vote: whether it would be granted."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    trial: bool


@message
class VoteReply:
    term: int
    voter: str
    granted: bool
    trial: bool


@message
class AppendRequest:
    """The entries after ``previous_index``; a heartbeat may carry none.

    ``round`` numbers the leader's broadcasts; a reply confirms leadership as of the
    time at which that broadcast was sent. ``confirmed_age`` is the number of seconds
    between the last time at which a majority confirmed the leader and the sending of
    this request. Everything committed by that time is covered by ``commit``.

    ``reply_sent_at`` is the ``sent_at`` of the newest reply of this follower that the
    leader had handled ``reply_held`` seconds before it sent this request: 0 if there
    is none in this term.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    confirmed_age: float = UNCONFIRMED_AGE_SECONDS
    reply_sent_at: float = 0.0
    reply_held: float = 0.0


@message
class AppendReply:
    """``sent_at`` is by the follower's clock.

    ``takes_pieces`` is whether the follower's build knows
    :class:`SnapshotPieceRequest`.
    """

    term: int
    follower: str
    accepted: bool
    match: int
    round: int
    sent_at: float = 0.0
    takes_pieces: bool = False


@message
class SnapshotRequest:
    """Sends a whole snapshot to a follower of a build that takes no pieces."""

    term: int
    leader: str
    snapshot: Snapshot
    round: int


@message
class SnapshotPieceRequest:
    """Sends part of a snapshot to a follower that needs entries the leader discarded.

    ``data`` are the bytes at ``offset`` of the snapshot's data, which has ``total``
    bytes. Without data it is a heartbeat, whose reply says what has arrived. ``term``
    is the leader's, ``snapshot_term`` that of the entry at ``index``.
    """

    term: int
    leader: str
    index: int
    snapshot_term: int
    members: Members
    offset: int
    total: int
    data: bytes
    round: int


@message
class SnapshotPieceReply:
    """The follower has the first ``held`` bytes of the snapshot at ``index``."""

    term: int
    follower: str
    index: int
    held: int
    round: int
    sent_at: float

"""Messages and records of the replicated log."""

from __future__ import annotations

from chicoryhold.codec import message

NEVER_CONFIRMED = 1e9  # seconds; finite, so that every codec can carry it


@message
class Members:
    """The replicas of the log by identity. Learners receive entries but don't vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    @property
    def identities(self) -> tuple[str, ...]:
        return self.voters + self.learners


@message
class Entry:
    """One log record: a command for the state machine, or a change of members."""

    index: int
    term: int
    command: bytes = b""
    members: Members | None = None


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
    """The state machine up to and including ``index``."""

    index: int
    term: int
    members: Members
    data: bytes


@message
class VoteRequest:
    """Asks for a vote, or with ``trial`` whether a vote would be given (pre-vote)."""

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
    """Entries after ``previous_index``; empty as a heartbeat.

    ``round`` numbers the leader's broadcasts, so that an answer proves leadership
    at the time when that broadcast was sent. ``confirmed_age`` is how many seconds
    before sending the leader was last proved to lead, with ``commit`` committed.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int
    confirmed_age: float = NEVER_CONFIRMED


@message
class AppendReply:
    term: int
    follower: str
    accepted: bool
    match: int
    round: int


@message
class SnapshotRequest:
    """Replaces the follower's log by a snapshot that it is too far behind to skip."""

    term: int
    leader: str
    snapshot: Snapshot
    round: int

"""Effects that a replica requests from its driver, to be run in order."""

from __future__ import annotations

import attrs

from chicoryhold.consensus.messages import Entry, Snapshot, Vote


@attrs.frozen(kw_only=True)
class SaveVote:
    """Sync the vote to disk before any later effect."""

    vote: Vote


@attrs.frozen(kw_only=True)
class SaveEntries:
    """Sync the entries to disk before any later effect."""

    entries: tuple[Entry, ...]


@attrs.frozen(kw_only=True)
class SaveSnapshot:
    """Sync a received snapshot to disk and load it into the state machine.

    ``remaining`` are the entries after it that the log keeps.
    """

    snapshot: Snapshot
    remaining: tuple[Entry, ...]


@attrs.frozen(kw_only=True)
class Send:
    """Send a message to a replica. Delivery isn't guaranteed."""

    to: str
    message: object


@attrs.frozen(kw_only=True)
class Apply:
    """Apply a committed entry to the state machine."""

    entry: Entry


@attrs.frozen(kw_only=True)
class LeadershipLost:
    """Report to clients that the outcome of their pending proposals is unknown."""


Effect = SaveVote | SaveEntries | SaveSnapshot | Send | Apply | LeadershipLost

"""Messages between control replicas, and between them and entry hosts."""

from __future__ import annotations

from chicoryhold.codec import message
from chicoryhold.state.changes import Change


@message
class ReplicaMessage:
    """A consensus message for exactly one replica identity."""

    to: str
    body: bytes


@message
class JoinRequest:
    """A replica that isn't a voter asks the leader to make it one."""

    identity: str


@message
class HostReport:
    """Which revision an entry host has in force. ``age`` in seconds."""

    host: str
    domain: str
    revision: int
    age: float


@message
class FetchChanges:
    """Asks for accepted changes after a revision; answered when there are some.

    ``reports`` tells what is in force at the asker and behind it.
    """

    after: int
    reports: tuple[HostReport, ...] = ()


@message
class ChangeBatch:
    """Accepted changes in order, right after the revision ``after``.

    ``revision`` is the source's own; the batch may end before it.
    ``confirmed_age`` is how many seconds ago the source's state was proved to be the
    newest. ``digest`` is the source's digest at ``revision``.
    """

    after: int
    revision: int
    digest: bytes
    confirmed_age: float
    changes: tuple[Change, ...]


@message
class SnapshotNeeded:
    """The source no longer holds the changes that were asked for."""

    revision: int


@message
class SourceUnavailable:
    """The asked process can't answer; ``leader`` is another to ask, if known."""

    leader: str = ""


@message
class FetchImage:
    """Asks for a piece of the image of the source's state. ``offset`` in bytes.

    ``revision`` is 0 for the first piece.
    """

    revision: int
    offset: int


@message
class ImagePiece:
    """``data`` at ``offset`` of an image of ``total`` bytes."""

    revision: int
    offset: int
    total: int
    data: bytes


@message
class ReplicaStatusRequest:
    """Asks a control replica about itself."""


@message
class ReplicaStatus:
    """The state of one control replica."""

    identity: str
    role: str
    term: int
    commit_index: int
    revision: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]

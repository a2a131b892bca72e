"""Messages between control replicas, and between them and entry hosts."""

from __future__ import annotations

from chicoryhold.codec import message
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.state.changes import Change


@message
class ReplicaMessage:
    """A consensus message for the replica with the identity ``to``."""

    to: str
    body: bytes


@message
class JoinRequest:
    """Asks the leader to make the replica ``identity`` a voter."""

    identity: str


@message
class HostReport:
    """The revision in force at an entry host, as reported ``age`` seconds ago."""

    host: str
    domain: str
    revision: int
    age: float


@message
class FetchChanges:
    """Asks for accepted changes after a revision; answered when there are any.

    ``reports`` are those of the requesting host and of the hosts that fetch from it.
    ``digest`` is that of the revision ``after``. With it, the answer is a
    :class:`StateUpdate`; hosts of older builds don't send it. ``at_once`` asks not to
    wait for a change.
    """

    after: int
    reports: tuple[HostReport, ...] = ()
    digest: bytes | None = None
    at_once: bool = False


@message
class ChangeBatch:
    """The accepted changes that follow the revision ``after``, in order.

    ``revision`` is the revision of the source's state and ``digest`` its digest; the
    batch may end before it. ``confirmed_age`` is how many seconds ago the source's
    state was confirmed to be the newest, ``waited`` for how many seconds the source
    had held the fetch by then.
    """

    after: int
    revision: int
    digest: bytes
    confirmed_age: float
    changes: tuple[Change, ...]
    waited: float = 0.0


@message
class StateUpdate:
    """What differs between the revision ``after`` and the source's ``revision``.

    ``data`` is a compressed :class:`chicoryhold.state.delta.StateDelta`, and empty if
    the two are equal. ``fits_later_copies`` is whether it also fits copies between the
    two: a source that skipped some revisions doesn't know what these had and it hasn't.
    The other fields are those of :class:`ChangeBatch`.
    """

    after: int
    revision: int
    confirmed_age: float
    waited: float
    data: bytes
    fits_later_copies: bool = False


@message
class SnapshotNeeded:
    """The source no longer stores the requested changes; an image is needed."""

    revision: int


@message
class SourceUnavailable:
    """The source can't answer; ``leader`` is the process to ask instead, if known."""

    leader: str = ""


@message
class FetchImage:
    """Asks for a piece of an image of the source's state.

    ``offset`` is in bytes. ``revision`` is that of the image, or 0 for the first
    piece. An older image than of the revision ``at_least`` is of no use. ``compressed``
    asks for a compressed image; hosts of older builds send one that isn't.
    """

    revision: int
    offset: int
    at_least: int = 0
    compressed: bool = False


@message
class ImagePiece:
    """The bytes at ``offset`` of an image that is ``total`` bytes long.

    ``confirmed_age`` is how many seconds ago the image was known to be that of the
    newest state; sources of older builds don't say.
    """

    revision: int
    offset: int
    total: int
    data: bytes
    compressed: bool = False
    confirmed_age: float = UNCONFIRMED_AGE_SECONDS


@message
class ReplicaStatusRequest:
    """Asks a control replica for its :class:`ReplicaStatus`."""


@message
class ReplicaStatus:
    """The consensus state of one control replica."""

    identity: str
    role: str
    term: int
    commit_index: int
    revision: int
    leader: str
    voters: tuple[str, ...]
    learners: tuple[str, ...]

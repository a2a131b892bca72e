"""Serves what differs from the control state, and full images of it, to its copies."""

from __future__ import annotations

import zlib

from chicoryhold.codec import encode
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.images import COMPRESSION_LEVEL, Image, Images
from chicoryhold.control.messages import (
    ChangeBatch,
    FetchChanges,
    FetchImage,
    ImagePiece,
    SnapshotNeeded,
    StateUpdate,
)
from chicoryhold.control.recent_changes import RecentChanges
from chicoryhold.state.changes import Change
from chicoryhold.state.control_state import ControlState

MAX_CHANGES_PER_BATCH = 200
MAX_KNOWN_DIGESTS = 10_000
# A larger reply would hold up other messages on a slow link for too long.
MAX_REPLY_BYTES = 32_768
MAX_UPDATES_BYTES = 1_048_576


class ChangeFeed:
    """Answers copies of a control state with what they lack.

    A copy gets one difference, however many changes lie between, unless it is larger
    than a reply or its history isn't the one known here: then an image in pieces.
    Hosts of older builds get each change of their batches by itself.
    """

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._recent = RecentChanges()
        self._digests: dict[int, bytes] = {}
        self._updates: dict[int, bytes | None] = {}
        self._complete_since = state.revision
        self._images = Images(is_recent=self._is_recent)
        self._note_digest()

    def record(self, change: Change) -> None:
        """Add ``change``, which has just created a new revision of the state."""
        if len(change.body) > MAX_REPLY_BYTES:
            # No batch can hold it.
            self._recent.clear()
        else:
            self._recent.add(change)
        self._note_digest()

    def record_update(self) -> None:
        """Note that a difference has just created a new revision of the state."""
        self._recent.clear()
        self._complete_since = self._state.revision
        self._note_digest()

    def clear(self) -> None:
        """Forget earlier revisions, as needed when an image has replaced the state."""
        self._recent.clear()
        self._images.clear()
        self._digests.clear()
        self._complete_since = self._state.revision
        self._note_digest()

    def has_update_for(self, request: FetchChanges) -> bool:
        return request.after != self._state.revision

    def answer(
        self, request: FetchChanges, *, confirmed_age: float, waited: float = 0.0
    ) -> StateUpdate | ChangeBatch | SnapshotNeeded:
        """Return what a copy at the revision ``request.after`` lacks.

        The request has been held for ``waited`` seconds. Returns ``SnapshotNeeded`` if
        the copy needs an image.
        """
        if request.digest is None:
            return self._batch(request, confirmed_age, waited)
        data = self._update_data(request)
        if data is None:
            return SnapshotNeeded(revision=self._state.revision)
        return StateUpdate(
            after=request.after,
            revision=self._state.revision,
            confirmed_age=confirmed_age,
            waited=waited,
            data=data,
            fits_later_copies=request.after >= self._complete_since,
        )

    def piece(
        self,
        request: FetchImage,
        *,
        confirmed_at: float = float("-inf"),
        now: float = 0.0,
    ) -> ImagePiece:
        """Return one piece of an image.

        A request for the first piece, or for an image that is no longer stored, gets
        the first piece of the newest image. ``confirmed_at`` is when the state was
        last known to be the newest, on the clock that says ``now``.
        """
        image, offset = self._images.get(request.revision), request.offset
        if offset == 0 or image is None:
            image = self._images.newest(
                at_least=request.at_least, create=lambda: self._image(confirmed_at)
            )
            offset = 0
        if image.revision != self._state.revision:
            confirmed_at = image.confirmed_at
        data = image.compressed if request.compressed else image.plain()
        return ImagePiece(
            revision=image.revision,
            offset=offset,
            total=len(data),
            data=data[offset : offset + MAX_REPLY_BYTES],
            compressed=request.compressed,
            confirmed_age=min(now - confirmed_at, UNCONFIRMED_AGE_SECONDS),
        )

    def _note_digest(self) -> None:
        self._updates.clear()
        self._digests[self._state.revision] = self._state.digest
        if len(self._digests) > MAX_KNOWN_DIGESTS:
            del self._digests[next(iter(self._digests))]

    def _update_data(self, request: FetchChanges) -> bytes | None:
        """Return the difference, compressed, or ``None`` if an image is needed."""
        after = request.after
        if after == self._state.revision:
            return b"" if request.digest == self._state.digest else None
        has_same_history = self._digests.get(after) == request.digest
        if not has_same_history or after < self._state.oldest_base:
            return None
        if after not in self._updates:
            self._updates[after] = self._new_update_data(after)
        return self._updates[after]

    def _new_update_data(self, after: int) -> bytes | None:
        """Return the difference, compressed, or ``None`` if no reply can hold it."""
        if sum(len(data or b"") for data in self._updates.values()) > MAX_UPDATES_BYTES:
            self._updates.clear()
        delta = encode(self._state.delta(after=after))
        data = zlib.compress(delta, COMPRESSION_LEVEL)
        return data if len(data) <= MAX_REPLY_BYTES else None

    def _image(self, confirmed_at: float = float("-inf")) -> Image:
        plain = self._state.image(for_replica=False)
        return Image.of(plain, revision=self._state.revision, confirmed_at=confirmed_at)

    def _is_recent(self, revision: int) -> bool:
        """Return whether a copy at ``revision`` needs no other image."""
        digest = self._digests.get(revision)
        if digest is None:
            return False
        request = FetchChanges(after=revision, digest=digest)
        return self._update_data(request) is not None

    # Batches, for hosts of older builds

    def _batch(
        self, request: FetchChanges, confirmed_age: float, waited: float
    ) -> ChangeBatch | SnapshotNeeded:
        revision = self._state.revision
        missing = revision - request.after
        if missing < 0 or missing > len(self._recent) or self._prefers_image(missing):
            return SnapshotNeeded(revision=revision)
        return ChangeBatch(
            after=request.after,
            revision=revision,
            digest=self._state.digest,
            confirmed_age=confirmed_age,
            changes=self._first_of_newest(missing),
            waited=waited,
        )

    def _first_of_newest(self, count: int) -> tuple[Change, ...]:
        """Return the first of the newest ``count`` changes, as many as one reply takes.

        None of them is larger than a reply.
        """
        changes: list[Change] = []
        size = 0
        for change in self._recent.newest(count):
            size += len(change.body)
            if changes and size > MAX_REPLY_BYTES:
                break
            changes.append(change)
        return tuple(changes[:MAX_CHANGES_PER_BATCH])

    def _fits_one_reply(self, count: int) -> bool:
        """Return whether one reply can hold the newest ``count`` changes."""
        if count > MAX_CHANGES_PER_BATCH:
            return False
        return (
            sum(len(each.body) for each in self._recent.newest(count))
            <= MAX_REPLY_BYTES
        )

    def _prefers_image(self, missing: int) -> bool:
        """Return whether an image is smaller than the newest changes."""
        if self._fits_one_reply(missing):
            return False
        size = sum(len(change.body) for change in self._recent.newest(missing))
        image = self._images.newest(at_least=0, create=self._image)
        return size > image.plain_size

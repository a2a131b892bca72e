"""Serves accepted changes and full images of the control state to its copies."""

from __future__ import annotations

import collections

from chicoryhold.control.messages import (
    ChangeBatch,
    FetchChanges,
    FetchImage,
    ImagePiece,
    SnapshotNeeded,
)
from chicoryhold.state.changes import Change
from chicoryhold.state.control_state import ControlState

MAX_RECENT_CHANGES = 2_000
MAX_CHANGES_PER_BATCH = 200
IMAGE_PIECE_BYTES = 65_536


class ChangeFeed:
    """The newest changes of a control state, and an image for copies further behind."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._recent: collections.deque[Change] = collections.deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._image_revision = 0
        self._image = b""

    def record(self, change: Change) -> None:
        """Add ``change``, which has just created a new revision of the state."""
        self._recent.append(change)

    def clear(self) -> None:
        """Discard all changes, as needed when an image has replaced the state."""
        self._recent.clear()

    def has_update_for(self, request: FetchChanges) -> bool:
        return request.after != self._state.revision

    def answer(
        self, request: FetchChanges, *, confirmed_age: float
    ) -> ChangeBatch | SnapshotNeeded:
        """Return the changes after ``request.after``.

        Returns ``SnapshotNeeded`` if they are no longer stored.
        """
        revision = self._state.revision
        missing = revision - request.after
        if missing < 0 or missing > len(self._recent):
            return SnapshotNeeded(revision=revision)
        start = len(self._recent) - missing
        stop = min(start + MAX_CHANGES_PER_BATCH, len(self._recent))
        changes = tuple(self._recent[position] for position in range(start, stop))
        return ChangeBatch(
            after=request.after,
            revision=revision,
            digest=self._state.digest,
            confirmed_age=confirmed_age,
            changes=changes,
        )

    def piece(self, request: FetchImage) -> ImagePiece:
        """Return one piece of an image.

        A request for the first piece, or for an image that is no longer stored, gets
        a piece of an image of the current state.
        """
        if request.offset == 0 or request.revision != self._image_revision:
            self._update_image()
        offset = request.offset if request.revision == self._image_revision else 0
        return ImagePiece(
            revision=self._image_revision,
            offset=offset,
            total=len(self._image),
            data=self._image[offset : offset + IMAGE_PIECE_BYTES],
        )

    def _update_image(self) -> None:
        if self._image_revision != self._state.revision:
            self._image = self._state.image(with_requests=False)
            self._image_revision = self._state.revision

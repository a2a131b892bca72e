"""Serves accepted changes and full images of the control state to its copies."""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterator

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
# A larger reply could take longer than a follower waits on a slow link, and would be
# sent again and again.
MAX_REPLY_BYTES = 32_768


class ChangeFeed:
    """The newest changes of a control state, and an image for copies further behind."""

    def __init__(self, *, state: ControlState) -> None:
        self._state = state
        self._recent: collections.deque[Change] = collections.deque(
            maxlen=MAX_RECENT_CHANGES
        )
        self._images: dict[int, bytes] = {}

    def record(self, change: Change) -> None:
        """Add ``change``, which has just created a new revision of the state."""
        self._recent.append(change)

    def clear(self) -> None:
        """Discard all changes, as needed when an image has replaced the state."""
        self._recent.clear()
        self._images.clear()

    def has_update_for(self, request: FetchChanges) -> bool:
        return request.after != self._state.revision

    def answer(
        self, request: FetchChanges, *, confirmed_age: float, waited: float = 0.0
    ) -> ChangeBatch | SnapshotNeeded:
        """Return the changes after ``request.after``.

        The request has been held for ``waited`` seconds. Returns ``SnapshotNeeded`` if
        the changes are no longer stored, or if an image takes fewer bytes.
        """
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

    def piece(self, request: FetchImage) -> ImagePiece:
        """Return one piece of an image.

        A request for the first piece, or for an image that is no longer stored, gets
        the first piece of the newest image.
        """
        revision, offset = request.revision, request.offset
        if offset == 0 or revision not in self._images:
            revision, offset = self._renew_image(at_least=request.at_least), 0
        image = self._images[revision]
        return ImagePiece(
            revision=revision,
            offset=offset,
            total=len(image),
            data=image[offset : offset + MAX_REPLY_BYTES],
        )

    def _first_of_newest(self, count: int) -> tuple[Change, ...]:
        """Return the first of the newest ``count`` changes, as many as one reply takes.

        None of them is larger than a reply.
        """
        changes: list[Change] = []
        size = 0
        for change in self._newest(count):
            size += len(change.body)
            if changes and size > MAX_REPLY_BYTES:
                break
            changes.append(change)
        return tuple(changes[:MAX_CHANGES_PER_BATCH])

    def _newest(self, count: int) -> Iterator[Change]:
        return itertools.islice(self._recent, len(self._recent) - count, None)

    def _fits_one_reply(self, count: int) -> bool:
        """Return whether one reply can hold the newest ``count`` changes."""
        if count > MAX_CHANGES_PER_BATCH:
            return False
        return sum(len(each.body) for each in self._newest(count)) <= MAX_REPLY_BYTES

    def _prefers_image(self, missing: int) -> bool:
        """Return whether an image suits a copy better than the newest changes.

        It does if they are larger, or if one of them is too large for a reply.
        """
        if self._fits_one_reply(missing):
            return False
        sizes = [len(change.body) for change in self._newest(missing)]
        if max(sizes) > MAX_REPLY_BYTES:
            # Only an image can be sent in several replies.
            return True
        revision = self._renew_image()
        return sum(sizes) > len(self._images[revision])

    def _renew_image(self, *, at_least: int = 0) -> int:
        """Store a new image unless the changes after the newest one fit one reply.

        An image older than of the revision ``at_least`` is renewed in any case.
        Returns the revision of the newest image. It isn't renewed with each change,
        since followers that are fetching it would have to start again.
        """
        newest = max(self._images, default=None)
        if newest is not None and newest >= at_least:
            later = self._state.revision - newest
            if later <= len(self._recent) and self._fits_one_reply(later):
                return newest
        kept = {} if newest is None else {newest: self._images[newest]}
        current = {self._state.revision: self._state.image(for_replica=False)}
        self._images = kept | current
        return self._state.revision

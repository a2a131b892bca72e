"""An entry host's copy of the control state, and how recent it is."""

from __future__ import annotations

import enum

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import ChangeBatch, ImagePiece
from chicoryhold.state.control_state import ControlState


class BatchResult(enum.Enum):
    """The result of applying a batch."""

    APPLIED = "applied"
    BEHIND = "the source is behind this copy"
    OUT_OF_ORDER = "the batch starts at another revision"
    MISMATCH = "the source has another history"


class Follower:
    """Applies batches and images in order; the revision never decreases.

    ``state`` stays empty until the copy has once held everything that a source held
    whose own copy had been confirmed. Until then it may lack changes that were accepted
    long ago, so routes and keys would seem unknown that are not.

    ``confirmed_at`` is the latest time on the local clock at which this copy was
    confirmed to be the newest accepted state. It is computed from the time at which
    the fetch was sent and the time for which the source held it, not from the arrival
    of the reply, so that a delayed reply doesn't make the copy appear more recent than
    it is.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._copy = ControlState(max_request_records=0)
        self._state = ControlState(max_request_records=0)
        self._feed = ChangeFeed(state=self._copy)
        self._confirmed_at = float("-inf")
        self._image = bytearray()
        self._image_revision = 0

    @property
    def state(self) -> ControlState:
        """The state to decide by; revision 0 until the copy was first confirmed."""
        return self._state

    @property
    def fetched_revision(self) -> int:
        """The revision of the copy, which may still be catching up."""
        return self._copy.revision

    @property
    def fetched_version(self) -> int:
        """The version of the configuration in the copy."""
        return self._copy.configuration.version

    @property
    def feed(self) -> ChangeFeed:
        return self._feed

    @property
    def confirmed_at(self) -> float:
        return self._confirmed_at

    @property
    def age(self) -> float:
        """Seconds since this copy was last confirmed to be the newest."""
        return self._clock.now() - self._confirmed_at

    @property
    def image_offset(self) -> int:
        """The number of bytes of the current image that have arrived."""
        return len(self._image)

    @property
    def image_revision(self) -> int:
        return self._image_revision

    def on_batch(self, batch: ChangeBatch, *, sent_at: float) -> BatchResult:
        """Apply the reply to the fetch that was sent at ``sent_at``."""
        if batch.revision < self._copy.revision:
            return BatchResult.BEHIND
        if batch.after != self._copy.revision:
            return BatchResult.OUT_OF_ORDER
        for change in batch.changes:
            self._copy.apply(change)
            self._feed.record(change)
        if self._copy.revision < batch.revision:
            return BatchResult.APPLIED
        if self._copy.digest != batch.digest:
            return BatchResult.MISMATCH
        if batch.confirmed_age < UNCONFIRMED_AGE_SECONDS:
            answered_at = min(self._clock.now(), sent_at + max(0.0, batch.waited))
            self._confirm(answered_at - batch.confirmed_age)
        return BatchResult.APPLIED

    def on_piece(self, piece: ImagePiece) -> bool:
        """Add a piece of an image; return whether the image is now loaded.

        A piece with offset 0 starts a new image; a piece out of order is ignored.
        """
        if piece.offset == 0:
            self._image = bytearray()
            self._image_revision = piece.revision
        if piece.offset != len(self._image) or piece.revision != self._image_revision:
            return False
        self._image += piece.data
        if len(self._image) < piece.total:
            return False
        return self._load_image()

    def _load_image(self) -> bool:
        data = bytes(self._image)
        self._image = bytearray()
        if self._image_revision < self._copy.revision:
            return False
        self._copy.load(data)
        self._feed.clear()
        return True

    def _confirm(self, confirmed_at: float) -> None:
        self._state = self._copy
        self._confirmed_at = max(self._confirmed_at, confirmed_at)

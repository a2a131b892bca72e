"""An entry host's copy of the control state, and how recent it is."""

from __future__ import annotations

import enum
import zlib
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.codec import decode
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.feed import ChangeFeed
from chicoryhold.control.messages import (
    ChangeBatch,
    FetchImage,
    ImagePiece,
    StateUpdate,
)
from chicoryhold.errors import UnknownMessage
from chicoryhold.state.control_state import ControlState

MAX_IMAGE_AGE_SECONDS = 2.0  # of an image that is put in force as it is


class BatchResult(enum.Enum):
    """The result of applying a batch."""

    APPLIED = "applied"
    BEHIND = "the source is behind this copy"
    OUT_OF_ORDER = "the batch starts at another revision"
    MISMATCH = "the source has another history"


@attrs.define(kw_only=True)
class _PartialImage:
    """The bytes of an image of the state at ``revision`` that have arrived."""

    revision: int = 0
    data: bytearray = attrs.field(factory=bytearray)


class Follower:
    """Applies batches and images in order; the revision never decreases.

    ``state`` stays empty until the copy has once held everything that a source held
    whose own copy had been confirmed, or is an image of a state that was confirmed a
    moment ago. Until then it may lack changes that were accepted long ago, so routes
    and keys would seem unknown that are not.

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
        self._version_came_at = float("-inf")
        self._partial_images: dict[str, _PartialImage] = {}

    @property
    def state(self) -> ControlState:
        """The state to decide by; revision 0 until the copy was first confirmed."""
        return self._state

    @property
    def fetched_revision(self) -> int:
        """The revision of the copy, which may still be catching up."""
        return self._copy.revision

    @property
    def fetched_digest(self) -> bytes:
        return self._copy.digest

    @property
    def fetched_version(self) -> int:
        """The version of the configuration in the copy."""
        return self._copy.configuration.version

    @property
    def version_came_at(self) -> float:
        """When the copy got the configuration that it has, on the local clock."""
        return self._version_came_at

    @property
    def image_bytes(self) -> int:
        """How many bytes of images have arrived that aren't complete."""
        return sum(len(image.data) for image in self._partial_images.values())

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

    def image_request(self, source: str) -> FetchImage:
        """Return the request for the next piece of an image of ``source``."""
        partial = self._partial_images.get(source, _PartialImage())
        return FetchImage(
            revision=partial.revision,
            offset=len(partial.data),
            at_least=self._copy.revision,
            compressed=True,
        )

    def on_batch(self, batch: ChangeBatch, *, sent_at: float) -> BatchResult:
        """Apply the reply to the fetch that was sent at ``sent_at``."""
        if batch.revision < self._copy.revision:
            return BatchResult.BEHIND
        if batch.after != self._copy.revision:
            return BatchResult.OUT_OF_ORDER
        with self._noting_version():
            for change in batch.changes:
                self._copy.apply(change)
                self._feed.record(change)
        if self._copy.revision < batch.revision:
            return BatchResult.APPLIED
        if self._copy.digest != batch.digest:
            return BatchResult.MISMATCH
        self._confirm(batch, sent_at)
        return BatchResult.APPLIED

    def on_update(self, update: StateUpdate, *, sent_at: float) -> BatchResult:
        """Apply the reply to the fetch that was sent at ``sent_at``.

        The copy may have changed meanwhile, by the reply to another fetch.
        """
        if update.revision < self._copy.revision:
            return BatchResult.BEHIND
        if update.revision > self._copy.revision:
            if not self._fits(update):
                return BatchResult.OUT_OF_ORDER
            if not self._apply(update):
                return BatchResult.MISMATCH
        self._confirm(update, sent_at)
        return BatchResult.APPLIED

    def _fits(self, update: StateUpdate) -> bool:
        """Return whether the difference can be applied to the copy as it is now."""
        if update.fits_later_copies:
            return update.after <= self._copy.revision
        return update.after == self._copy.revision

    def _apply(self, update: StateUpdate) -> bool:
        try:
            delta = decode(zlib.decompress(update.data))
        except (zlib.error, UnknownMessage) as error:
            logger.error("follower: dropped a difference: {}.", error)
            return False
        with self._noting_version():
            is_equal = self._copy.apply_delta(delta)
        self._feed.record_update()
        return is_equal

    def on_piece(
        self, piece: ImagePiece, *, source: str, sent_at: float = float("-inf")
    ) -> bool:
        """Add a piece of an image; return whether an image is now loaded.

        The fetch of the piece was sent at ``sent_at``.

        A piece with offset 0 starts a new image; a piece out of order is ignored.
        Images of two sources differ even if they are of the same revision.
        """
        if piece.offset == 0:
            self._partial_images[source] = _PartialImage(revision=piece.revision)
        partial = self._partial_images.get(source, _PartialImage())
        if piece.offset != len(partial.data) or piece.revision != partial.revision:
            return False
        partial.data += piece.data
        if len(partial.data) < piece.total:
            return False
        self._partial_images.clear()
        if not self._load_image(partial, is_compressed=piece.compressed):
            return False
        self._confirm_image(sent_at - piece.confirmed_age)
        return True

    def _load_image(self, image: _PartialImage, *, is_compressed: bool) -> bool:
        if image.revision < self._copy.revision:
            return False
        data = bytes(image.data)
        with self._noting_version():
            self._copy.load(zlib.decompress(data) if is_compressed else data)
        self._feed.clear()
        return True

    @contextmanager
    def _noting_version(self) -> Iterator[None]:
        """Note that the copy has another configuration after the block, if it has."""
        former = self._copy.configuration.version
        yield
        if self._copy.configuration.version == former:
            return
        self._version_came_at = self._clock.now()
        if self._state is not self._copy:
            logger.bind(
                version=self._copy.configuration.version,
                revision=self._copy.revision,
            ).info("follower: a configuration has come; no source has confirmed it.")

    def _confirm_image(self, confirmed_at: float) -> None:
        """Note that the image just loaded was that of the newest state then.

        One that was the newest longer ago decides nothing by itself: the copy first
        gets what its source has besides.
        """
        if self._clock.now() - confirmed_at < MAX_IMAGE_AGE_SECONDS:
            self._state = self._copy
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    def _confirm(self, reply: ChangeBatch | StateUpdate, sent_at: float) -> None:
        """Note that the copy has all that the source of ``reply`` had."""
        if reply.confirmed_age >= UNCONFIRMED_AGE_SECONDS:
            return
        answered_at = min(self._clock.now(), sent_at + max(0.0, reply.waited))
        self._state = self._copy
        self._confirmed_at = max(self._confirmed_at, answered_at - reply.confirmed_age)

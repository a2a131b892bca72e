"""The images of a state that copies are fetching, in pieces."""

from __future__ import annotations

import zlib
from collections.abc import Callable

import attrs

COMPRESSION_LEVEL = 1  # repeated field names make up most of what is compressed


@attrs.frozen(kw_only=True)
class Image:
    """An image of the state at ``revision``, compressed.

    ``plain_size`` is how many bytes it has uncompressed. ``confirmed_at`` is when the
    state was known to be the newest, as far as it was known when the image was made.
    """

    revision: int
    compressed: bytes
    plain_size: int
    confirmed_at: float

    @classmethod
    def of(cls, plain: bytes, *, revision: int, confirmed_at: float) -> Image:
        return cls(
            revision=revision,
            compressed=zlib.compress(plain, COMPRESSION_LEVEL),
            plain_size=len(plain),
            confirmed_at=confirmed_at,
        )

    def plain(self) -> bytes:
        """Return the image uncompressed, for hosts of older builds."""
        return zlib.decompress(self.compressed)


class Images:
    """The newest image and the one before it, which some copies still fetch.

    ``is_recent`` returns whether an image of a revision spares a copy that has it
    another image.
    """

    def __init__(self, *, is_recent: Callable[[int], bool]) -> None:
        self._is_recent = is_recent
        self._images: dict[int, Image] = {}

    def clear(self) -> None:
        self._images.clear()

    def get(self, revision: int) -> Image | None:
        return self._images.get(revision)

    def newest(self, *, at_least: int, create: Callable[[], Image]) -> Image:
        """Return the newest image, made anew if it isn't recent or before ``at_least``.

        It isn't made anew with each change, since copies that are fetching it would
        have to start again.
        """
        newest = max(self._images, default=None)
        if newest is not None and newest >= at_least and self._is_recent(newest):
            return self._images[newest]
        kept = {} if newest is None else {newest: self._images[newest]}
        image = create()
        self._images = kept | {image.revision: image}
        return image

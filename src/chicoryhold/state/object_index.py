"""At which revision each object of a state last changed, and a checksum over all."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator

import attrs

from chicoryhold.codec import encode

MAX_REMOVED_OBJECTS = 10_000
CHECKSUM_BYTES = 8

ObjectKey = tuple[str, ...]


@attrs.frozen(kw_only=True)
class _Entry:
    revision: int
    checksum: int  # 0 for an object that was removed


class ObjectIndex:
    """Knows which objects differ from those of an older revision.

    An object is named by its kind and its name within that kind. Objects that were
    removed stay known, up to ``MAX_REMOVED_OBJECTS`` of them; ``oldest_base`` is the
    oldest revision to which the difference is still known.

    ``checksum`` depends on the objects, not on how they came about.
    """

    def __init__(self, *, oldest_base: int = 0) -> None:
        self._oldest_base = oldest_base
        self._entries: dict[ObjectKey, _Entry] = {}  # those changed last come last
        self._removed: dict[ObjectKey, None] = {}
        self._checksum = 0

    @property
    def oldest_base(self) -> int:
        return self._oldest_base

    @property
    def checksum(self) -> int:
        return self._checksum

    def put(self, key: ObjectKey, value: object, *, revision: int) -> None:
        """Record that the object ``key`` has had ``value`` since ``revision``."""
        self._replace(key, _Entry(revision=revision, checksum=_checksum(key, value)))
        self._removed.pop(key, None)

    def remove(self, key: ObjectKey, *, revision: int) -> None:
        """Record that the object ``key`` doesn't exist any more since ``revision``."""
        if key not in self._entries or key in self._removed:
            return
        self._replace(key, _Entry(revision=revision, checksum=0))
        self._removed[key] = None
        if len(self._removed) > MAX_REMOVED_OBJECTS:
            oldest = next(iter(self._removed))
            del self._removed[oldest]
            self._oldest_base = self._entries.pop(oldest).revision

    def changed_after(self, revision: int) -> Iterator[ObjectKey]:
        """Yield the objects that changed after ``revision``, removed ones included."""
        for key in reversed(self._entries):
            if self._entries[key].revision <= revision:
                return
            yield key

    def _replace(self, key: ObjectKey, entry: _Entry) -> None:
        former = self._entries.pop(key, None)
        self._checksum ^= entry.checksum ^ (former.checksum if former else 0)
        self._entries[key] = entry


def _checksum(key: ObjectKey, value: object) -> int:
    digest = hashlib.blake2b(encode((key, value)), digest_size=CHECKSUM_BYTES).digest()
    return int.from_bytes(digest, "big")


def numbered(names: Iterable[ObjectKey]) -> Iterator[ObjectKey]:
    """Yield ``names``, the second and later ones of equal names with their number.

    Sorted, they are in the order of ``names`` among those that are equal.
    """
    counts: dict[ObjectKey, int] = {}
    for name in names:
        count = counts.get(name, 0)
        counts[name] = count + 1
        yield (*name, f"{count:06}") if count else name

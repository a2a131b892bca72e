"""Which targets an object belongs to, and which have handled it lately."""

from __future__ import annotations

import collections
import hashlib
from functools import lru_cache

MIXER = 0x9E3779B97F4A7C15  # the golden ratio in 64 bits, an odd multiplier
MASK = (1 << 64) - 1
REMEMBERED_OBJECTS = 128


@lru_cache(maxsize=8_192)
def hash_of(text: str) -> int:
    """Return 64 bits that depend on all of ``text``, equal in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def rendezvous_score(object_hash: int, target_hash: int) -> int:
    """Return the rank of a target for an object; the highest is its first home.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates" (1998).
    """
    mixed = ((object_hash ^ target_hash) * MIXER) & MASK
    mixed ^= mixed >> 29
    return (mixed * MIXER) & MASK


def share_of(object_hash: int, salt: int) -> float:
    """Return a fraction in [0, 1) that stays the same for an object."""
    return rendezvous_score(object_hash, salt) / (MASK + 1)


class RecentObjects:
    """The objects that this host has sent to one target lately."""

    def __init__(self) -> None:
        self._objects: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._objects

    def add(self, name: str) -> None:
        self._objects[name] = None
        self._objects.move_to_end(name)
        if len(self._objects) > REMEMBERED_OBJECTS:
            self._objects.popitem(last=False)

    def clear(self) -> None:
        self._objects.clear()

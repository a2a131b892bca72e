"""Affinity of requests to targets, by rendezvous hashing of their affinity keys."""

from __future__ import annotations

import collections
import hashlib
from functools import lru_cache

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # odd; 2**64 divided by the golden ratio
HASH_MASK = (1 << 64) - 1
MAX_RECENT_KEYS_PER_TARGET = 128


@lru_cache(maxsize=8_192)
def stable_hash(text: str) -> int:
    """Return a 64-bit hash of ``text`` that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def rendezvous_score(key_hash: int, target_hash: int) -> int:
    """Return the score of a target for an affinity key; the highest is preferred.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates" (1998).
    """
    mixed = ((key_hash ^ target_hash) * HASH_MULTIPLIER) & HASH_MASK
    mixed ^= mixed >> 29
    return (mixed * HASH_MULTIPLIER) & HASH_MASK


def hash_fraction(key_hash: int, salt: int) -> float:
    """Return a fraction in [0, 1) that depends only on the key and the salt."""
    return rendezvous_score(key_hash, salt) / (HASH_MASK + 1)


class RecentKeys:
    """The affinity keys of the requests that this host last sent to one target."""

    def __init__(self) -> None:
        self._keys: collections.OrderedDict[str, None] = collections.OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def add(self, key: str) -> None:
        self._keys[key] = None
        self._keys.move_to_end(key)
        if len(self._keys) > MAX_RECENT_KEYS_PER_TARGET:
            self._keys.popitem(last=False)

    def clear(self) -> None:
        self._keys.clear()

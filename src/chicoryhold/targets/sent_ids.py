"""The IDs of the requests that were sent over one connection."""

from __future__ import annotations

MAX_SENT_IDS = 1_000  # requests over one connection
_HASH_BYTES = 8


class SentIds:
    """Remembers which request IDs were sent over a connection.

    A target may send a response again, when the next one is due, and only the ID tells
    which request it answers. So an ID must not be sent twice over one connection.

    Only a hash of each ID is kept. If two have the same one, the later ID seems to have
    been sent, which costs a new connection at most.
    """

    def __init__(self) -> None:
        self._hashes = bytearray()

    def __contains__(self, request_id: str) -> bool:
        return _hash_of(request_id) in self._hashes

    def __len__(self) -> int:
        return len(self._hashes) // _HASH_BYTES

    @property
    def is_full(self) -> bool:
        """Whether no further ID may be added."""
        return len(self) >= MAX_SENT_IDS

    def add(self, request_id: str) -> None:
        self._hashes += _hash_of(request_id)


def _hash_of(request_id: str) -> bytes:
    return hash(request_id).to_bytes(_HASH_BYTES, "little", signed=True)

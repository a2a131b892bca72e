"""Names requests by a digest, so that neither keys nor bodies leave the host."""

from __future__ import annotations

import hashlib

from chicoryhold.keys import key_digest

DIGEST_BYTES = 8
LOGGED_CHARACTERS = 8


def request_digest(
    *, method: str, host: str, target: str, key: str | None, body: bytes
) -> bytes:
    """Return the same digest at every host for the same caller, path and body.

    ``target`` is the HTTP request target with the query, ``key`` the caller's API key.
    The digest is keyed by it, so that nobody who lacks the key can guess the body.
    Requests of open routes have no key and no caller.
    """
    secret = bytes.fromhex(key_digest(key or ""))
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=secret)
    for part in (method, host, target):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4) + encoded)
    digest.update(body)
    return digest.digest()


def loggable(digest: bytes) -> str:
    """Return enough of ``digest`` to tell requests apart in logs."""
    return digest.hex()[:LOGGED_CHARACTERS]

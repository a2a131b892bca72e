"""Names requests by a digest, so that neither keys nor bodies leave the host."""

from __future__ import annotations

import hashlib
from typing import Protocol

from chicoryhold.keys import key_digest

DIGEST_BYTES = 8
LOGGED_CHARACTERS = 8


class IdentifiedRequest(Protocol):
    """What makes a request the same one when it comes again.

    ``target`` is the HTTP request target with the query, ``key`` the caller's API key.
    """

    @property
    def method(self) -> str: ...

    @property
    def host(self) -> str: ...

    @property
    def target(self) -> str: ...

    @property
    def key(self) -> str | None: ...

    @property
    def body(self) -> bytes: ...


def request_digest(request: IdentifiedRequest) -> bytes:
    """Return the same digest at every host for the same caller, path and body.

    It is keyed by the caller's API key, so that nobody who lacks the key can guess the
    body from the digest. Requests of open routes have no key and no caller.
    """
    secret = bytes.fromhex(key_digest(request.key or ""))
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES, key=secret)
    for part in (request.method, request.host, request.target):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4) + encoded)
    digest.update(request.body)
    return digest.digest()


def loggable(digest: bytes) -> str:
    """Return enough of ``digest`` to tell requests apart in logs."""
    return digest.hex()[:LOGGED_CHARACTERS]

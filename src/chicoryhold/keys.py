"""API keys of callers: their format, creation and digest.

A key is ``chk_ID_SECRET`` with ID of 8 hexadecimal digits and SECRET of 32 letters
and digits. The fixed format lets a key be recognised wherever a caller puts it by
mistake.
"""

from __future__ import annotations

import hashlib
import re
import secrets
import string

import attrs

KEY_PATTERN = re.compile(r"chk_[0-9a-f]{8}_[A-Za-z0-9]{32}")
_ALPHABET = string.ascii_letters + string.digits
_SECRET_LENGTH = 32


@attrs.frozen(kw_only=True)
class NewKey:
    """A newly created key. Only its digest is stored."""

    key_id: str
    text: str = attrs.field(repr=False)


def create_key() -> NewKey:
    """Return a new random key."""
    key_id = secrets.token_hex(4)
    secret = "".join(secrets.choice(_ALPHABET) for _ in range(_SECRET_LENGTH))
    return NewKey(key_id=key_id, text=f"chk_{key_id}_{secret}")


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()

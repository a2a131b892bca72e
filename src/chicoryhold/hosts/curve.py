"""CURVE key files, which identify the processes that may connect to each other.

A key folder holds ``NAME.key`` (public) for every process that may connect, and
``NAME.key_secret`` only on the host of that process.
"""

from __future__ import annotations

from pathlib import Path

import attrs
import zmq.auth

from chicoryhold.errors import SettingsError


@attrs.frozen(kw_only=True)
class KeyPair:
    """A CURVE key pair, Z85 encoded."""

    public: bytes
    secret: bytes = attrs.field(repr=False)


def create_key_files(folder: Path, name: str) -> Path:
    """Create the two files of ``name`` and return the secret one's path."""
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / f"{name}.key").exists():
        raise SettingsError(f"{folder}/{name}.key exists: choose another process name")
    _, secret = zmq.auth.create_certificates(folder, name)
    Path(secret).chmod(0o600)
    return Path(secret)


def load_key_pair(folder: Path, name: str) -> KeyPair:
    """Return the key pair of the process ``name``."""
    path = folder / f"{name}.key_secret"
    if not path.exists():
        raise SettingsError(f"{path} is missing: run chicoryhold curve create")
    public, secret = zmq.auth.load_certificate(path)
    if secret is None:
        raise SettingsError(f"{path} holds no secret key: create the pair again")
    return KeyPair(public=public, secret=secret)


def load_public_keys(folder: Path) -> dict[str, bytes]:
    """Return the public key of every process that has a file in ``folder``."""
    keys = {}
    for path in sorted(folder.glob("*.key")):
        public, _ = zmq.auth.load_certificate(path)
        keys[path.stem] = public
    return keys

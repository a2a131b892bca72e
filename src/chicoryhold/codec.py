"""Schema-checked encoding of messages and log records as MessagePack."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import msgspec

from chicoryhold.errors import UnknownMessage

T = TypeVar("T")

_KINDS: dict[str, type] = {}
_ENVELOPE = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_ENCODER = msgspec.msgpack.Encoder()


def message(cls: type[T]) -> type[T]:
    """Make ``cls`` an immutable keyword-only record that peers can exchange."""
    made = attrs.frozen(kw_only=True)(cls)
    name = made.__name__
    if name in _KINDS:
        raise TypeError(f"message kind {name!r} is defined twice: rename one")
    _KINDS[name] = made
    return made


def encode(value: Any) -> bytes:
    """Return ``value`` as bytes that name its kind."""
    return _ENCODER.encode((type(value).__name__, value))


def decode(data: bytes) -> Any:
    """Return the message in ``data``.

    Raises ``UnknownMessage`` for a kind this version doesn't have, and for a body
    that doesn't match the schema of its kind.
    """
    try:
        name, body = _ENVELOPE.decode(data)
        return _decoder(name).decode(body)
    except msgspec.DecodeError as error:
        raise UnknownMessage(f"message can't be decoded: {error}") from error


def _decoder(name: str) -> msgspec.msgpack.Decoder:
    decoder = _DECODERS.get(name)
    if decoder is None:
        kind = _KINDS.get(name)
        if kind is None:
            raise UnknownMessage(
                f"message kind {name!r} is unknown: run the same version everywhere"
            )
        decoder = msgspec.msgpack.Decoder(kind)
        _DECODERS[name] = decoder
    return decoder

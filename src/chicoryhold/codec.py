"""Schema-checked encoding of messages and log records as MessagePack."""

from __future__ import annotations

from typing import Any, TypeVar

import attrs
import msgspec

from chicoryhold.errors import NotEncodable, UnknownMessage

T = TypeVar("T")

_KINDS: dict[str, type] = {}
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_DECODERS: dict[str, msgspec.msgpack.Decoder] = {}
_ENCODER = msgspec.msgpack.Encoder()


def message(cls: type[T]) -> type[T]:
    """Register ``cls`` as a message kind: an immutable, keyword-only record."""
    record_class = attrs.frozen(kw_only=True)(cls)
    name = record_class.__name__
    if name in _KINDS:
        raise TypeError(f"message kind {name!r} is defined twice: rename one")
    _KINDS[name] = record_class
    return record_class


def encode(value: Any) -> bytes:
    """Encode ``value`` together with the name of its kind.

    Raises ``NotEncodable`` if a number has more than 64 bits or a text is no Unicode.
    """
    try:
        return _ENCODER.encode((type(value).__name__, value))
    except (OverflowError, UnicodeEncodeError) as error:
        kind = type(value).__name__
        raise NotEncodable(f"{kind} can't be encoded: {error}") from error


def decode(data: bytes) -> Any:
    """Decode a message from ``data``.

    Raises ``UnknownMessage`` if this version doesn't define the message's kind, or if
    the body doesn't match the schema of that kind or is nested too deeply.
    """
    try:
        name, body = _ENVELOPE_DECODER.decode(data)
        return _decoder(name).decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
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

"""Records of a control replica's files, read one at a time.

A record is a header of three little-endian 32-bit words (payload length, CRC-32 of the
payload, CRC-32 of the first two words) and the payload.
"""

from __future__ import annotations

import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import attrs

from chicoryhold.errors import CorruptLog

_HEADER = struct.Struct("<III")
_LENGTH_AND_CRC = struct.Struct("<II")
_BLOCK_BYTES = 1_048_576


@attrs.frozen(kw_only=True)
class Record:
    """``end`` is the position after the record in its file."""

    payload: bytes
    end: int


def record_header(payload: bytes) -> bytes:
    """Return what stands before ``payload`` in a file."""
    words = _LENGTH_AND_CRC.pack(len(payload), zlib.crc32(payload))
    return words + struct.pack("<I", zlib.crc32(words))


def read_records(path: Path) -> Iterator[Record]:
    """Yield the records of a file, of which only one is in memory at a time.

    Stops at a torn record at the end. Raises ``CorruptLog`` if a valid record follows
    an invalid one: the invalid one was then synced before the valid one was written,
    so it was damaged later and isn't the result of an interrupted write.
    """
    with open(path, "rb") as file:
        size = os.fstat(file.fileno()).st_size
        position = 0
        while position < size:
            payload = _read_payload(file, position, size)
            if payload is None:
                if _has_valid_record_after(file, position + 1, size):
                    raise CorruptLog(corruption_message(path, position))
                return
            position += _HEADER.size + len(payload)
            yield Record(payload=payload, end=position)


def corruption_message(path: Path, position: int) -> str:
    return (
        f"{path} is damaged at byte {position}, before records that were synced: move "
        f"the folder {path.parent} away and start again with an empty one; the "
        "replica then rejoins under a new identity"
    )


def _read_payload(file: BinaryIO, position: int, size: int) -> bytes | None:
    """Return the payload of the record at ``position``, or ``None`` if it is invalid.

    ``size`` is that of the file.
    """
    file.seek(position)
    header = file.read(_HEADER.size)
    if not _is_header(header):
        return None
    length, payload_crc, _ = _HEADER.unpack(header)
    if length > size - position - _HEADER.size:
        return None
    payload = file.read(length)
    return payload if zlib.crc32(payload) == payload_crc else None


def _is_header(data: bytes) -> bool:
    if len(data) < _HEADER.size:
        return False
    return zlib.crc32(data[: _LENGTH_AND_CRC.size]) == _HEADER.unpack(data)[2]


def _has_valid_record_after(file: BinaryIO, start: int, size: int) -> bool:
    return any(
        _read_payload(file, position, size) is not None
        for position in _header_positions(file, start)
    )


def _header_positions(file: BinaryIO, start: int) -> Iterator[int]:
    """Yield each position from ``start`` on at which a valid header stands."""
    while True:
        file.seek(start)
        block = file.read(_BLOCK_BYTES)
        count = len(block) - _HEADER.size + 1
        if count <= 0:
            return
        for offset in range(count):
            if _is_header(block[offset : offset + _HEADER.size]):
                yield start + offset
        start += count

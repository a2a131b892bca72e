"""The encrypted bus of a process whose settings name all others."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from chicoryhold.hosts.bus import Bus
from chicoryhold.hosts.curve import load_key_pair, load_public_keys
from chicoryhold.hosts.transport import CurveTransport


def create_curve_bus(
    *, name: str, address: str, key_folder: Path, peers: Mapping[str, str]
) -> Bus:
    """Return a bus to ``peers``, which maps names to addresses; it isn't started."""
    return Bus(
        name=name,
        address=address,
        transport=CurveTransport(
            keys=load_key_pair(key_folder, name),
            authorized=load_public_keys(key_folder),
            peers=peers,
        ),
    )

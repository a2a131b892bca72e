"""Client address blocks in packed sorted arrays, searched by longest prefix."""

from __future__ import annotations

import bisect
import ipaddress
from array import array
from collections.abc import Iterable

import attrs

NO_PLACE = 0xFFFF


@attrs.frozen(kw_only=True)
class Block:
    """Clients from the address ``first`` with ``prefix`` bits belong to ``place``."""

    first: int
    prefix: int
    domain_index: int

    @property
    def last(self) -> int:
        return self.first + (1 << (32 - self.prefix)) - 1


def parse_block(network: str, domain_index: int) -> Block:
    """Return the block written as ``network``, for example ``10.0.0.0/8``."""
    parsed = ipaddress.IPv4Network(network)
    first = int(parsed.network_address)
    return Block(first=first, prefix=parsed.prefixlen, domain_index=domain_index)


class ClientBlocks:
    """Maps IPv4 addresses to places by longest prefix.

    Nested blocks are flattened into ranges that don't overlap, six bytes each, so
    that one binary search finds the longest prefix.
    """

    def __init__(self, blocks: Iterable[Block]) -> None:
        self._starts = array("I")
        self._places = array("H")
        self._flatten(blocks)

    def __len__(self) -> int:
        return len(self._starts)

    def domain_index_of(self, address: int) -> int | None:
        """Return the place of an address given as a number, if any block has it."""
        position = bisect.bisect_right(self._starts, address) - 1
        if position < 0:
            return None
        domain_index = self._places[position]
        return None if domain_index == NO_PLACE else domain_index

    def _flatten(self, blocks: Iterable[Block]) -> None:
        open_blocks: list[tuple[int, int]] = []
        for block in sorted(blocks, key=_nesting_order):
            self._close_before(open_blocks, block.first)
            self._add(block.first, block.domain_index)
            open_blocks.append((block.last, block.domain_index))
        self._close_before(open_blocks, 2**32)

    def _close_before(self, open_blocks: list[tuple[int, int]], first: int) -> None:
        """End every open block whose last address is below ``first``."""
        while open_blocks and open_blocks[-1][0] < first:
            last, _ = open_blocks.pop()
            outer = open_blocks[-1][1] if open_blocks else NO_PLACE
            if last + 1 < 2**32:
                self._add(last + 1, outer)

    def _add(self, start: int, domain_index: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._places[-1] = domain_index
            return
        if self._places and self._places[-1] == domain_index:
            return
        self._starts.append(start)
        self._places.append(domain_index)


def _nesting_order(block: Block) -> int:
    """Sort by first address, and the outer one first of those that start alike."""
    return block.first << 6 | block.prefix

"""Longest-prefix lookup of client IPv4 addresses in packed sorted arrays."""

from __future__ import annotations

import bisect
import ipaddress
from array import array
from collections.abc import Iterable

import attrs

NO_DOMAIN = 0xFFFF


@attrs.frozen(kw_only=True)
class Block:
    """The IPv4 network that starts at ``first`` and has a prefix of ``prefix`` bits.

    ``domain_index`` identifies the failure domain that its clients belong to.
    """

    first: int
    prefix: int
    domain_index: int

    @property
    def last(self) -> int:
        return self.first + (1 << (32 - self.prefix)) - 1


def parse_block(network: str, domain_index: int) -> Block:
    """Return the block for ``network`` in CIDR notation, such as ``10.0.0.0/8``."""
    parsed = ipaddress.IPv4Network(network)
    first = int(parsed.network_address)
    return Block(first=first, prefix=parsed.prefixlen, domain_index=domain_index)


class ClientBlocks:
    """Maps IPv4 addresses to failure domains by longest prefix match.

    Nested blocks are flattened into ranges that don't overlap, six bytes each, so
    that a single binary search finds the longest matching prefix.
    """

    def __init__(self, blocks: Iterable[Block]) -> None:
        self._starts = array("I")
        self._domain_indices = array("H")
        self._flatten(blocks)

    def __len__(self) -> int:
        return len(self._starts)

    def domain_index_of(self, address: int) -> int | None:
        """Return the domain index for a numeric address, ``None`` without a match."""
        position = bisect.bisect_right(self._starts, address) - 1
        if position < 0:
            return None
        domain_index = self._domain_indices[position]
        return None if domain_index == NO_DOMAIN else domain_index

    def _flatten(self, blocks: Iterable[Block]) -> None:
        open_blocks: list[tuple[int, int]] = []
        for block in sorted(blocks, key=_nesting_order):
            self._close_blocks_before(open_blocks, block.first)
            self._append_range(block.first, block.domain_index)
            open_blocks.append((block.last, block.domain_index))
        self._close_blocks_before(open_blocks, 2**32)

    def _close_blocks_before(
        self, open_blocks: list[tuple[int, int]], first: int
    ) -> None:
        """Close every open block whose last address is below ``first``.

        The range after a closed block belongs to the enclosing open block, if any.
        """
        while open_blocks and open_blocks[-1][0] < first:
            last, _ = open_blocks.pop()
            outer = open_blocks[-1][1] if open_blocks else NO_DOMAIN
            if last + 1 < 2**32:
                self._append_range(last + 1, outer)

    def _append_range(self, start: int, domain_index: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._domain_indices[-1] = domain_index
            return
        if self._domain_indices and self._domain_indices[-1] == domain_index:
            return
        self._starts.append(start)
        self._domain_indices.append(domain_index)


def _nesting_order(block: Block) -> int:
    """Sort key: the first address, and outer blocks before those nested in them."""
    return block.first << 6 | block.prefix

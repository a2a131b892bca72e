"""Tests of the look-up of client addresses."""

from __future__ import annotations

import ipaddress

from hypothesis import given, settings, strategies as st

from chicoryhold.steering.client_blocks import ClientBlocks, parse_block


@settings(max_examples=200)
@given(
    networks=st.lists(
        st.tuples(st.integers(0, 2**32 - 1), st.sampled_from([0, 4, 8, 15, 24, 32])),
        max_size=12,
        unique_by=lambda pair: (pair[0] >> (32 - pair[1]) if pair[1] else 0, pair[1]),
    ),
    addresses=st.lists(st.integers(0, 2**32 - 1), min_size=1, max_size=10),
)
def test_flattened_blocks_agree_with_a_linear_search(networks, addresses):
    parsed_networks = [
        ipaddress.IPv4Network((address, prefix), strict=False)
        for address, prefix in networks
    ]
    blocks = ClientBlocks(
        parse_block(str(n), index) for index, n in enumerate(parsed_networks)
    )
    edges = [int(n.network_address) for n in parsed_networks]
    edges += [int(n.broadcast_address) for n in parsed_networks]
    for address in addresses + edges:
        matching = [
            (network.prefixlen, index)
            for index, network in enumerate(parsed_networks)
            if ipaddress.IPv4Address(address) in network
        ]
        expected = max(matching)[1] if matching else None
        assert blocks.domain_index_of(address) == expected

"""Size and look-up time of the client blocks."""

from __future__ import annotations

import time
from random import Random

from bench.measuring import Row, cpu_seconds_per_call, slope
from chicoryhold.steering.client_blocks import Block, ClientBlocks

SEED = 20261204


def random_blocks(count: int) -> list[Block]:
    """Return ``count`` distinct random /24 blocks of 4,600 domains."""
    random = Random(SEED)
    networks = random.sample(range(1 << 24), count)
    return [
        Block(first=network << 8, prefix=24, domain_index=index % 4600)
        for index, network in enumerate(networks)
    ]


def measure_blocks() -> list[Row]:
    random = Random(SEED)
    rows = []
    sizes = (100_000, 400_000, 1_600_000)
    memory_by_size = []
    for size in sizes:
        blocks = random_blocks(size)
        started = time.process_time()
        client_blocks = ClientBlocks(blocks)
        load_seconds = time.process_time() - started
        # Each range takes six bytes in the arrays.
        memory_bytes = 6 * len(client_blocks)
        memory_by_size.append(memory_bytes)
        addresses = [random.getrandbits(32) for _ in range(100_000)]
        look_up = client_blocks.domain_index_of
        lookup_seconds = cpu_seconds_per_call(
            lambda a=addresses, f=look_up: list(map(f, a)), calls=1
        )
        label = f"{size:,} blocks"
        rows += [
            Row(quantity="arrays", size=label, value=memory_bytes / 1e6, unit="MB"),
            Row(quantity="load", size=label, value=load_seconds, unit="s of a core"),
            Row(
                quantity="find",
                size=label,
                value=1e5 / lookup_seconds,
                unit="per s and core",
            ),
        ]
        del blocks, client_blocks
    rows.append(
        Row(
            quantity="slope",
            size="-",
            value=slope(sizes, memory_by_size),
            unit="B a block",
        )
    )
    return rows

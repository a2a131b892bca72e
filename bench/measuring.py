"""Helpers shared by the measurements: CPU time, memory, line fit and output."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """One row of a results table: a quantity, measured at one input size."""

    quantity: str
    size: str
    value: float
    unit: str


def cpu_seconds_per_call(function: Callable[[], object], *, calls: int) -> float:
    """Return the CPU time of one call, as the median of five rounds of ``calls``."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(calls):
            function()
        rounds.append((time.process_time() - started) / calls)
    return sorted(rounds)[2]


def allocate_traced(create: Callable[[], object]) -> tuple[int, object]:
    """Return the bytes that the object returned by ``create`` takes, and the object."""
    gc.collect()
    tracemalloc.start()
    created = create()
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes, created


def slope(sizes: Sequence[float], values: Sequence[float]) -> float:
    """Return the least-squares slope of ``values`` over ``sizes``."""
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    numerator = sum(
        (size - mean_size) * (value - mean_value)
        for size, value in zip(sizes, values, strict=True)
    )
    return numerator / sum((size - mean_size) ** 2 for size in sizes)


def print_rows(title: str, rows: Sequence[Row]) -> None:
    """Print rows as a Markdown table."""
    print(f"\n### {title}\n\n| what | size | figure | unit |\n|---|---|---|---|")
    for row in rows:
        print(f"| {row.quantity} | {row.size} | {row.value:.4g} | {row.unit} |")

"""Small helpers that every measurement uses."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """One measured figure at one size."""

    what: str
    size: str
    figure: float
    unit: str


def seconds_each(action: Callable[[], object], *, repeat: int) -> float:
    """Return the processor time of one call, as the median of five rounds."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(repeat):
            action()
        rounds.append((time.process_time() - started) / repeat)
    return sorted(rounds)[2]


def bytes_held(create: Callable[[], object]) -> tuple[int, object]:
    """Return how many bytes the object made by ``create`` holds, and the object."""
    gc.collect()
    tracemalloc.start()
    made = create()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held, made


def slope(sizes: Sequence[float], figures: Sequence[float]) -> float:
    """Return the least-squares slope of ``figures`` over ``sizes``."""
    mean_size = sum(sizes) / len(sizes)
    mean_figure = sum(figures) / len(figures)
    top = sum(
        (size - mean_size) * (figure - mean_figure)
        for size, figure in zip(sizes, figures, strict=True)
    )
    return top / sum((size - mean_size) ** 2 for size in sizes)


def print_rows(title: str, rows: Sequence[Row]) -> None:
    """Print rows as a Markdown table."""
    print(f"\n### {title}\n\n| what | size | figure | unit |\n|---|---|---|---|")
    for row in rows:
        print(f"| {row.what} | {row.size} | {row.figure:.4g} | {row.unit} |")

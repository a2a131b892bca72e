"""Prints responses of the administration API as tables."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from rich.console import Console
from rich.table import Table


def print_fields(fields: Mapping[str, object]) -> None:
    """Print lists of records as tables, and every other field as a line."""
    console = Console(soft_wrap=True, highlight=False)
    for name, value in fields.items():
        if _is_records(value):
            console.print(_records_table(name, value))
        elif isinstance(value, str) and "\n" in value:
            console.print(f"{name}:", markup=False)
            console.print(value.rstrip(), markup=False)
        elif isinstance(value, list):
            console.print(f"{name}: {', '.join(map(str, value))}", markup=False)
        elif value not in ("", None):
            console.print(f"{name}: {value}", markup=False)


def _is_records(value: object) -> bool:
    return isinstance(value, list) and value != [] and isinstance(value[0], Mapping)


def _records_table(name: str, records: Sequence[Mapping[str, object]]) -> Table:
    table = Table(title=name, title_justify="left")
    for column in records[0]:
        table.add_column(column)
    for record in records:
        table.add_row(*(str(cell) for cell in record.values()))
    return table

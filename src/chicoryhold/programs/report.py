"""``chicoryhold-report``: burn rates of error budgets."""

from __future__ import annotations

import json
import time
from pathlib import Path

import attrs
from absl import flags
from rich.console import Console
from rich.table import Table

from chicoryhold.errors import ReportError
from chicoryhold.programs.running import run_program
from chicoryhold.report.burn import WINDOWS, BurnRow, burn_rows, worst_organisation
from chicoryhold.report.samples import append_samples, fetch_samples, read_samples

USAGE = """Shows how fast services and organisations use up their error budgets.

usage: %s record --hosts=IP:PORT,... [--every=SECONDS] [--file=FILE]
       %s show [--file=FILE] [--objective=0.999] [--json]
"""
_FILE = flags.DEFINE_string("file", "samples.jsonl", "The record of samples.")
_HOSTS = flags.DEFINE_list("hosts", [], "Metrics addresses of the entry hosts.")
_EVERY = flags.DEFINE_float("every", 0.0, "Seconds between samples; 0 for one.")
_OBJECTIVE = flags.DEFINE_float(
    "objective", 0.999, "Share of good requests.", lower_bound=0.5, upper_bound=0.99999
)
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of a table.")


def run() -> None:
    """Entry point of the console script."""
    run_program(_main, usage=USAGE)


def _main(arguments: list[str]) -> None:
    if arguments == ["record"]:
        _record()
    elif arguments == ["show"]:
        _show()
    else:
        raise ReportError(f"{' '.join(arguments)!r} is not a command: see --help")


def _record() -> None:
    if not _HOSTS.value:
        raise ReportError("--hosts is missing: name the entry hosts' metrics addresses")
    while True:
        now = time.time()
        for host in _HOSTS.value:
            append_samples(Path(_FILE.value), fetch_samples(host, time=now))
        if _EVERY.value <= 0:
            return
        time.sleep(_EVERY.value)


def _show() -> None:
    samples = read_samples(Path(_FILE.value))
    rows = burn_rows(samples, objective=_OBJECTIVE.value, now=time.time())
    worst = worst_organisation(rows)
    if _JSON.value:
        fields = [attrs.asdict(row) for row in rows]
        print(json.dumps({"rows": fields, "worst_organisation": worst}))
        return
    console = Console(soft_wrap=True)
    console.print(_table(rows))
    console.print(f"worst-served organisation: {worst or 'none'}")


def _table(rows: list[BurnRow]) -> Table:
    table = Table(title=f"burn at an objective of {_OBJECTIVE.value:g}")
    counters = ("requests", "refused", "failed", "rate exceeded")
    columns = ("service", "organisation", *counters, *WINDOWS, "budget left", "alarm")
    for name in columns:
        table.add_column(name)
    for row in rows:
        counts = (row.requests, row.refused, row.failed, row.rate_exceeded)
        table.add_row(
            row.service,
            row.organisation or "(open)",
            *map(str, counts),
            *(f"{row.burn[window]:.2f}" for window in WINDOWS),
            f"{row.budget_left:.0%}",
            row.alarm,
        )
    return table

"""Memory of idle processes."""

from __future__ import annotations

import subprocess
import sys

from bench.measuring import Row


def measure_processes() -> list[Row]:
    """Measure the resident memory of Python processes that only import modules."""
    modules = {
        "interpreter alone": "sys",
        "control replica's modules": "chicoryhold.programs.control",
        "entry host's modules": "chicoryhold.programs.entry",
    }
    rows = []
    for label, module in modules.items():
        code = f"import {module}; print(open('/proc/self/status').read())"
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        rss_line = next(
            x for x in completed.stdout.splitlines() if x.startswith("VmRSS")
        )
        rows.append(
            Row(
                quantity=label,
                size="-",
                value=int(rss_line.split()[1]) / 1024,
                unit="MB",
            )
        )
    return rows

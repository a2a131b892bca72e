"""Measures how state, messages, CPU time and memory grow with size.

Run it with ``make capacity``. It prints Markdown tables; docs/CAPACITY.md uses the
slopes.
"""

from __future__ import annotations

import os
import sys

from bench.capacity.client_blocks import SEED, measure_blocks
from bench.capacity.control_state import measure_changes, measure_state, measure_table
from bench.capacity.disk import measure_disk
from bench.capacity.domains import measure_claims, measure_coordinator
from bench.capacity.messages import measure_bus, measure_messages
from bench.capacity.processes import measure_processes
from bench.measuring import print_rows


def main() -> None:
    """Run every measurement and print the results."""
    print(f"seed {SEED}, Python {sys.version.split()[0]}, {os.cpu_count()} cores")
    print_rows("Memory of an idle process", measure_processes())
    print_rows("Client blocks", measure_blocks())
    print_rows("Control state", measure_state())
    print_rows("Table", measure_table())
    print_rows("Changes", measure_changes())
    print_rows("Disk", measure_disk())
    print_rows("Coordinator", measure_coordinator())
    print_rows("Claims", measure_claims())
    print_rows("Messages", measure_messages())
    print_rows("Messages over sockets", measure_bus())


if __name__ == "__main__":
    main()

"""Time of synced writes to the log of a control replica."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from bench.capacity.control_state import change
from bench.measuring import Row
from chicoryhold.codec import encode
from chicoryhold.consensus.messages import Entry, Members
from chicoryhold.control.storage import open_storage
from chicoryhold.state.changes import CreateOrganisation


def measure_disk() -> list[Row]:
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        with open_storage(Path(folder) / "data") as storage:
            for size in (1, 10, 100):
                command = encode(change(1, CreateOrganisation(name="x")))
                entries = [
                    Entry(index=i + 1, term=1, command=command) for i in range(size)
                ]
                durations = []
                for _ in range(30):
                    started = time.perf_counter()
                    storage.append(entries)
                    durations.append(time.perf_counter() - started)
                median_ms = sorted(durations)[15] * 1e3
                label = f"{size} entries at once"
                rows.append(
                    Row(
                        quantity="append, synced",
                        size=label,
                        value=median_ms,
                        unit="ms",
                    )
                )
            log = storage.load_log(Members(voters=("a",)))
            rows.append(
                Row(quantity="log read", size="-", value=log.last_index, unit="entries")
            )
    return rows

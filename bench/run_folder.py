"""Folders for the settings and logs of a run."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from chicoryhold.trial.fleet import FleetError


@contextmanager
def run_folder(name: str, *, prefix: str) -> Iterator[Path]:
    """Yield the new folder ``name``, or a temporary one if ``name`` is empty."""
    if not name:
        with tempfile.TemporaryDirectory(prefix=prefix) as folder:
            yield Path(folder)
        return
    folder = Path(name).resolve()
    folder.mkdir(parents=True, exist_ok=True)
    if any(folder.iterdir()):
        raise FleetError(f"{folder} isn't empty: name a new folder")
    yield folder

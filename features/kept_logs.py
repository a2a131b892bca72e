"""Keeps what the processes logged and operators were told when a scenario failed."""

from __future__ import annotations

import re
import shutil
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Protocol

from chicoryhold.trial.fleet import Member

OPERATOR_COMMANDS = (("host", "list"), ("in-force",), ("replicas",))
FAILURE_FILE = "failure.txt"


class LoggingFleet(Protocol):
    """The processes of an installation, and its operators' command line."""

    @property
    def members(self) -> Mapping[str, Member]: ...

    def run_cli(self, *arguments: object, check: bool = True) -> dict: ...


def keep_logs(fleet: LoggingFleet, *, scenario: str, failure: str) -> Path:
    """Copy all logs to a new folder and return it.

    ``failure`` says which step failed and how. The folder also gets what the
    operators' commands say now, the first of them before anything is copied.
    """
    prefix = re.sub(r"\W+", "-", scenario).strip("-")[:40]
    folder = Path(tempfile.mkdtemp(prefix=f"chicoryhold-failed-{prefix}-"))
    (folder / FAILURE_FILE).write_text(f"{scenario}\n{failure}\n")
    for command in OPERATOR_COMMANDS:
        _keep_answer(fleet, command, folder)
    for member in fleet.members.values():
        if member.log.exists():
            shutil.copy(member.log, folder)
    return folder


def _keep_answer(fleet: LoggingFleet, command: Sequence[str], folder: Path) -> None:
    answer = fleet.run_cli(*command, check=False)
    (folder / f"{'-'.join(command)}.txt").write_text(f"{answer}\n")

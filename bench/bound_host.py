"""Starts an entry host whose connections to targets come from its own address.

usage: bound_host.py gateway

Targets on loopback then see which host a request comes from.
"""

from __future__ import annotations

import os
import runpy
import sys
import tomllib
from functools import partial
from pathlib import Path

PROGRAM = Path(__file__).resolve().parents[1] / "platform" / "run.py"


def load_program() -> dict[str, object]:
    """Return the names of the platform's program, with the connections bound."""
    program = runpy.run_path(str(PROGRAM), run_name="platform_program")
    program["_set_import_path"]()
    from chicoryhold.targets import checked_connection

    settings = Path(os.environ["CHICORYHOLD_SETTINGS"])
    ip = tomllib.loads(settings.read_text())["self"]["ip"]
    checked_connection.create_connection = partial(
        checked_connection.create_connection, source_address=(ip, 0)
    )
    return program


if __name__ == "__main__":
    sys.exit(load_program()["main"]())

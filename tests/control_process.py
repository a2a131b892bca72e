"""A platform control process that is the only host of a new installation."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs

from bench.stops.hosts import free_ports

ROOT = Path(__file__).resolve().parent.parent
CONFIGURATION = {
    "version": "00000001",
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path_prefix": "/a/",
            "kind": "safe",
            "service": "s",
        }
    ],
    "services": [{"name": "s"}],
}


@attrs.frozen(kw_only=True)
class StartedControl:
    """The process, and the addresses of its two services."""

    process: subprocess.Popen
    control_address: tuple[str, int]
    directory_address: tuple[str, int]


@contextmanager
def started_control(
    folder: Path, *, ip: str, seeds: tuple[str, ...]
) -> Iterator[StartedControl]:
    """Start a control process on ``ip``, whose settings name ``seeds``; kill it after.

    Its settings and its data are in ``folder``.
    """
    control_port, directory_port, bus_port = free_ports(ip, 3)
    settings = folder / "settings.toml"
    seed_addresses = [f"{seed}:{control_port}" for seed in seeds]
    settings.write_text(
        f"""
[self]
ip = "{ip}"
zone = "north-a"
region = "north"
bootstrap = true
data_dir = "{folder}/data"
[network]
internal_ports = [{bus_port}, {bus_port + 15}]
seeds = {json.dumps(seed_addresses)}
[network.zones]
north-a = "north"
[network.listen]
control = "{ip}:{control_port}"
directory = "{ip}:{directory_port}"
"""
    )
    process = subprocess.Popen(
        [sys.executable, str(ROOT / "platform" / "run.py"), "control"],
        cwd=ROOT,
        env={**os.environ, "CHICORYHOLD_SETTINGS": str(settings)},
        stdout=subprocess.DEVNULL,
    )
    try:
        yield StartedControl(
            process=process,
            control_address=(ip, control_port),
            directory_address=(ip, directory_port),
        )
    finally:
        process.kill()
        process.wait()

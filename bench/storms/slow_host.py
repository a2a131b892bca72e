"""Starts an entry host whose messages to control hosts pass through links.

usage: slow_host.py gateway

Beside the settings file there is a JSON file that maps peers to the links' addresses.
"""

from __future__ import annotations

import json
import os
import runpy
import sys
from pathlib import Path

BOUND_HOST_PROGRAM = Path(__file__).resolve().parents[1] / "bound_host.py"
LINKS_SUFFIX = ".links.json"


def main() -> None:
    """Run the program with its peers found by way of the links."""
    program = runpy.run_path(str(BOUND_HOST_PROGRAM))["load_program"]()
    from chicoryhold.hosts.transport import PlaintextTransport

    settings = Path(os.environ["CHICORYHOLD_SETTINGS"])
    links = json.loads(settings.with_suffix(LINKS_SUFFIX).read_text())
    address_of = PlaintextTransport.address_of

    def by_link(transport: PlaintextTransport, peer: str) -> str | None:
        return links.get(peer) or address_of(transport, peer)

    PlaintextTransport.address_of = by_link
    program["main"]()


if __name__ == "__main__":
    sys.exit(main())

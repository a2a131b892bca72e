"""Helpers of the steps that send requests from several hosts at once."""

from __future__ import annotations

import threading
import time

from features.support import flood


def caller_hosts(context):
    """Return the names of the hosts that serve callers."""
    return [
        name
        for name, member in context.fleet.members.items()
        if "callers" in member.addresses
    ]


def run_at_once(actions):
    """Run each action in a thread of its own until all have ended."""
    threads = [threading.Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def flood_hosts(context, organisation, request, hosts, seconds):
    """Send requests to all ``hosts`` at once, without a pause for ``seconds``."""
    context.flood_started = time.monotonic()
    method, path = request.split()
    run_at_once(
        lambda host=host: flood(context, organisation, method, path, host, seconds)
        for host in hosts
    )
    context.flood_seconds = time.monotonic() - context.flood_started

"""Control hosts of this build and of the build in production in one group."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from bench.control_memory import MemoryRun, control_hosts
from bench.stops.hosts import PROGRAM
from tests.test_upgrade import old_build  # noqa: F401

ROUTES = 1_400
CHANGES = 22  # long enough together that each host takes a snapshot
OLD, NEW = "old", "new"


@pytest.mark.parametrize(
    ("builds", "ip_prefix"),
    [((OLD, OLD, NEW), "127.0.32."), ((NEW, NEW, OLD), "127.0.33.")],
)
def test_a_group_of_both_builds_survives_lost_disks_and_a_kill_of_all(
    old_build,  # noqa: F811
    tmp_path,
    builds,
    ip_prefix,
):
    """Each build sends the other a snapshot in the form that it takes."""
    programs = {OLD: old_build / "platform" / "run.py", NEW: PROGRAM}
    chosen: list[Path] = [programs[build] for build in builds]
    with control_hosts(chosen, folder=tmp_path, ip_prefix=ip_prefix) as hosts:
        run = MemoryRun(hosts=hosts, routes=ROUTES, random=Random(1))
        run.found()
        for _ in range(CHANGES):
            run.put()
        for host in (hosts[0], hosts[-1]):
            run.recover(lambda host=host: run.lose_disk(host))
        run.recover(run.kill_all)
        assert all(host.process.is_running for host in hosts)
    assert len(list(tmp_path.glob("data-*/snapshot"))) == len(hosts)
    logs = "".join(path.read_text() for path in tmp_path.glob("*.log"))
    assert "is unknown: run the same version" not in logs
    assert '"ERROR"' not in logs

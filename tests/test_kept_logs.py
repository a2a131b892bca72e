"""What is kept of a scenario that failed."""

from __future__ import annotations

import tempfile
from pathlib import Path

import attrs
import pytest

from chicoryhold.trial.fleet import Member
from features.kept_logs import FAILURE_FILE, keep_logs


@attrs.frozen(kw_only=True)
class FakeFleet:
    """Processes with logs, whose operators are told nothing."""

    members: dict[str, Member]

    def run_cli(self, *arguments: object, check: bool = True) -> dict:
        assert not check, "a command that fails must not hide the failure of the step"
        return {"error": f"no leader for {' '.join(map(str, arguments))}"}


def a_member(folder: Path, name: str) -> Member:
    log = folder / f"{name}.log"
    return Member(name=name, command=[], addresses={}, log=log)


@pytest.fixture
def fleet(tmp_path, monkeypatch) -> FakeFleet:
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    fleet_folder = tmp_path / "fleet"
    fleet_folder.mkdir()
    names = ("control-1", "north-a-1", "never-started")
    members = {name: a_member(fleet_folder, name) for name in names}
    for name in names[:2]:
        members[name].log.write_text(f"a line of {name}\n")
    return FakeFleet(members=members)


def test_the_logs_of_all_processes_that_ran_are_kept(fleet):
    folder = keep_logs(fleet, scenario="s", failure="f")
    kept = {path.name: path.read_text() for path in folder.glob("*.log")}
    assert kept == {
        "control-1.log": "a line of control-1\n",
        "north-a-1.log": "a line of north-a-1\n",
    }


def test_what_operators_are_told_is_kept_though_there_is_no_leader(fleet):
    folder = keep_logs(fleet, scenario="s", failure="f")
    assert "no leader for host list" in (folder / "host-list.txt").read_text()


def test_the_folder_names_the_scenario_and_holds_the_failure(fleet):
    folder = keep_logs(fleet, scenario="A disk/is lost -- @1.4 ", failure="wait 9")
    assert "A-disk-is-lost-1-4" in folder.name
    assert (folder / FAILURE_FILE).read_text().endswith("wait 9\n")


def test_each_failure_has_a_folder_of_its_own(fleet):
    folders = {keep_logs(fleet, scenario="s", failure="f") for _ in range(2)}
    assert len(folders) == 2

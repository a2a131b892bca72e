"""Sets up and runs a small installation on loopback addresses."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import urllib3

from chicoryhold.errors import ChicoryholdError

START_TIMEOUT = 30.0
STOP_TIMEOUT = 15.0
TOKEN = "trial-announcement-token"


class TrialFailed(ChicoryholdError):
    """Raised when a condition that a trial waits for doesn't come true in time."""


def free_address(ip: str) -> str:
    """Return ``ip`` with a port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


def wait_until(condition: Callable[[], object], *, what: str, timeout: float) -> object:
    """Return the first true value of ``condition``."""
    give_up = time.monotonic() + timeout
    while time.monotonic() < give_up:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise TrialFailed(f"{what} did not happen within {timeout:g} s: see the logs")


@attrs.define(kw_only=True)
class Member:
    """One process of the fleet. ``addresses`` by use: callers, api, metrics, peers."""

    name: str
    command: list[str]
    addresses: dict[str, str]
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log)

    def kill(self) -> None:
        """End the process at once, as a crash would."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.process.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        self.process.terminate()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None


class Fleet:
    """An installation in ``folder``: control replicas, entry hosts and targets."""

    def __init__(self, *, folder: Path, domains: dict[str, int]) -> None:
        self._folder = folder
        self._domains = domains
        self._members: dict[str, Member] = {}
        self._operator_token = ""
        self._pool = urllib3.PoolManager(retries=False)

    @property
    def folder(self) -> Path:
        return self._folder

    @property
    def members(self) -> dict[str, Member]:
        return self._members

    def __getitem__(self, name: str) -> Member:
        return self._members[name]

    def run_cli(self, *arguments: object, check: bool = True) -> dict:
        """Run the operators' command line and return its JSON output."""
        done = self.run_cli_raw(*arguments)
        if check and done.returncode:
            raise TrialFailed(f"{arguments}: {done.stderr}")
        return json.loads(done.stdout) if done.stdout else {"error": done.stderr}

    def run_cli_raw(self, *arguments: object) -> subprocess.CompletedProcess:
        command = [_script("chicoryhold"), *map(str, arguments), "--json"]
        settings = f"--settings={self._folder / 'chicoryhold.toml'}"
        return subprocess.run([*command, settings], capture_output=True, text=True)

    def set_up(self) -> None:
        """Create keys and settings files."""
        self._folder.mkdir(parents=True, exist_ok=True)
        operator = self.run_cli("operator", "create", "ana")
        self._operator_token = operator["token"]
        controls = [f"control-{number}" for number in (1, 2, 3)]
        for number, name in enumerate(controls, 1):
            self._add_control(name, f"127.0.1.{number}")
        for place, (domain, count) in enumerate(self._domains.items(), 1):
            for number in range(1, count + 1):
                self._add_entry(f"{domain}-{number}", f"127.0.{10 + place}.{number}")
        for name in self._members:
            self._create_keys(name)
        self._write_settings(controls, operator["token_sha256"])

    def add_target(self, *, domain: str, service: str, options: tuple = ()) -> Member:
        """Start a stand-in target in ``domain``."""
        place = list(self._domains).index(domain) + 1
        name = f"{domain}-{service}-{len(self._members)}"
        address = free_address(f"127.0.{10 + place}.{100 + len(self._members)}")
        entries = [
            member.addresses["callers"]
            for member in self._members.values()
            if "callers" in member.addresses and member.name.startswith(f"{domain}-")
        ]
        command = [
            sys.executable,
            "-m",
            "chicoryhold.trial.target",
            f"--service={service}",
            f"--address={address}",
            f"--entry={','.join(entries)}",
            f"--token={TOKEN}",
            *options,
        ]
        member = Member(
            name=name,
            command=command,
            addresses={"target": address},
            log=self._folder / f"{name}.log",
        )
        self._members[name] = member
        member.start()
        return member

    def start(self) -> None:
        """Start every control replica and entry host, and wait until all are ready."""
        for member in self._members.values():
            member.start()
        for member in self._members.values():
            if "metrics" in member.addresses:
                self.wait_listening(member)
        founders = [m for m in self._members.values() if "api" in m.addresses]
        for member in founders:
            if "--found" in member.command:
                member.command.remove("--found")

    def wait_listening(self, member: Member) -> None:
        wait_until(
            lambda: self._get(member, "/healthz"),
            what=f"start of {member.name}",
            timeout=START_TIMEOUT,
        )

    def wait_ready(self, member: Member) -> None:
        """Wait until ``member`` says that it is ready."""
        wait_until(
            lambda: self._get(member, "/readyz"),
            what=f"readiness of {member.name}",
            timeout=START_TIMEOUT,
        )

    def stop(self) -> None:
        """End every process that this fleet started."""
        running = [m for m in self._members.values() if m.running]
        for member in running:
            member.resume()
            member.terminate()
        give_up = time.monotonic() + STOP_TIMEOUT
        for member in running:
            try:
                member.process.wait(max(0.1, give_up - time.monotonic()))
            except subprocess.TimeoutExpired:
                member.kill()

    def seen(self, target: Member) -> dict:
        """Return what ran at a stand-in target."""
        url = f"http://{target.addresses['target']}/trial/seen"
        return self._pool.request("GET", url, timeout=5.0).json()

    def wait_target_listening(self, target: Member) -> None:
        """Wait until a stand-in target listens."""

        def listens() -> bool:
            try:
                return bool(self.seen(target))
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(listens, what=f"start of {target.name}", timeout=START_TIMEOUT)

    def _get(self, member: Member, path: str) -> bool:
        url = f"http://{member.addresses['metrics']}{path}"
        try:
            return self._pool.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            if not member.running:
                log = member.log.read_text()[-2000:]
                raise TrialFailed(f"{member.name} ended: {log}") from None
            return False

    def _add_control(self, name: str, ip: str) -> None:
        addresses = {use: free_address(ip) for use in ("api", "metrics", "peers")}
        self._add(name, "chicoryhold-control", addresses, "--found")

    def _add_entry(self, name: str, ip: str) -> None:
        addresses = {use: free_address(ip) for use in ("callers", "metrics", "peers")}
        self._add(name, "chicoryhold-entry", addresses)

    def _add(self, name: str, script: str, addresses: dict, *options: str) -> None:
        settings = f"--settings={self._folder / name}.toml"
        self._members[name] = Member(
            name=name,
            command=[_script(script), settings, *options],
            addresses=addresses,
            log=self._folder / f"{name}.log",
        )

    def _create_keys(self, name: str) -> None:
        self.run_cli("curve", "create", name, f"--folder={self._folder / 'keys'}")

    def _write_settings(self, controls: list[str], token_sha256: str) -> None:
        replicas = "\n".join(
            f'{name} = "{self._members[name].addresses["peers"]}"' for name in controls
        )
        domains = "\n".join(self._domain_section(domain) for domain in self._domains)
        for member in self._members.values():
            head = _head(member, self._folder)
            if "api" in member.addresses:
                text = (
                    f'{head}api_address = "{member.addresses["api"]}"\n'
                    f'data_folder = "{self._folder / "data" / member.name}"\n'
                    f"{_transport(member, self._folder)}"
                    f"[replicas]\n{replicas}\n"
                    f'[[operators]]\nname = "ana"\ntoken_sha256 = "{token_sha256}"\n'
                )
            else:
                domain = member.name.rpartition("-")[0]
                text = (
                    f'{head}callers_address = "{member.addresses["callers"]}"\n'
                    f'domain = "{domain}"\nannouncement_token = "{TOKEN}"\n'
                    f"{_transport(member, self._folder)}"
                    f"[replicas]\n{replicas}\n{domains}\n"
                )
            (self._folder / f"{member.name}.toml").write_text(text)
        apis = ", ".join(
            f'"{self._members[name].addresses["api"]}"' for name in controls
        )
        (self._folder / "chicoryhold.toml").write_text(
            f'apis = [{apis}]\noperator = "ana"\ntoken = "{self._operator_token}"\n'
        )

    def _domain_section(self, domain: str) -> str:
        names = [f"{domain}-{n}" for n in range(1, self._domains[domain] + 1)]
        hosts = "\n".join(
            f'{name} = "{self._members[name].addresses["peers"]}"' for name in names
        )
        callers = "\n".join(
            f'{name} = "{self._members[name].addresses["callers"]}"' for name in names
        )
        region = domain.partition("-")[0]
        return (
            f'[domains.{domain}]\nregion = "{region}"\n'
            f"[domains.{domain}.hosts]\n{hosts}\n"
            f"[domains.{domain}.callers]\n{callers}\n"
        )


def _head(member: Member, folder: Path) -> str:
    return (
        f'name = "{member.name}"\nmetrics_address = "{member.addresses["metrics"]}"\n'
    )


def _transport(member: Member, folder: Path) -> str:
    return (
        f'[transport]\naddress = "{member.addresses["peers"]}"\n'
        f'key_folder = "{folder / "keys"}"\n'
    )


def _script(name: str) -> str:
    return os.path.join(os.path.dirname(sys.executable), name)


@contextmanager
def running_fleet(folder: Path, domains: dict[str, int]) -> Iterator[Fleet]:
    """Set up and start a fleet; everything it started is ended with the block."""
    fleet = Fleet(folder=folder, domains=domains)
    fleet.set_up()
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()

"""Sets up and runs a small installation of chicoryhold on loopback addresses."""

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

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 15.0
ANNOUNCEMENT_TOKEN = "trial-announcement-token"


class FleetError(ChicoryholdError):
    """Raised if a process or command fails, or an awaited event doesn't happen."""


def free_address(ip: str) -> str:
    """Return ``ip:port`` with a free port, which may be taken again before its use."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


def wait_until(condition: Callable[[], object], *, what: str, timeout: float) -> object:
    """Call ``condition`` until it returns a true value, and return that value.

    Raises ``FleetError`` after ``timeout`` seconds; ``what`` names the awaited event.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise FleetError(f"{what} did not happen within {timeout:g} s: see the logs")


@attrs.define(kw_only=True)
class Member:
    """One process of the fleet.

    The keys of ``addresses`` are ``callers``, ``api``, ``metrics``, ``peers`` or
    ``target``.
    """

    name: str
    command: list[str]
    addresses: dict[str, str]
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, stdout=log, stderr=log)

    def kill(self) -> None:
        """Kill the process without a chance to clean up, as a crash would."""
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
    """An installation of control replicas, entry hosts and simulated targets.

    Settings, keys, data and logs are in ``folder``. ``domains`` maps each failure
    domain to its number of entry hosts.
    """

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
        """Run the operators' command-line program and return its JSON output.

        Raises ``FleetError`` if it fails, or with ``check=False`` returns its error
        output under ``error``.
        """
        completed = self.run_cli_raw(*arguments)
        if check and completed.returncode:
            raise FleetError(f"{arguments}: {completed.stderr}")
        return (
            json.loads(completed.stdout)
            if completed.stdout
            else {"error": completed.stderr}
        )

    def run_cli_raw(self, *arguments: object) -> subprocess.CompletedProcess:
        command = [_script_path("chicoryhold"), *map(str, arguments), "--json"]
        settings = f"--settings={self._folder / 'chicoryhold.toml'}"
        return subprocess.run([*command, settings], capture_output=True, text=True)

    def set_up(self) -> None:
        """Create keys and settings files."""
        self._folder.mkdir(parents=True, exist_ok=True)
        operator = self.run_cli("operator", "create", "ana")
        self._operator_token = operator["token"]
        control_names = [f"control-{number}" for number in (1, 2, 3)]
        for number, name in enumerate(control_names, 1):
            self._add_control_replica(name, f"127.0.1.{number}")
        for domain_number, (domain, count) in enumerate(self._domains.items(), 1):
            for number in range(1, count + 1):
                self._add_entry_host(
                    f"{domain}-{number}", f"127.0.{10 + domain_number}.{number}"
                )
        for name in self._members:
            self._create_curve_keys(name)
        self._write_settings(control_names, operator["token_sha256"])

    def add_target(self, *, domain: str, service: str, options: tuple = ()) -> Member:
        """Start a simulated target in ``domain``.

        ``options`` are further command-line options of ``chicoryhold.trial.target``.
        """
        domain_number = list(self._domains).index(domain) + 1
        name = f"{domain}-{service}-{len(self._members)}"
        address = free_address(f"127.0.{10 + domain_number}.{100 + len(self._members)}")
        entry_addresses = [
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
            f"--entry={','.join(entry_addresses)}",
            f"--token={ANNOUNCEMENT_TOKEN}",
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
        """Start all control replicas and entry hosts and wait until they respond."""
        for member in self._members.values():
            member.start()
        for member in self._members.values():
            if "metrics" in member.addresses:
                self.wait_listening(member)
        control_replicas = [m for m in self._members.values() if "api" in m.addresses]
        for member in control_replicas:
            # Only the first start may found an installation, not a restart.
            if "--found" in member.command:
                member.command.remove("--found")

    def wait_listening(self, member: Member) -> None:
        wait_until(
            lambda: self._responds_ok(member, "/healthz"),
            what=f"start of {member.name}",
            timeout=START_TIMEOUT_SECONDS,
        )

    def wait_ready(self, member: Member) -> None:
        """Wait until ``member`` reports that it is ready."""
        wait_until(
            lambda: self._responds_ok(member, "/readyz"),
            what=f"readiness of {member.name}",
            timeout=START_TIMEOUT_SECONDS,
        )

    def stop(self) -> None:
        """Terminate all processes of the fleet; kill those that don't exit in time."""
        running = [m for m in self._members.values() if m.running]
        for member in running:
            member.resume()
            member.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_SECONDS
        for member in running:
            try:
                member.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                member.kill()

    def seen(self, target: Member) -> dict:
        """Return ``requests``, which ran at a simulated target, and ``most_at_once``.

        ``most_at_once`` is the highest number of requests that ran concurrently.
        """
        url = f"http://{target.addresses['target']}/trial/seen"
        return self._pool.request("GET", url, timeout=5.0).json()

    def set_limit(self, target: Member, rate: str) -> None:
        """Let a simulated target name a limit, in requests per second, or none."""
        url = f"http://{target.addresses['target']}/trial/limit/{rate}"
        self._pool.request("GET", url, timeout=5.0)

    def leave_by_answers(self, target: Member) -> None:
        """Let a simulated target say in its answers alone that it leaves."""
        url = f"http://{target.addresses['target']}/trial/leave"
        self._pool.request("GET", url, timeout=5.0)

    def wait_target_listening(self, target: Member) -> None:
        """Wait until a simulated target accepts requests."""

        def is_listening() -> bool:
            try:
                return bool(self.seen(target))
            except urllib3.exceptions.HTTPError:
                return False

        wait_until(
            is_listening, what=f"start of {target.name}", timeout=START_TIMEOUT_SECONDS
        )

    def _responds_ok(self, member: Member, path: str) -> bool:
        url = f"http://{member.addresses['metrics']}{path}"
        try:
            return self._pool.request("GET", url, timeout=1.0).status == 200
        except urllib3.exceptions.HTTPError:
            if not member.running:
                log = member.log.read_text()[-2000:]
                raise FleetError(f"{member.name} ended: {log}") from None
            return False

    def _add_control_replica(self, name: str, ip: str) -> None:
        addresses = {use: free_address(ip) for use in ("api", "metrics", "peers")}
        self._add_member(name, "chicoryhold-control", addresses, "--found")

    def _add_entry_host(self, name: str, ip: str) -> None:
        addresses = {use: free_address(ip) for use in ("callers", "metrics", "peers")}
        self._add_member(name, "chicoryhold-entry", addresses)

    def _add_member(
        self, name: str, script_name: str, addresses: dict, *options: str
    ) -> None:
        settings = f"--settings={self._folder / name}.toml"
        self._members[name] = Member(
            name=name,
            command=[_script_path(script_name), settings, *options],
            addresses=addresses,
            log=self._folder / f"{name}.log",
        )

    def _create_curve_keys(self, name: str) -> None:
        self.run_cli("curve", "create", name, f"--folder={self._folder / 'keys'}")

    def _write_settings(self, control_names: list[str], token_sha256: str) -> None:
        replicas = "\n".join(
            f'{name} = "{self._members[name].addresses["peers"]}"'
            for name in control_names
        )
        domains = "\n".join(self._domain_section(domain) for domain in self._domains)
        for member in self._members.values():
            head = _common_section(member, self._folder)
            if "api" in member.addresses:
                text = (
                    f'{head}api_address = "{member.addresses["api"]}"\n'
                    f'data_folder = "{self._folder / "data" / member.name}"\n'
                    f"{_transport_section(member, self._folder)}"
                    f"[replicas]\n{replicas}\n"
                    f'[[operators]]\nname = "ana"\ntoken_sha256 = "{token_sha256}"\n'
                )
            else:
                domain = member.name.rpartition("-")[0]
                text = (
                    f'{head}callers_address = "{member.addresses["callers"]}"\n'
                    f'domain = "{domain}"\n'
                    f'announcement_token = "{ANNOUNCEMENT_TOKEN}"\n'
                    f"{_transport_section(member, self._folder)}"
                    f"[replicas]\n{replicas}\n{domains}\n"
                )
            (self._folder / f"{member.name}.toml").write_text(text)
        apis = ", ".join(
            f'"{self._members[name].addresses["api"]}"' for name in control_names
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


def _common_section(member: Member, folder: Path) -> str:
    return (
        f'name = "{member.name}"\nmetrics_address = "{member.addresses["metrics"]}"\n'
    )


def _transport_section(member: Member, folder: Path) -> str:
    return (
        f'[transport]\naddress = "{member.addresses["peers"]}"\n'
        f'key_folder = "{folder / "keys"}"\n'
    )


def _script_path(name: str) -> str:
    return os.path.join(os.path.dirname(sys.executable), name)


@contextmanager
def running_fleet(folder: Path, domains: dict[str, int]) -> Iterator[Fleet]:
    """Set up and start a fleet; stop all its processes when the block ends."""
    fleet = Fleet(folder=folder, domains=domains)
    fleet.set_up()
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()

"""Processes of the users' platform on loopback: a control host and entry hosts."""

from __future__ import annotations

import http.client
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

import attrs

from bench.stops.records import Freeze, HostLife, Ledger
from chicoryhold.trial.fleet import FleetError, wait_until

PROGRAM = Path(__file__).resolve().parents[2] / "platform" / "run.py"
BOUND_HOST_PROGRAM = Path(__file__).resolve().parents[1] / "bound_host.py"
SETTINGS_VARIABLE = "CHICORYHOLD_SETTINGS"
DOMAIN = "north-a"
REGION = "north"
INTERNAL_PORTS = 16
HIGHEST_INTERNAL_PORT = 60_000
START_TIMEOUT_SECONDS = 20.0
EXIT_POLL_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 1.0
STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})


@attrs.frozen(kw_only=True)
class Place:
    """What the settings of all processes have in common.

    ``seeds`` are the addresses of control hosts; ``program`` starts entry hosts.
    """

    folder: Path
    seeds: Sequence[tuple[str, int]]
    internal_port: int
    grace_seconds: float
    program: Path = BOUND_HOST_PROGRAM


class PlatformProcess:
    """A process of ``platform/run.py`` that can be started again after its exit."""

    def __init__(
        self, *, kind: str, ip: str, place: Place, listen: str,
        program: Path = PROGRAM,
    ) -> None:  # fmt: skip
        self._kind = kind
        self._program = program
        self._ip = ip
        self._place = place
        self._settings = place.folder / f"{ip}.toml"
        self._environment = {SETTINGS_VARIABLE: str(self._settings)}
        if program != PROGRAM and program.name == PROGRAM.name:
            # Another build's packages, which come before those of this one.
            root = program.parents[1]
            self._environment["PYTHONPATH"] = f"{root}/src{os.pathsep}{root}/platform"
        self._settings_text = _settings_text(ip, place, listen)
        self._settings.write_text(self._settings_text)
        self._reloads = 0
        self._process: subprocess.Popen | None = None

    @property
    def name(self) -> str:
        return self._ip

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._process.poll()

    def start(self) -> None:
        with (self._place.folder / f"{self._ip}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(self._program), self._kind],
                env={**os.environ, **self._environment},
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        self._process.send_signal(number)

    def rewrite_settings(self) -> None:
        """Write the settings again, as the platform does before it sends SIGHUP."""
        self._reloads += 1
        text = f"{self._settings_text}# version {self._reloads}\n"
        self._settings.write_text(text)

    def end_bootstrap(self) -> None:
        """Write settings by which later starts don't found an installation."""
        text = self._settings_text.replace("bootstrap = true", "bootstrap = false")
        self._settings_text = text
        self._settings.write_text(text)

    def wipe(self) -> None:
        """Delete the disk of a process that has ended."""
        shutil.rmtree(self._place.folder / f"data-{self._ip}")

    def peak_memory_mib(self) -> float:
        """Return the most memory that the process has held, 0 once it has ended."""
        if not self.is_running:
            return 0.0
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0

    def log_mib(self) -> float:
        """Return the size of the log on its disk."""
        path = self._place.folder / f"data-{self._ip}" / "log"
        return path.stat().st_size / 2**20 if path.exists() else 0.0

    def kill(self) -> None:
        if self.is_running:
            self._process.kill()
            self._process.wait()


class EntryHost:
    """An entry host and the lives of its processes."""

    def __init__(self, *, ip: str, place: Place, ledger: Ledger) -> None:
        front, ready = free_ports(ip, 2)
        self._address = (ip, front)
        self._ready_address = (ip, ready)
        self._grace_seconds = place.grace_seconds
        self._ledger = ledger
        listen = f'front = "{ip}:{front}"\nready = "{ip}:{ready}"\n'
        self._process = PlatformProcess(
            kind="gateway",
            ip=ip,
            place=place,
            listen=listen,
            program=place.program,
        )
        self._life: HostLife | None = None
        self._lives = 0

    @property
    def name(self) -> str:
        return self._process.name

    @property
    def address(self) -> tuple[str, int]:
        return self._address

    @property
    def grace_seconds(self) -> float:
        return self._grace_seconds

    @property
    def life(self) -> HostLife:
        """The newest process of this host."""
        return self._life

    @property
    def is_running(self) -> bool:
        return self._process.is_running

    def start(self) -> None:
        self._lives += 1
        self._process.start()
        self._life = HostLife(
            host=self.name, number=self._lives, started_at=time.monotonic()
        )
        self._ledger.add_life(self._life)

    def wait_ready(self) -> None:
        wait_until(
            lambda: not self.is_running or self._is_ready(),
            what=f"start of {self.name}",
            timeout=START_TIMEOUT_SECONDS,
        )

    def send_signal(self, number: signal.Signals) -> None:
        if not self.is_running:
            return
        life = self._life
        if number in STOP_SIGNALS and life.stopped_at is None:
            life.stopped_at = time.monotonic()
            life.stopping.set()
        if number is signal.SIGHUP:
            self._process.rewrite_settings()
        if number is signal.SIGSTOP:
            life.freezes.append(Freeze(began_at=time.monotonic()))
        self._process.send_signal(number)
        if number is signal.SIGCONT and life.freezes:
            life.freezes[-1].ended_at = time.monotonic()

    def wait_exit(self) -> None:
        """Wait until the process has exited; kill it when its grace is over."""
        stopped_at = self._life.stopped_at or time.monotonic()
        kill_at = stopped_at + self._grace_seconds
        while self.is_running:
            if time.monotonic() >= kill_at:
                self._life.killed = True
                self._process.kill()
            time.sleep(EXIT_POLL_SECONDS)
        self._life.exited_at = time.monotonic()
        self._life.exit_code = self._process.exit_code

    def kill(self) -> None:
        self._process.kill()

    def _is_ready(self) -> bool:
        connection = http.client.HTTPConnection(
            *self._ready_address, timeout=CALL_TIMEOUT_SECONDS
        )
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


def free_ports(ip: str, count: int) -> Sequence[int]:
    """Return ports that are free on ``ip``, and may be taken again before their use."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


def free_internal_port(ips: Sequence[str]) -> int:
    """Return the first of some ports that are free on all of ``ips``."""

    def find() -> int:
        first = free_ports(ips[0], 1)[0]
        return first if all(_is_free(ip, first) for ip in ips) else 0

    return int(wait_until(find, what="a free port on all hosts", timeout=5.0))


def _is_free(ip: str, first: int) -> bool:
    if first > HIGHEST_INTERNAL_PORT:
        return False
    with ExitStack() as stack:
        for port in range(first, first + INTERNAL_PORTS):
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def _settings_text(ip: str, place: Place, listen: str) -> str:
    seeds = [f"{seed_ip}:{seed_port}" for seed_ip, seed_port in place.seeds]
    last_port = place.internal_port + INTERNAL_PORTS - 1
    return f"""
[self]
ip = "{ip}"
zone = "{DOMAIN}"
region = "{REGION}"
bootstrap = true
data_dir = "{place.folder}/data-{ip}"
[network]
internal_ports = [{place.internal_port}, {last_port}]
seeds = {seeds}
[network.zones]
{DOMAIN} = "{REGION}"
[network.listen]
{listen}
[terms.bounds]
grace_s = {place.grace_seconds}
"""


@attrs.frozen(kw_only=True)
class Installation:
    """The processes of a run. ``control`` is the address of the control host."""

    control: tuple[str, int]
    control_process: PlatformProcess
    hosts: Sequence[EntryHost]


@contextmanager
def running_installation(
    *, ips: Sequence[str], folder: Path, grace_seconds: float, ledger: Ledger
) -> Iterator[Installation]:
    """Run a control host at the first of ``ips`` and entry hosts at the others."""
    if not PROGRAM.exists():
        raise FleetError(f"{PROGRAM} doesn't exist: run from a checkout")
    control_port, directory_port = free_ports(ips[0], 2)
    place = Place(
        folder=folder,
        seeds=[(ips[0], control_port)],
        internal_port=free_internal_port(ips),
        grace_seconds=grace_seconds,
    )
    listen = (
        f'control = "{ips[0]}:{control_port}"\ndirectory = "{ips[0]}:{directory_port}"'
    )
    control = PlatformProcess(kind="control", ip=ips[0], place=place, listen=listen)
    hosts = [EntryHost(ip=ip, place=place, ledger=ledger) for ip in ips[1:]]
    with ExitStack() as stack:
        for process in (control, *hosts):
            stack.callback(process.kill)
            process.start()
        yield Installation(control=place.seeds[0], control_process=control, hosts=hosts)

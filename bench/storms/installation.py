"""Control hosts, and entry hosts that reach them over links."""

from __future__ import annotations

import json
import signal
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager
from pathlib import Path

import attrs

from bench.stops.hosts import (
    EntryHost,
    Place,
    PlatformProcess,
    free_internal_port,
    free_ports,
)
from bench.stops.records import Ledger
from bench.storms.links import SlowLink, Speed
from bench.storms.slow_host import LINKS_SUFFIX

SLOW_HOST_PROGRAM = Path(__file__).with_name("slow_host.py")


@attrs.define(kw_only=True)
class LinkedHost:
    """An entry host with its links, one to each control host."""

    host: EntryHost
    links: Sequence[SlowLink]

    @property
    def links_changed_at(self) -> float:
        return max(link.changed_at for link in self.links)

    def set_speed(self, speed: Speed) -> None:
        for link in self.links:
            link.set_speed(speed)

    def pause(self) -> None:
        self.host.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        self.host.send_signal(signal.SIGCONT)


@attrs.frozen(kw_only=True)
class Installation:
    """The processes of a run. ``addresses`` are those of the control hosts."""

    addresses: Sequence[tuple[str, int]]
    controls: Sequence[PlatformProcess]
    hosts: Sequence[LinkedHost]


@contextmanager
def running_installation(
    *, ips: Sequence[str], controls: int, folder: Path, grace_seconds: float,
    ledger: Ledger,
) -> Iterator[Installation]:  # fmt: skip
    """Run control hosts at the first of ``ips`` and entry hosts at the others."""
    control_ips, host_ips = ips[:controls], ips[controls:]
    ports = {ip: free_ports(ip, 2) for ip in control_ips}
    place = Place(
        folder=folder,
        seeds=[(ip, ports[ip][0]) for ip in control_ips],
        internal_port=free_internal_port(ips),
        grace_seconds=grace_seconds,
        program=SLOW_HOST_PROGRAM,
    )
    control_processes = [
        PlatformProcess(
            kind="control",
            ip=ip,
            place=place,
            listen=f'control = "{ip}:{ports[ip][0]}"\n'
            f'directory = "{ip}:{ports[ip][1]}"\n',
        )
        for ip in control_ips
    ]
    with ExitStack() as stack:
        hosts = []
        for ip in host_ips:
            links = {
                peer: SlowLink(ip=ip, target=(peer, place.internal_port))
                for peer in control_ips
            }
            for link in links.values():
                stack.enter_context(link.running())
            addresses = {peer: link.address for peer, link in links.items()}
            (folder / f"{ip}{LINKS_SUFFIX}").write_text(json.dumps(addresses))
            host = EntryHost(ip=ip, place=place, ledger=ledger)
            hosts.append(LinkedHost(host=host, links=list(links.values())))
        for process in (*control_processes, *(linked.host for linked in hosts)):
            stack.callback(process.kill)
            process.start()
        yield Installation(
            addresses=place.seeds, controls=control_processes, hosts=hosts
        )

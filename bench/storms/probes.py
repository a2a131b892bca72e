"""Asks each host for routes that show which configuration is in force there."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from uuid import uuid4

import attrs

from bench.background import in_background
from bench.calls import call
from bench.stops.operator import HOST_NAME
from bench.storms.changes import (
    StormOperator,
    added_path,
    dropped_path,
)
from bench.storms.installation import LinkedHost

PROBE_TIMEOUT_SECONDS = 3.0
PROBE_PAUSE_SECONDS = 0.03
# A host whose links changed their speed is judged again after that time.
CONTACT_SECONDS = 4.0
ROLLBACK_SLACK_SECONDS = 0.25
SLOWED_FACTOR = 8
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen(kw_only=True)
class Fault:
    """A host decided by a configuration that a newer one had replaced for too long.

    ``regressed`` is whether the same process had shown before that it had a newer one.
    """

    host: str
    path: str
    status: int
    version: int
    seconds_since_start: float
    regressed: bool


@attrs.frozen(kw_only=True)
class _Shown:
    """A process has answered at ``at`` as ``version`` or a later one says."""

    life: int
    version: int
    at: float


class Probe:
    """Probes one host again and again."""

    def __init__(
        self, *, linked: LinkedHost, operator: StormOperator, apply_seconds: float,
        started_at: float,
    ) -> None:  # fmt: skip
        self._linked = linked
        self._operator = operator
        self._apply_seconds = apply_seconds
        self._started_at = started_at
        self._closing = threading.Event()
        self.faults: list[Fault] = []
        self.statuses: Counter[str] = Counter()
        self.last_status = 0
        self._shown = _Shown(life=0, version=0, at=0.0)

    @property
    def host(self) -> str:
        return self._linked.host.name

    @contextmanager
    def running(self) -> Iterator[None]:
        with in_background(self._run, closing=self._closing):
            yield

    def serves_newest(self) -> bool:
        """Return whether the host serves the route that was added last."""
        newest = self._operator.acknowledged[-1].version
        self.last_status = self._ask(added_path(newest))
        return self.last_status == 200

    def _run(self) -> None:
        while not self._closing.wait(PROBE_PAUSE_SECONDS):
            now = time.monotonic()
            version = self._operator.newest_before(now - self._apply_seconds)
            if version == 0:
                continue
            self._judge(added_path(version), (200, 404), version=version, sent_at=now)
            now = time.monotonic()
            self._judge(dropped_path(version), (404, 200), version=version, sent_at=now)

    def _judge(
        self, path: str, statuses: tuple[int, int], *, version: int, sent_at: float
    ) -> None:
        """Ask for ``path``; ``statuses`` are the right one and the old one."""
        right, wrong = statuses
        life = self._linked.host.life.number
        status = self._ask(path)
        is_same_life = life == self._linked.host.life.number
        kind = path.split("-")[0].strip("/")
        self.statuses[f"{kind} {status or 'none'}"] += 1
        is_in_touch = sent_at - self._linked.links_changed_at > CONTACT_SECONDS
        regressed = is_same_life and self._has_shown(version, life, sent_at=sent_at)
        if status == right and is_same_life:
            self._note_shown(version, life)
        if status == wrong and (is_in_touch or regressed):
            fault = Fault(
                host=self._linked.host.name,
                path=path,
                status=status,
                version=version,
                seconds_since_start=round(sent_at - self._started_at, 3),
                regressed=regressed,
            )
            self.faults.append(fault)

    def _note_shown(self, version: int, life: int) -> None:
        if life != self._shown.life or version > self._shown.version:
            self._shown = _Shown(life=life, version=version, at=time.monotonic())

    def _has_shown(self, version: int, life: int, *, sent_at: float) -> bool:
        """Whether this process had ``version`` in force well before ``sent_at``."""
        slack = ROLLBACK_SLACK_SECONDS * SLOWED_FACTOR
        shown = self._shown
        has_version = life == shown.life and version <= shown.version
        return has_version and sent_at - shown.at > slack

    def _ask(self, path: str) -> int:
        """Return the status, or 0 if there is no answer."""
        headers = {
            "Host": HOST_NAME,
            "Request-Id": uuid4().hex[:16],
            "Deadline-Ms": str(int(PROBE_TIMEOUT_SECONDS * MILLISECONDS_PER_SECOND)),
        }
        return call(
            self._linked.host.address,
            "GET",
            path,
            headers=headers,
            timeout=PROBE_TIMEOUT_SECONDS,
        )


@contextmanager
def running_probes(
    *, hosts: Sequence[LinkedHost], operator: StormOperator, apply_seconds: float
) -> Iterator[Sequence[Probe]]:
    started_at = time.monotonic()
    probes = [
        Probe(
            linked=linked,
            operator=operator,
            apply_seconds=apply_seconds,
            started_at=started_at,
        )
        for linked in hosts
    ]
    closers = [probe.running() for probe in probes]
    for closer in closers:
        closer.__enter__()
    try:
        yield probes
    finally:
        for closer in closers:
            closer.__exit__(None, None, None)

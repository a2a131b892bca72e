"""An operator whose every version adds a route and drops another one."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from random import Random

import attrs

from bench.background import in_background
from bench.calls import call
from bench.stops.operator import HOST_NAME, SAFE_PREFIX, UNSAFE_PREFIX
from chicoryhold.trial.fleet import wait_until

SERVICE = "menus"
CALL_TIMEOUT_SECONDS = 2.0
ACCEPT_TIMEOUT_SECONDS = 20.0
MAX_VERSIONS = 2_000
FILLER_ROUTES = (50, 600)
STORM_VERSIONS = (5, 70)
STORM_GAP_SECONDS = (0.02, 0.3)
CALM_SECONDS = (0.3, 2.5)


@attrs.frozen(kw_only=True)
class Acknowledged:
    version: int
    at: float


class StormOperator:
    """Sends versions in storms, and remembers which were acknowledged when."""

    def __init__(self, *, controls: Sequence[tuple[str, int]], random: Random) -> None:
        self._controls = list(controls)
        self._random = random
        self._fillers = random.randint(*FILLER_ROUTES)
        self._sent = 0
        self._acknowledged: list[Acknowledged] = []
        self._closing = threading.Event()

    @property
    def sent(self) -> int:
        return self._sent

    @property
    def acknowledged(self) -> Sequence[Acknowledged]:
        return tuple(self._acknowledged)

    def newest_before(self, moment: float) -> int:
        """Return the newest version that was acknowledged before ``moment``, or 0."""
        known = tuple(self._acknowledged)
        return max((each.version for each in known if each.at <= moment), default=0)

    def put_first(self) -> None:
        wait_until(
            self.put, what="the first configuration", timeout=ACCEPT_TIMEOUT_SECONDS
        )

    def put(self) -> bool:
        """Send the next version once; return whether it was acknowledged."""
        self._sent += 1
        body = _configuration(self._sent, fillers=self._fillers)
        version = self._sent
        status = call(
            self._random.choice(self._controls),
            "PUT",
            "/config",
            body=body,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        is_acknowledged = status == 200
        if is_acknowledged:
            now = time.monotonic()
            self._acknowledged.append(Acknowledged(version=version, at=now))
        return is_acknowledged

    @contextmanager
    def running(self) -> Iterator[None]:
        """Send storms of versions until the block ends."""
        with in_background(self._run, closing=self._closing):
            yield

    def _run(self) -> None:
        draw = self._random.uniform
        while not self._closing.wait(draw(*CALM_SECONDS)):
            gap = draw(*STORM_GAP_SECONDS)
            for _ in range(self._random.randint(*STORM_VERSIONS)):
                if self._closing.wait(gap) or self._sent >= MAX_VERSIONS:
                    break
                self.put()


def added_path(version: int) -> str:
    """Return a path on a route that exists from ``version`` on."""
    return f"/added-{version}/x"


def dropped_path(version: int) -> str:
    """Return a path on a route that exists until ``version`` is in force."""
    return f"/dropped-{version}/x"


def _configuration(version: int, *, fillers: int) -> bytes:
    added = [f"/added-{number}/" for number in range(1, version + 1)]
    kept = [f"/dropped-{number}/" for number in range(version + 1, version + 100)]
    filling = [f"/filler-{number}/" for number in range(fillers)]
    prefixes = ("/load/", SAFE_PREFIX, *filling, *kept, *added)
    fields = {
        "version": f"{version:08x}",
        "routes": [
            *(_route(prefix) for prefix in prefixes),
            _route(UNSAFE_PREFIX, kind="unsafe"),
        ],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 4000}],
    }
    return json.dumps(fields).encode()


def _route(prefix: str, *, kind: str = "safe") -> dict[str, object]:
    return {
        "name": prefix.strip("/"),
        "host": HOST_NAME,
        "path_prefix": prefix,
        "kind": kind,
        "service": SERVICE,
        "timeout_s": 3.0,
        "max_attempts": 2,
    }

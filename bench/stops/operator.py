"""An operator that puts new versions of the configuration in force during a run."""

from __future__ import annotations

import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

import attrs

from bench.background import in_background
from bench.calls import call
from chicoryhold.trial.fleet import wait_until

HOST_NAME = "shop.example"
SERVICE = "menus"
SAFE_PREFIX = "/safe/"
UNSAFE_PREFIX = "/unsafe/"
MIN_TIMEOUT_SECONDS = 3.0
MAX_TIMEOUT_SECONDS = 4.0  # shorter than the grace of all runs
MAX_EXTRA_ROUTES = 5
MIN_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 2.0
ACCEPT_TIMEOUT_SECONDS = 20.0
MAX_CONNECTIONS = 4_000


@attrs.frozen(kw_only=True)
class RouteTerms:
    """The kind and prefix of a route."""

    name: str
    prefix: str
    kind: str


MAIN_ROUTES = (
    RouteTerms(name="safe", prefix=SAFE_PREFIX, kind="safe"),
    RouteTerms(name="unsafe", prefix=UNSAFE_PREFIX, kind="unsafe"),
)


class Operator:
    """Sends configurations with the two main routes and some that come and go."""

    def __init__(self, *, control: tuple[str, int], random: Random) -> None:
        self._control = control
        self._random = random
        self._version = 0
        self._closing = threading.Event()

    @property
    def version(self) -> int:
        return self._version

    def put_first(self) -> None:
        """Put the first version, again and again until it is accepted."""
        self._version = 1
        wait_until(
            self._put, what="the first configuration", timeout=ACCEPT_TIMEOUT_SECONDS
        )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Put new versions until the block ends."""
        with in_background(self._run, closing=self._closing):
            yield

    def _run(self) -> None:
        draw = self._random.uniform
        while not self._closing.wait(draw(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS)):
            self._version += self._random.randint(1, 3)
            self._put()

    def _put(self) -> bool:
        status = call(
            self._control,
            "PUT",
            "/config",
            body=self._configuration(),
            timeout=CALL_TIMEOUT_SECONDS,
        )
        return status == 200

    def _configuration(self) -> bytes:
        extra_routes = [
            RouteTerms(name=f"extra-{number}", prefix=f"/extra-{number}/", kind="safe")
            for number in range(self._random.randint(0, MAX_EXTRA_ROUTES))
        ]
        fields = {
            "version": f"{self._version:08x}",
            "routes": [self._route(terms) for terms in (*MAIN_ROUTES, *extra_routes)],
            "services": [
                {
                    "name": SERVICE,
                    "health_path": "/health",
                    "max_conns": MAX_CONNECTIONS,
                }
            ],
        }
        return json.dumps(fields).encode()

    def _route(self, terms: RouteTerms) -> dict[str, object]:
        timeout = self._random.uniform(MIN_TIMEOUT_SECONDS, MAX_TIMEOUT_SECONDS)
        return {
            "name": terms.name,
            "host": HOST_NAME,
            "path_prefix": terms.prefix,
            "kind": terms.kind,
            "service": SERVICE,
            "timeout_s": round(timeout, 2),
            "max_attempts": 2,
        }

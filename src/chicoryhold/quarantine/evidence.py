"""Decides which requests crash targets, from what ran at each target that crashed."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping

import attrs

from chicoryhold.clock import Clock

CONFIRMING_CRASHES = 3
# Several requests may have been at the same targets. One crash more tells most of them
# apart; after two more, all that were at every one of them are quarantined.
AMBIGUOUS_CRASHES = 5
MAX_CRASHES = 256
MAX_REQUESTS_PER_CRASH = 128
MAX_CLEARED = 2_048
EVIDENCE_SECONDS = 600.0


@attrs.frozen(kw_only=True, order=True)
class CrashId:
    """A target process that ended; ``born_ms`` tells it from earlier ones."""

    instance: str
    born_ms: int


@attrs.define(kw_only=True)
class _Crash:
    at: float
    requests: set[bytes] = attrs.field(factory=set)


class CrashEvidence:
    """The requests that ran at each target when it crashed. Not thread-safe.

    A request that crashes targets isn't known from the others that ran beside it. But
    those succeed elsewhere, which clears them, or have been at fewer crashes: a crash
    at which a culprit ran is no evidence against any other request. Bounded in memory;
    the oldest crashes are forgotten first. ``confirming_crashes`` make one request a
    culprit if no other was at as many.
    """

    def __init__(
        self, *, clock: Clock, confirming_crashes: int = CONFIRMING_CRASHES
    ) -> None:
        self._clock = clock
        self._confirming_crashes = confirming_crashes
        self._crashes: OrderedDict[CrashId, _Crash] = OrderedDict()
        self._cleared_at: OrderedDict[bytes, float] = OrderedDict()

    def record_crash(self, crash: CrashId, requests: Iterable[bytes]) -> bool:
        """Add requests that ran at a crash; return whether any of that is new.

        Reports of several hosts about the same crash add up.
        """
        now = self._clock.now()
        known = self._crashes.get(crash)
        if known is None:
            known = self._crashes[crash] = _Crash(at=now)
        count = len(known.requests)
        for request in requests:
            if len(known.requests) < MAX_REQUESTS_PER_CRASH:
                known.requests.add(request)
        while len(self._crashes) > MAX_CRASHES or self._oldest_is_outdated(now):
            self._crashes.popitem(last=False)
        return len(known.requests) > count

    def clear(self, request: bytes) -> None:
        """Note that ``request`` succeeded, so it hasn't caused any crash so far."""
        self._cleared_at[request] = self._clock.now()
        self._cleared_at.move_to_end(request)
        if len(self._cleared_at) > MAX_CLEARED:
            self._cleared_at.popitem(last=False)

    def crashes_of(self, request: bytes) -> int:
        """Return at how many crashes ``request`` ran since it last succeeded."""
        return len(self._suspected_crashes().get(request, ()))

    def culprits(self) -> frozenset[bytes]:
        """Return the requests that crash targets, by all that is known now."""
        unexplained = self._suspected_crashes()
        culprits: set[bytes] = set()
        while found := self._most_incriminated(unexplained):
            culprits |= found
            explained = set().union(*(unexplained[request] for request in found))
            unexplained = {
                request: crashes - explained
                for request, crashes in unexplained.items()
                if crashes - explained
            }
        return frozenset(culprits)

    def is_innocent(self, request: bytes, culprits: frozenset[bytes]) -> bool:
        """Whether one of ``culprits`` was at each crash at which ``request`` was."""
        if request in culprits:
            return False
        crashes = [each for each in self._crashes.values() if request in each.requests]
        return bool(crashes) and not any(
            each.requests.isdisjoint(culprits) for each in crashes
        )

    def _oldest_is_outdated(self, now: float) -> bool:
        oldest = next(iter(self._crashes.values()))
        return now - oldest.at > EVIDENCE_SECONDS

    def _suspected_crashes(self) -> dict[bytes, set[CrashId]]:
        """Return at which crashes each request was since it last succeeded."""
        crashes: dict[bytes, set[CrashId]] = {}
        for name, crash in self._crashes.items():
            for request in crash.requests:
                if crash.at > self._cleared_at.get(request, float("-inf")):
                    crashes.setdefault(request, set()).add(name)
        return crashes

    def _most_incriminated(
        self, unexplained: Mapping[bytes, set[CrashId]]
    ) -> set[bytes]:
        """Return the requests at most of the unexplained crashes, if that is enough."""
        most = max(map(len, unexplained.values()), default=0)
        leaders = [
            each for each, crashes in unexplained.items() if len(crashes) == most
        ]
        if most >= max(self._confirming_crashes, AMBIGUOUS_CRASHES):
            return set(leaders)
        if most < self._confirming_crashes:
            return set()
        return {
            leader
            for leader in leaders
            if all(
                other is leader or unexplained[leader].isdisjoint(unexplained[other])
                for other in leaders
            )
        }

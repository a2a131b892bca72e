"""Targets that have turned a request away and named a time to stay away."""

from __future__ import annotations

import re
import threading

import attrs

from chicoryhold.clock import Clock
from chicoryhold.routing.stated_limits import StatingTarget

MAX_BACK_OFF_SECONDS = 60.0


def parse_back_off(text: str | None) -> float | None:
    """Parse a decimal number of seconds; ``None`` if the text is no such number."""
    if text is None or not re.fullmatch(r"[0-9]{1,18}(\.[0-9]{1,18})?", text.strip()):
        return None
    return min(float(text), MAX_BACK_OFF_SECONDS)


@attrs.frozen(kw_only=True)
class _BackOff:
    """It binds processes of the instance that were started at ``born_ms`` or before."""

    born_ms: int
    until: float


class BackOffs:
    """Until when targets want no request from this host. Thread-safe.

    A later answer of the same process can only make the time longer: what it said
    before holds for as long as it said.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._by_instance: dict[str, _BackOff] = {}
        self._last_until = float("-inf")
        self._lock = threading.Lock()

    @property
    def is_any_left(self) -> bool:
        """Whether any target wants nothing now."""
        return self._clock.now() < self._last_until

    def record(self, target: StatingTarget, seconds: float) -> bool:
        """Note that ``target`` wants nothing for ``seconds``; return whether it's new.

        It isn't while an earlier statement of the same process holds for as long.
        """
        now = self._clock.now()
        until = now + min(seconds, MAX_BACK_OFF_SECONDS)
        with self._lock:
            known = self._by_instance.get(target.instance)
            if known is not None and known.born_ms > target.born_ms:
                return False
            is_same = known is not None and known.born_ms == target.born_ms
            if until <= (known.until if is_same else now):
                return False
            self._by_instance = {
                instance: other
                for instance, other in self._by_instance.items()
                if other.until > now
            }
            self._by_instance[target.instance] = _BackOff(
                born_ms=target.born_ms, until=until
            )
            self._last_until = max(self._last_until, until)
        return True

    def remaining(self, target: StatingTarget) -> float:
        """Return for how many seconds ``target`` wants nothing, 0 if it takes some."""
        known = self._by_instance.get(target.instance)
        if known is None or known.born_ms < target.born_ms:
            return 0.0
        return max(0.0, known.until - self._clock.now())

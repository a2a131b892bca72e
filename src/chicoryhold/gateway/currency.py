"""Whether this host's copy of the control state is recent enough to decide by."""

from __future__ import annotations

import enum
from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.metrics import Metrics
from chicoryhold.pauses import PauseWatch

# A change is to be in force this long after its acknowledgement.
DEFAULT_APPLY_SECONDS = 2.5
# Of that time, what remains for requests that were accepted just before.
MARGIN_SECONDS = 0.3
# A host is in touch while what control hosts say of their copies isn't older.
TOLD_SECONDS = 1.2
PAUSE_SECONDS = 1.0
# After a pause of the process, it takes this long to find out what it has missed: peers
# may have closed the connections, and new ones take several round trips.
WAKING_SECONDS = 5.0


class Currency(enum.Enum):
    """What a host may decide by its copy."""

    CURRENT = "current"
    # No control host says that there is anything newer. The host serves on, since all
    # hosts of its failure domain may be cut off with it.
    CUT_OFF = "cut off"
    # Control hosts are current and reply, but the copy here stays old.
    BEHIND = "behind"
    # The process was paused and hasn't heard from control hosts since.
    WAKING = "waking"


class CopyCurrency:
    """Compares the copy's age with what control hosts say of theirs. Thread-safe.

    ``copy_age`` returns the age of the copy in seconds. ``apply_seconds`` is the time
    in which an accepted change has to be in force. One thread calls :meth:`record_told`
    and :meth:`check`.
    """

    def __init__(
        self, *, clock: Clock, copy_age: Callable[[], float], metrics: Metrics,
        apply_seconds: float = DEFAULT_APPLY_SECONDS,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:  # fmt: skip
        self._clock = clock
        self._copy_age = copy_age
        self._max_age = apply_seconds - MARGIN_SECONDS
        self._on_change = on_change
        self._in_touch_since = float("inf")
        self._told_confirmed_at = float("-inf")
        self._others_serve = False
        self._pauses = PauseWatch(clock=clock)
        self._woke_at = float("-inf")
        self._logged = Currency.CURRENT
        metrics.gauge(
            "chicoryhold_copy_is_current", lambda: int(self.now is Currency.CURRENT)
        )

    @property
    def now(self) -> Currency:
        """What the copy is good for at this moment."""
        age = self._copy_age()
        if age <= self._max_age or age >= UNCONFIRMED_AGE_SECONDS:
            # A copy that was never confirmed isn't in force at all.
            return Currency.CURRENT
        now = self._clock.now()
        is_paused = self._pauses.unchecked_seconds > PAUSE_SECONDS
        if is_paused or now - self._woke_at < WAKING_SECONDS:
            return Currency.WAKING
        is_in_touch = now - self._told_confirmed_at <= TOLD_SECONDS
        if is_in_touch and now - self._in_touch_since > self._max_age:
            return Currency.BEHIND
        return Currency.CUT_OFF

    @property
    def may_send(self) -> bool:
        """Whether requests may be sent to targets as the copy says.

        If most hosts of the region are behind, callers have no better one to go to.
        """
        match self.now:
            case Currency.WAKING:
                return False
            case Currency.BEHIND:
                return not self._others_serve
            case _:
                return True

    @property
    def is_reliable(self) -> bool:
        """Whether callers should rather come here than to a host that is behind."""
        return self.now in (Currency.CURRENT, Currency.CUT_OFF)

    @property
    def may_deny(self) -> bool:
        """Whether what isn't in the copy doesn't exist."""
        return self.now is Currency.CURRENT

    def record_told(self, confirmed_age: float, *, others_serve: bool) -> None:
        """Record how old the copy of a control host is, as it has just said.

        In an election all are old; what they were told before it stays all there is.
        ``others_serve`` is whether callers find enough hosts with current copies.
        """
        self._others_serve = others_serve
        now = self._clock.now()
        confirmed_at = now - confirmed_age
        if confirmed_at - self._told_confirmed_at > TOLD_SECONDS:
            self._in_touch_since = now
        self._told_confirmed_at = max(self._told_confirmed_at, confirmed_at)

    def check(self) -> None:
        """Notice pauses and log changes; called several times a second."""
        now = self._clock.now()
        if self._pauses.check() > PAUSE_SECONDS:
            self._woke_at = now
        current = self.now
        if current is self._logged:
            return
        former, self._logged = self._logged, current
        logger.bind(
            former=former.value,
            age=round(self._copy_age(), 2),
            told_age=round(
                min(now - self._told_confirmed_at, UNCONFIRMED_AGE_SECONDS), 2
            ),
        ).warning("gateway: the copy is {}.", current.value)
        self._on_change()

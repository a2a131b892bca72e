"""When a replica without a leader starts an election, and when it doesn't know yet."""

from __future__ import annotations

from random import Random

import attrs

from chicoryhold.clock import Clock

# Ranges of the random factor by which the minimum election timeout is multiplied.
INITIAL_ELECTION_FACTORS = (0.3, 1.0)  # until a leader's first message
ELECTION_FACTORS = (1.0, 2.0)


@attrs.frozen(kw_only=True)
class Timing:
    """Intervals in seconds; ``election`` is the minimum election timeout.

    Each timeout is drawn from [1, 2) times the minimum, and from a shorter range
    until the first message of a leader has arrived.
    """

    heartbeat: float = 0.1
    election: float = 0.6


class ElectionTimer:
    """Determines when the next campaign is due.

    The first timeout is short because there is no leader if all replicas have just
    started. If there is one, its heartbeat ends the campaign, and the pre-vote keeps
    the campaign from disturbing it.
    """

    def __init__(self, *, timing: Timing, clock: Clock, random: Random) -> None:
        self._timing = timing
        self._clock = clock
        self._random = random
        self.reset(has_heard_leader=False)

    def is_due(self, now: float) -> bool:
        return now >= self._due_at

    def reset(self, *, has_heard_leader: bool) -> None:
        """Draw a new timeout, counted from now.

        Until the first message of a leader has arrived, as after all replicas have
        started at once, an early retry disturbs no leader. With the longer range, a
        split vote would delay the election by one or two minimum timeouts.
        """
        factors = ELECTION_FACTORS if has_heard_leader else INITIAL_ELECTION_FACTORS
        timeout = self._timing.election * self._random.uniform(*factors)
        self._due_at = self._clock.now() + timeout


class LateTicks:
    """Finds ticks that come before messages which arrived earlier.

    A process that didn't run for a while may handle a tick first, and then what its
    leader and its followers sent meanwhile. It decides nothing about them at that tick.
    """

    def __init__(self, *, clock: Clock, longest_interval: float) -> None:
        self._clock = clock
        self._longest_interval = longest_interval
        self._ticked_at = float("inf")
        self._was_late = False

    def is_late(self) -> bool:
        """Return whether this tick is late; call this at each tick.

        Of two in a row only the first one is, so that a slow process decides too.
        """
        now = self._clock.now()
        is_late = now - self._ticked_at > self._longest_interval and not self._was_late
        self._ticked_at = now
        self._was_late = is_late
        return is_late

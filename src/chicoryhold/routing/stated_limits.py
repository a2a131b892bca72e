"""The rate limits that targets name in their answers."""

from __future__ import annotations

import re
import threading
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

import attrs
from loguru import logger

from chicoryhold.clock import Clock
from chicoryhold.membership.messages import SeenLimit
from chicoryhold.metrics import Metrics
from chicoryhold.state.targets import TargetRecord

LOG_INTERVAL_SECONDS = 2.0
# The end of a limit is told to other hosts for this long. All have heard of it by then.
END_VALID_SECONDS = 10.0


@attrs.frozen(kw_only=True)
class RateStatement:
    """What an answer of a target says about its rate limit.

    ``rate`` is in requests per second, from all hosts together. It is ``None`` if the
    answer names no limit, or if ``is_readable`` is false.
    """

    rate: float | None = None
    is_readable: bool = True


NO_LIMIT = RateStatement()


def parse_rate(text: str | None) -> RateStatement:
    """Parse a decimal number of requests per second; ``None`` if none is named."""
    if text is None:
        return NO_LIMIT
    if not re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text.strip()):
        return RateStatement(is_readable=False)
    return RateStatement(rate=float(text))


class StatingTarget(Protocol):
    """One process of a target, started at ``born_ms``, in Unix milliseconds."""

    @property
    def instance(self) -> str: ...

    @property
    def born_ms(self) -> int: ...


@attrs.frozen(kw_only=True)
class _Known:
    """The latest statement of one target process, made at ``stated_at``.

    The target has named limits since ``since``, on the local clock.
    """

    born_ms: int
    rate: float | None
    stated_at: float
    since: float


class StatedLimits:
    """The latest limit of each target that has named one. Thread-safe.

    Entry hosts learn limits from the answers that they get. They tell control hosts,
    which tell each other and all entry hosts. Of two statements the later one counts.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._known: dict[str, _Known] = {}
        self._told: dict[str, float] = {}
        self._changed: set[str] = set()
        self._sent: Counter[str] = Counter()
        self._logged_at = clock.now()
        self._lock = threading.Lock()
        metrics.gauge("chicoryhold_limited_targets", lambda: len(self.rates()))

    def rates(self) -> dict[str, float]:
        """Return the limits in force, by instance."""
        return {
            instance: known.rate
            for instance, known in list(self._known.items())
            if known.rate is not None
        }

    def rate_of(self, instance: str) -> float | None:
        """Return the limit of one target; ``None`` if it has none."""
        known = self._known.get(instance)
        return known.rate if known is not None else None

    def record_answer(self, target: StatingTarget, statement: RateStatement) -> None:
        """Note what a complete answer of ``target`` says about its limit."""
        if not statement.is_readable:
            return
        if statement.rate is None and target.instance not in self._known:
            return
        with self._lock:
            known = self._known.get(target.instance)
            if known is not None and known.born_ms > target.born_ms:
                return
            self._set(
                target.instance, target.born_ms, statement.rate, self._clock.now()
            )

    def merge(self, seen: Iterable[SeenLimit]) -> None:
        """Take the statements that other hosts have heard."""
        now = self._clock.now()
        with self._lock:
            for each in seen:
                stated_at = now - max(0.0, each.age)
                known = self._known.get(each.instance)
                is_valid = each.rate is None or each.rate >= 0
                if is_valid and (
                    known is None
                    or (known.born_ms, known.stated_at) < (each.born_ms, stated_at)
                ):
                    self._set(each.instance, each.born_ms, each.rate, stated_at)

    def merge_reply(self, seen: tuple[SeenLimit, ...]) -> None:
        """Take what a control host knows, which then needn't be told of it."""
        self.merge(seen)
        self._told = {
            each.instance: each.rate for each in seen if each.rate is not None
        }

    def untold(self) -> tuple[SeenLimit, ...]:
        """Return what the control host that replied last doesn't know."""
        return self._seen(
            instance
            for instance, known in list(self._known.items())
            if known.rate != self._told.get(instance)
        )

    def all(self) -> tuple[SeenLimit, ...]:
        """Return all limits in force, and those that have ended lately."""
        return self._seen(list(self._known))

    def take_changes(self) -> tuple[SeenLimit, ...]:
        """Return the limits that have changed since the last call."""
        changed, self._changed = self._changed, set()
        return self._seen(changed)

    def record_sent(self, instance: str) -> None:
        """Count a request to a target, and log those to targets with a limit."""
        known = self._known.get(instance)
        if known is None or known.rate is None:
            return
        self._metrics.count("chicoryhold_requests_to_limited_targets")
        with self._lock:
            self._sent[instance] += 1
            if self._clock.now() - self._logged_at >= LOG_INTERVAL_SECONDS:
                self._log_sent()

    def keep_only(self, records: Mapping[str, TargetRecord]) -> None:
        """Forget the limits of processes that aren't in ``records``."""
        with self._lock:
            self._known = {
                instance: known
                for instance, known in self._known.items()
                if instance in records and records[instance].born_ms <= known.born_ms
            }

    def _seen(self, instances: Iterable[str]) -> tuple[SeenLimit, ...]:
        now = self._clock.now()
        known = {name: self._known.get(name) for name in instances}
        return tuple(
            SeenLimit(
                instance=name,
                born_ms=each.born_ms,
                rate=each.rate,
                age=now - each.stated_at,
            )
            for name, each in known.items()
            if each is not None
            and (each.rate is not None or now - each.stated_at < END_VALID_SECONDS)
        )

    def _set(
        self, instance: str, born_ms: int, rate: float | None, stated_at: float
    ) -> None:
        previous = self._known.get(instance)
        was_limited = previous is not None and previous.rate is not None
        since = previous.since if was_limited else stated_at
        self._known[instance] = _Known(
            born_ms=born_ms, rate=rate, stated_at=stated_at, since=since
        )
        if previous is None or previous.rate != rate:
            self._changed.add(instance)
            logger.bind(
                target=instance,
                rate=rate,
                before=previous.rate if previous else None,
                seconds=round(stated_at - since, 1),
            ).info("limits: a target named another limit.")

    def _log_sent(self) -> None:
        now = self._clock.now()
        rates = self.rates()
        logger.bind(
            seconds=round(now - self._logged_at, 1),
            sent={instance: count for instance, count in self._sent.items()},
            limits={instance: rates.get(instance) for instance in self._sent},
        ).info("limits: requests from this host to targets with a limit.")
        self._logged_at = now
        self._sent.clear()

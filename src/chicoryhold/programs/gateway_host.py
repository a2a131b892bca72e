"""The part of an entry host that an embedding program uses."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from chicoryhold.clock import BootClock
from chicoryhold.consensus.messages import UNCONFIRMED_AGE_SECONDS
from chicoryhold.control.follower import Follower
from chicoryhold.gateway.currency import CopyCurrency
from chicoryhold.gateway.service import GatewayService
from chicoryhold.gateway.target_state_log import TargetStateLog
from chicoryhold.membership.messages import EntryHost
from chicoryhold.metrics import Metrics
from chicoryhold.programs.draining import Drain
from chicoryhold.programs.gateway_links import TargetLinks
from chicoryhold.programs.host_settings import GatewaySettings
from chicoryhold.quarantine.crash_watch import CrashWatch
from chicoryhold.routing.configuration import Configuration
from chicoryhold.routing.route_index import RouteIndex
from chicoryhold.routing.stated_limits import StatedLimits
from chicoryhold.routing.target_choice import TargetChooser


class Gateway:
    """The part of an entry host that an embedding program uses. Thread-safe."""

    def __init__(
        self, *, settings: GatewaySettings, follower: Follower, chooser: TargetChooser,
        limits: StatedLimits, crashes: CrashWatch, links: TargetLinks, metrics: Metrics,
        clock: BootClock, drain: Drain,
    ) -> None:  # fmt: skip
        self._settings = settings
        self._follower = follower
        self._chooser = chooser
        self._limits = limits
        self._crashes = crashes
        self._links = links
        self._clock = clock
        self._route_index = RouteIndex(follower.state.configuration)
        self._failed_version: int | None = None
        self._target_log = TargetStateLog(metrics=metrics)
        self._drain = drain
        self._announce: Callable[[], None] = lambda: None
        self._metrics = metrics
        self._metrics.gauge("chicoryhold_revision", lambda: follower.state.revision)
        self._metrics.gauge("chicoryhold_copy_age_seconds", lambda: self.copy_age)
        self._metrics.gauge(
            "chicoryhold_reaches_targets",
            lambda: int(not links.reachability.is_cut_off),
        )
        self._metrics.gauge(
            "chicoryhold_leaving_targets_called_ready", lambda: chooser.left_out_count
        )
        self._currency = CopyCurrency(
            clock=clock,
            copy_age=lambda: self.copy_age,
            metrics=metrics,
            apply_seconds=settings.apply_seconds,
            on_change=lambda: self._announce(),
        )
        self.service: GatewayService | None = None

    @property
    def currency(self) -> CopyCurrency:
        """Whether the copy of the control state is recent enough to decide by."""
        return self._currency

    @property
    def clock(self) -> BootClock:
        return self._clock

    @property
    def route_index(self) -> RouteIndex:
        """The routes and services of the configuration in force on this host."""
        return self._route_index

    @property
    def metrics(self) -> Metrics:
        return self._metrics

    @property
    def copy_age(self) -> float:
        """Seconds since the copy of the control state was confirmed to be the newest.

        At most ``UNCONFIRMED_AGE_SECONDS``, which it also is before the first time.
        """
        return min(self._follower.age, UNCONFIRMED_AGE_SECONDS)

    @property
    def revision(self) -> int:
        """The revision of the copy of the control state that this host decides by."""
        return self._follower.state.revision

    @property
    def drain(self) -> Drain:
        return self._drain

    @property
    def ready(self) -> bool:
        return self._route_index.version > 0 and not self._drain.is_started

    @property
    def takes_callers(self) -> bool:
        """Whether this host is ready, and its copy is recent enough to decide by."""
        return self.ready and self._currency.may_send

    def announce_stop(self) -> None:
        """Tell control hosts that this host is stopping, so that look-ups omit it."""
        self._announce()

    def describe(self) -> EntryHost:
        return EntryHost(
            name=self._settings.name,
            domain=self._settings.domain,
            region=self._settings.region,
            address=self._settings.callers_address,
            ready=self.ready,
            reaches_targets=not self._links.reachability.is_cut_off,
            current=self._currency.is_reliable,
        )

    def apply(self) -> None:
        """Apply the newest copy of the control state."""
        state = self._follower.state
        was_ready = self.ready
        if state.configuration.version not in (
            self._route_index.version,
            self._failed_version,
        ):
            self._apply_configuration(state.configuration)
        self._chooser.update(
            state.targets,
            evacuated=state.evacuated,
            service_rule=self._route_index.service,
            revision=state.revision,
        )
        self._target_log.record(
            state.targets, revision=state.revision, age=self.copy_age
        )
        self._limits.keep_only(
            {instance: view.record for instance, view in self._chooser.views.items()}
        )
        self._crashes.record_targets(state.targets)
        if self.ready != was_ready:
            self._announce()

    def _apply_configuration(self, configuration: Configuration) -> None:
        """Put ``configuration`` in force, or keep the former one if that fails.

        Every entry host gets the same configuration, again after each restart, so a
        failure that ended the process would end all of them.
        """
        log = logger.bind(
            version=configuration.version,
            revision=self._follower.state.revision,
            age=round(self.copy_age, 2),
            seconds=round(self._clock.now() - self._follower.version_came_at, 3),
            routes=len(configuration.routes),
        )
        try:
            self._route_index = RouteIndex(configuration)
        except Exception as error:
            self._failed_version = configuration.version
            log.opt(exception=error).error(
                "gateway: configuration failed; the former one stays in force."
            )
            return
        log.info("gateway: configuration applied.")

    def apply_reachability(self) -> None:
        """Apply that this host has been cut off from all targets, or reaches them."""
        self._links.reset()
        self._announce()

    def on_change(self, announce: Callable[[], None]) -> None:
        """Call ``announce`` whenever the result of :meth:`describe` has changed."""
        self._announce = announce

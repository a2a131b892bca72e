"""``chicoryhold-control``: runs one replica of the control state, stored on disk."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

from absl import flags
from loguru import logger
from opentelemetry.metrics import Observation

from chicoryhold.clock import BootClock
from chicoryhold.consensus.election_timer import Timing
from chicoryhold.consensus.replica import Replica
from chicoryhold.control.messages import (
    FetchChanges,
    FetchImage,
    JoinRequest,
    ReplicaMessage,
    ReplicaStatusRequest,
)
from chicoryhold.control.replica_actor import ReplicaActor
from chicoryhold.control.storage import open_storage, read_identity
from chicoryhold.errors import PeerTimeout, SettingsError
from chicoryhold.hosts.actors import forward_to, running_actor
from chicoryhold.hosts.bus import Bus, running_bus
from chicoryhold.http.server import HttpServer, serve_http
from chicoryhold.log_queue import LogQueue
from chicoryhold.logs import configure_text_logging
from chicoryhold.metrics import create_meter, serve_metrics
from chicoryhold.operators.api import AdministrationApi
from chicoryhold.programs.curve_bus import create_curve_bus
from chicoryhold.programs.draining import Drain, control_drain_timing
from chicoryhold.programs.running import run_program
from chicoryhold.programs.signals import ignore_sighup, stop_signals
from chicoryhold.programs.stored_replica import founding_members, load_replica
from chicoryhold.settings import ControlSettings, load_settings
from chicoryhold.state.control_state import ControlState

USAGE = """Runs one control replica.

usage: %s --settings=FILE [--found]

Start it with --found once on each of the first replicas of a new installation. A
replica whose data folder was lost starts without it and rejoins by itself.
"""
REPLICA_TICK_SECONDS = 0.05
API_THREADS = 8
DRAIN_TIMEOUT_SECONDS = 10.0
FOUND_CHECK_TIMEOUT_SECONDS = 0.5

_SETTINGS = flags.DEFINE_string("settings", None, "The TOML settings file.")
_FOUND = flags.DEFINE_bool("found", False, "Create a new installation.")


def run() -> None:
    """Entry point of the console script."""
    run_program(_main, usage=USAGE)


def _main(arguments: list[str]) -> None:
    if not _SETTINGS.value:
        raise SettingsError("--settings is missing: name the TOML settings file")
    settings = load_settings(Path(_SETTINGS.value), ControlSettings)
    log = configure_text_logging(process=settings.name, level=settings.log.level)
    clock = BootClock()
    timing = control_drain_timing(DRAIN_TIMEOUT_SECONDS)
    with stop_signals(clock=clock) as stopping, ignore_sighup():
        drain = Drain(clock=clock, timing=timing, stopping=stopping)
        with _running_replica(settings, drain, log) as server:
            stopping.wait()
            logger.info("control: draining.")
            drain.run([server]).log("control")
            logger.info("control: stopping.")


@contextmanager
def _running_replica(
    settings: ControlSettings, drain: Drain, log: LogQueue
) -> Iterator[HttpServer]:
    with ExitStack() as stack:
        storage = stack.enter_context(open_storage(settings.data_folder))
        bus = stack.enter_context(running_bus(_create_bus(settings)))
        identity = _load_identity(settings, bus)
        replica, state = load_replica(
            storage,
            identity=identity,
            founders=founding_members(settings.replicas, identity=identity),
            clock=BootClock(),
            timing=Timing(
                heartbeat=settings.heartbeat, election=settings.election_timeout
            ),
        )
        actor = ReplicaActor.start(
            replica=replica,
            storage=storage,
            state=state,
            bus=bus,
            clock=BootClock(),
            snapshot_every=settings.snapshot_every,
            peers=lambda: settings.replicas,
        )
        stack.enter_context(running_actor(actor, interval=REPLICA_TICK_SECONDS))
        _register_handlers(bus, actor)
        _create_metrics(settings, replica, state, log)
        api = AdministrationApi(
            replica=actor,
            operators=settings.operators,
            is_refusing=lambda: drain.is_refusing,
        )
        server = stack.enter_context(
            serve_http(
                api,
                settings.api_address,
                threads=API_THREADS,
                should_close=lambda: drain.is_started,
            )
        )
        stack.enter_context(
            serve_metrics(settings.metrics_address, lambda: _unready_reason(replica))
        )
        logger.info("control: replica {} is up.", identity)
        yield server


def _create_bus(settings: ControlSettings) -> Bus:
    return create_curve_bus(
        name=settings.name,
        address=settings.transport.address,
        key_folder=settings.transport.key_folder,
        peers=settings.replicas,
    )


def _load_identity(settings: ControlSettings, bus: Bus) -> str:
    folder = settings.data_folder
    if _FOUND.value and not (folder / "identity").exists():
        _check_not_founded(settings, bus)
    return read_identity(folder, name=settings.name, found=_FOUND.value)


def _check_not_founded(settings: ControlSettings, bus: Bus) -> None:
    """Raise ``SettingsError`` if another replica already holds an installation.

    A founder's identity must never be created again after its disk was lost: the new
    replica could vote a second time under an identity that has already voted.
    """
    for peer in settings.replicas:
        if peer == settings.name:
            continue
        try:
            status = bus.call(
                peer, ReplicaStatusRequest(), timeout=FOUND_CHECK_TIMEOUT_SECONDS
            )
        except PeerTimeout:
            continue
        if status.revision > 0:
            raise SettingsError(
                f"{peer} already holds an installation: start without --found"
            )


def _register_handlers(bus: Bus, actor: object) -> None:
    for kind in (
        ReplicaMessage,
        JoinRequest,
        FetchChanges,
        FetchImage,
        ReplicaStatusRequest,
    ):
        bus.handle(kind, forward_to(actor))


def _create_metrics(
    settings: ControlSettings, replica: Replica, state: ControlState, log: LogQueue
) -> None:
    meter = create_meter(settings.name)
    meter.create_observable_gauge(
        "chicoryhold_control_revision",
        callbacks=[lambda _: [_observe(state.revision)]],
        description="Newest accepted revision known here",
    )
    meter.create_observable_gauge(
        "chicoryhold_control_term",
        callbacks=[lambda _: [_observe(replica.term)]],
        description="Election term",
    )
    meter.create_observable_gauge(
        "chicoryhold_log_lines_dropped",
        callbacks=[lambda _: [_observe(log.dropped_count)]],
        description="Log lines dropped because their reader was slow",
    )


def _observe(value: float) -> Observation:
    return Observation(value)


def _unready_reason(replica: Replica) -> str:
    return "" if replica.leader else "no leader is known: check the other replicas"

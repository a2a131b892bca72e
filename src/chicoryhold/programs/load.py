"""``chicoryhold-load``: sends the load that an experiment file describes."""

from __future__ import annotations

import json
from pathlib import Path

import attrs
from absl import flags

from chicoryhold.errors import ExperimentError
from chicoryhold.load.experiment import Experiment
from chicoryhold.load.runner import LoadRunner
from chicoryhold.operators.output import print_fields
from chicoryhold.programs.running import run_program
from chicoryhold.settings import load_settings

USAGE = """Sends the load that an experiment file describes and prints what came back.

usage: %s --experiment=FILE [--json]
"""
_EXPERIMENT = flags.DEFINE_string("experiment", None, "The TOML experiment file.")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of a table.")


def run() -> None:
    """Entry point of the console script."""
    run_program(_main, usage=USAGE)


def _main(arguments: list[str]) -> None:
    if not _EXPERIMENT.value:
        raise ExperimentError("--experiment is missing: name a TOML experiment file")
    experiment = load_settings(Path(_EXPERIMENT.value), Experiment)
    runner = LoadRunner(experiment=experiment)
    runner.name_limits()
    results = [attrs.asdict(row) for row in runner.run()]
    targets = [attrs.asdict(row) for row in runner.check_targets()]
    crashing = [attrs.asdict(row) for row in runner.check_crashing_requests()]
    fields = {
        "scale": experiment.scale,
        "results": results,
        "targets": targets,
        "crashing_requests": crashing,
    }
    if _JSON.value:
        print(json.dumps(fields))
    else:
        print_fields(fields)

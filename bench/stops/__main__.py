"""A soak run of entry hosts that are stopped, reloaded and reconfigured.

Real processes on loopback get a series of signals and configurations that is drawn
from a seed, while clients keep sending. The result, as JSON on standard output, names
each request that a host lost, broke off or refused though it ran.
"""

from __future__ import annotations

from absl import flags

from bench.run_folder import run_folder
from bench.stops.run import Plan, StopRun
from chicoryhold.programs.running import FAILURE_EXIT_CODE, run_program

USAGE = """Stops, reloads and reconfigures entry hosts and reports lost requests.

usage: %s [--seed=N] [--seconds=S] [--hosts=H] [--folder=FOLDER] [--calm]
"""
_SEED = flags.DEFINE_integer("seed", 1, "The seed of all that is drawn.")
_SECONDS = flags.DEFINE_float(
    "seconds", 10.0, "Time in which stops begin; a run takes up to 10 s more."
)
_HOSTS = flags.DEFINE_integer(
    "hosts", 2, "Number of entry hosts.", lower_bound=1, upper_bound=6
)
_FOLDER = flags.DEFINE_string(
    "folder", "", "New folder for settings and logs, by default a temporary one."
)
_CALM = flags.DEFINE_bool("calm", False, "Stop no host, to check the run itself.")


def _main(arguments: list[str]) -> int:
    with run_folder(_FOLDER.value, prefix="chicoryhold-stops-") as folder:
        plan = Plan(
            seed=_SEED.value,
            seconds=_SECONDS.value,
            hosts=_HOSTS.value,
            folder=folder,
            calm=_CALM.value,
        )
        outcome = StopRun(plan).run()
    print(outcome.to_json())
    return FAILURE_EXIT_CODE if outcome.faults else 0


if __name__ == "__main__":
    run_program(_main, usage=USAGE)

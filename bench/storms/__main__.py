"""A soak run with storms of changes beside overload, pauses, restarts, slow links.

Real processes on loopback; what happens is drawn from a seed. The result, as JSON on
standard output, names each answer that shows a configuration which a newer one had
replaced for longer than the users' bound.
"""

from __future__ import annotations

from absl import flags

from bench.run_folder import run_folder
from bench.storms.run import Plan, StormRun
from chicoryhold.programs.running import FAILURE_EXIT_CODE, run_program

USAGE = """Changes the configuration in storms and reports hosts that are out of date.

usage: %s [--seed=N] [--seconds=S] [--hosts=H] [--folder=FOLDER]
"""
_SEED = flags.DEFINE_integer("seed", 1, "The seed of all that is drawn.")
_SECONDS = flags.DEFINE_float("seconds", 15.0, "Time in which events begin.")
_HOSTS = flags.DEFINE_integer(
    "hosts", 3, "Number of entry hosts.", lower_bound=1, upper_bound=9
)
_FOLDER = flags.DEFINE_string(
    "folder", "", "New folder for settings and logs, by default a temporary one."
)


def _main(arguments: list[str]) -> int:
    with run_folder(_FOLDER.value, prefix="chicoryhold-storms-") as folder:
        plan = Plan(
            seed=_SEED.value,
            seconds=_SECONDS.value,
            hosts=_HOSTS.value,
            folder=folder,
        )
        outcome = StormRun(plan).run()
    print(outcome.to_json())
    return 0 if outcome.is_good else FAILURE_EXIT_CODE


if __name__ == "__main__":
    run_program(_main, usage=USAGE)

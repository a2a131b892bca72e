"""Start-up code shared by the command-line programs: flag parsing, error exits."""

from __future__ import annotations

import sys
from collections.abc import Callable

from absl import flags

from chicoryhold.errors import ChicoryholdError

USAGE_EXIT_CODE = 2
FAILURE_EXIT_CODE = 1


_HELP = flags.DEFINE_bool("help", False, "Show this page.", short_name="h")


def run_program(main: Callable[[list[str]], int | None], *, usage: str) -> None:
    """Parse flags, run ``main`` and exit, printing expected errors as one line each."""
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        _exit_with_error(f"{error}; see --help", USAGE_EXIT_CODE)
    if _HELP.value:
        print(usage.replace("%s", sys.argv[0].rpartition("/")[2]))
        print("\n".join(map(flags.FLAGS.module_help, _modules_with_flags())))
        sys.exit(0)
    try:
        sys.exit(main(arguments[1:]))
    except ChicoryholdError as error:
        _exit_with_error(str(error), FAILURE_EXIT_CODE)
    except KeyboardInterrupt:
        _exit_with_error("interrupted", FAILURE_EXIT_CODE)


def _modules_with_flags() -> list[str]:
    modules = flags.FLAGS.flags_by_module_dict()
    return sorted(name for name in modules if name.startswith("chicoryhold."))


def _exit_with_error(message: str, code: int) -> None:
    print(f"{sys.argv[0].rpartition('/')[2]}: {message}", file=sys.stderr)
    sys.exit(code)

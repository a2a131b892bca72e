"""What every program of the command line shares: flags and errors."""

from __future__ import annotations

import sys
from collections.abc import Callable

from absl import flags

from chicoryhold.errors import ChicoryholdError

USAGE_EXIT_CODE = 2
FAILURE_EXIT_CODE = 1


_HELP = flags.DEFINE_bool("help", False, "Show this page.", short_name="h")


def run_program(main: Callable[[list[str]], int | None], *, usage: str) -> None:
    """Parse flags, run ``main`` and exit; expected errors become one line each."""
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        _fail(f"{error}; see --help", USAGE_EXIT_CODE)
    if _HELP.value:
        print(usage.replace("%s", sys.argv[0].rpartition("/")[2]))
        print("\n".join(map(flags.FLAGS.module_help, _defining_modules())))
        sys.exit(0)
    try:
        sys.exit(main(arguments[1:]))
    except ChicoryholdError as error:
        _fail(str(error), FAILURE_EXIT_CODE)
    except KeyboardInterrupt:
        _fail("interrupted", FAILURE_EXIT_CODE)


def _defining_modules() -> list[str]:
    names = flags.FLAGS.flags_by_module_dict()
    return sorted(name for name in names if name.startswith("chicoryhold."))


def _fail(message: str, code: int) -> None:
    print(f"{sys.argv[0].rpartition('/')[2]}: {message}", file=sys.stderr)
    sys.exit(code)

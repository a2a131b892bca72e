"""``chicoryhold``: the operators' command line."""

from __future__ import annotations

import json
from pathlib import Path

from absl import flags

from chicoryhold.errors import OperatorRequestFailed, SettingsError
from chicoryhold.operators.client import AdministrationClient
from chicoryhold.operators.commands import (
    COMMANDS,
    OperatorCommands,
    Options,
    find_command,
)
from chicoryhold.operators.output import print_fields
from chicoryhold.programs.running import run_program
from chicoryhold.settings import ClientSettings, load_settings

_SETTINGS = flags.DEFINE_string("settings", "chicoryhold.toml", "The settings file.")
_JSON = flags.DEFINE_bool("json", False, "Print JSON instead of tables.")
_REQUEST_ID = flags.DEFINE_string("request_id", None, "Resend under this request id.")
_BASED_ON = flags.DEFINE_integer("based_on", None, "The revision an edit started from.")
_FOLDER = flags.DEFINE_string("folder", "keys", "Where to create CURVE keys.")
_SHARE = flags.DEFINE_float("share", 0.1, "Share of requests that a shift moves.")
_CAP = flags.DEFINE_float("cap", 10.0, "Requests per second that a shift may move.")
_TIMEOUT = flags.DEFINE_float("timeout", 8.0, "Seconds that wait may take.")
_AROUND = flags.DEFINE_float("around", 0.0, "Seconds of context that explain adds.")


def run() -> None:
    """Entry point of the console script."""
    run_program(_main, usage=_usage())


def _usage() -> str:
    width = max(len(command.synopsis) for command in COMMANDS)
    lines = [f"  {c.synopsis:<{width}}  {c.help}" for c in COMMANDS]
    intro = "Administers chicoryhold.\n\nusage: %s COMMAND [FLAGS]\n\ncommands:\n"
    return intro + "\n".join(lines) + "\n"


def _main(arguments: list[str]) -> None:
    command = find_command(arguments)
    if command is None:
        entered = " ".join(arguments) or "no command"
        raise OperatorRequestFailed(f"{entered!r} is not a command: see --help")
    client = _create_client() if command.needs_api else None
    commands = OperatorCommands(client=client, options=_options())
    fields = command.run(commands, *arguments[len(command.words) :])
    if _JSON.value:
        print(json.dumps(fields))
    else:
        print_fields(fields)


def _create_client() -> AdministrationClient:
    path = Path(_SETTINGS.value)
    if not path.exists():
        raise SettingsError(f"{path} doesn't exist: name a settings file by --settings")
    return AdministrationClient(settings=load_settings(path, ClientSettings))


def _options() -> Options:
    return Options(
        request_id=_REQUEST_ID.value,
        based_on=_BASED_ON.value,
        folder=Path(_FOLDER.value),
        share=_SHARE.value,
        cap=_CAP.value,
        timeout=_TIMEOUT.value,
        around=_AROUND.value,
    )

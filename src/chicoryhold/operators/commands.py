"""The commands of the operators' command line."""

from __future__ import annotations

import hashlib
import json
import secrets
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from urllib.parse import quote

import attrs
from result import Err, Ok

from chicoryhold.errors import OperatorRequestFailed, SettingsError
from chicoryhold.hosts.curve import create_key_files
from chicoryhold.keys import create_key, key_digest
from chicoryhold.operators.client import AdministrationClient, ApiCall
from chicoryhold.operators.explain import explain
from chicoryhold.operators.not_in_force import NotInForce

POLL_INTERVAL_SECONDS = 0.1

Fields = Mapping[str, object]


@attrs.frozen(kw_only=True)
class Options:
    """Values of the command line's flags."""

    request_id: str | None
    based_on: int | None
    folder: Path
    share: float
    cap: float
    timeout: float
    around: float = 0.0


@attrs.frozen(kw_only=True)
class Command:
    """One command. ``needs_api`` is false for commands that only use local files."""

    words: tuple[str, ...]
    arguments: tuple[str, ...]
    help: str
    run: Callable[..., Fields]
    needs_api: bool = True

    @property
    def synopsis(self) -> str:
        return " ".join((*self.words, *self.arguments))

    def accepts_count(self, count: int) -> bool:
        """Return whether the command accepts ``count`` arguments."""
        required = len(self.arguments)
        repeatable = bool(self.arguments) and self.arguments[-1].endswith("...")
        return count >= required if repeatable else count == required


class OperatorCommands:
    """Implements the commands, most of them by requests to the administration API."""

    def __init__(self, *, client: AdministrationClient | None, options: Options):
        self._client = client
        self._options = options

    def create_curve_keys(self, name: str) -> Fields:
        path = create_key_files(self._options.folder, name)
        return {"secret": str(path), "public": str(path.with_suffix(".key"))}

    def create_operator(self, name: str) -> Fields:
        token = secrets.token_urlsafe(32)
        digest = hashlib.sha256(token.encode()).hexdigest()
        return {"name": name, "token": token, "token_sha256": digest}

    def explain(self, request_id: str, *files: str) -> Fields:
        """Return the log lines in ``files`` about one request."""
        explanation = explain(request_id, files, around=self._options.around)
        return explanation.as_fields()

    def list_organisations(self) -> Fields:
        return self._get("/v1/organisations")

    def create_organisation(self, name: str) -> Fields:
        return self._change("PUT", f"/v1/organisations/{quote(name)}")

    def give_key(self, organisation: str) -> Fields:
        key = create_key()
        body = json.dumps({"digest": key_digest(key.text)}).encode()
        path = f"/v1/organisations/{quote(organisation)}/keys/{key.key_id}"
        fields = self._change("PUT", path, body=body, as_json=True)
        return {"key_id": key.key_id, "key": key.text, **fields}

    def list_keys(self) -> Fields:
        return self._get("/v1/keys")

    def withdraw_key(self, key_id: str) -> Fields:
        return self._change("DELETE", f"/v1/keys/{quote(key_id)}")

    def get_table(self) -> Fields:
        return self._get("/v1/table")

    def check_table(self, file: str) -> Fields:
        return self._send_table("POST", "/v1/table/check", file)

    def diff_table(self, file: str) -> Fields:
        return self._send_table("POST", "/v1/table/diff", file)

    def put_table(self, file: str) -> Fields:
        if self._options.based_on is None:
            raise OperatorRequestFailed(
                "--based_on is missing: name the revision that table get showed"
            )
        return self._send_table("PUT", "/v1/table", file)

    def list_shifts(self) -> Fields:
        return self._get("/v1/shifts")

    def start_shift(
        self, name: str, service: str, source: str, destination: str
    ) -> Fields:
        fields = {
            "service": service,
            "source": source,
            "destination": destination,
            "share": self._options.share,
            "cap": self._options.cap,
        }
        body = json.dumps(fields).encode()
        path = f"/v1/shifts/{quote(name)}"
        return self._change("PUT", path, body=body, as_json=True)

    def end_shift(self, name: str) -> Fields:
        return self._change("DELETE", f"/v1/shifts/{quote(name)}")

    def list_stops(self) -> Fields:
        return self._get("/v1/stops")

    def plan_stop(self, host: str) -> Fields:
        return self._change("PUT", f"/v1/stops/{quote(host)}")

    def end_stop(self, host: str) -> Fields:
        return self._change("DELETE", f"/v1/stops/{quote(host)}")

    def show_in_force(self) -> Fields:
        return self._get("/v1/in-force")

    def list_hosts(self) -> Fields:
        return self._get("/v1/hosts")

    def list_targets(self) -> Fields:
        return self._get("/v1/targets")

    def list_evacuations(self) -> Fields:
        return self._get("/v1/evacuations")

    def start_evacuation(self, domain: str) -> Fields:
        return self._change("PUT", f"/v1/evacuations/{quote(domain)}")

    def end_evacuation(self, domain: str) -> Fields:
        return self._change("DELETE", f"/v1/evacuations/{quote(domain)}")

    def get_configuration(self) -> Fields:
        return self._get("/v1/configuration")

    def show_replicas(self) -> Fields:
        return self._get("/v1/replicas")

    def wait(self, revision: str) -> Fields:
        """Wait until ``revision`` is in force in every domain."""
        wanted_revision = int(revision)
        deadline = time.monotonic() + self._options.timeout
        while True:
            fields = self._get("/v1/in-force")
            # A leader that was just elected hasn't heard of all hosts yet.
            missing = NotInForce.of(fields, revision=wanted_revision)
            if missing.is_met:
                return fields
            if time.monotonic() > deadline:
                remedy = "check its hosts" if missing.is_complete else "wait again"
                raise OperatorRequestFailed(f"{missing}: {remedy}")
            time.sleep(POLL_INTERVAL_SECONDS)

    def _send_table(self, method: str, path: str, file: str) -> Fields:
        try:
            body = Path(file).read_bytes()
        except OSError as error:
            raise SettingsError(f"{file}: {error.strerror}: name a CSV file") from error
        if method == "PUT":
            return self._change(method, path, body=body)
        return self._send(ApiCall(method=method, path=path, body=body))

    def _get(self, path: str) -> Fields:
        return self._send(ApiCall(method="GET", path=path))

    def _change(
        self, method: str, path: str, *, body: bytes | None = None,
        as_json: bool = False,
    ) -> Fields:  # fmt: skip
        return self._send(
            ApiCall(
                method=method,
                path=path,
                body=body,
                json=as_json,
                based_on=self._options.based_on,
            )
        )

    def _send(self, call: ApiCall) -> Fields:
        match self._client.run(call, request_id=self._options.request_id):
            case Ok(fields):
                return fields
            case Err(reason):
                raise OperatorRequestFailed(reason)


def _command(
    words: str, arguments: str, run: Callable[..., Fields], help: str,
    *, needs_api: bool = True,
) -> Command:  # fmt: skip
    return Command(
        words=tuple(words.split()),
        arguments=tuple(arguments.split()),
        help=help,
        run=run,
        needs_api=needs_api,
    )


_C = OperatorCommands

COMMANDS: Sequence[Command] = (
    _command("curve create", "NAME", _C.create_curve_keys,
             "create a process's CURVE keys in --folder", needs_api=False),
    _command("operator create", "NAME", _C.create_operator,
             "create an operator's token and its digest", needs_api=False),
    _command("explain", "REQUEST_ID FILE...", _C.explain,
             "show a request's log lines; --around adds other lines of that time",
             needs_api=False),
    _command("organisation list", "", _C.list_organisations, "list organisations"),
    _command("organisation create", "NAME", _C.create_organisation,
             "create an organisation"),
    _command("key give", "ORGANISATION", _C.give_key,
             "create a key; it is shown only once"),
    _command("key list", "", _C.list_keys, "list keys by id"),
    _command("key withdraw", "KEY_ID", _C.withdraw_key, "withdraw a key permanently"),
    _command("table get", "", _C.get_table, "show the table and its revision"),
    _command("table check", "FILE", _C.check_table, "list the faults of a table"),
    _command("table diff", "FILE", _C.diff_table, "compare with the current table"),
    _command("table put", "FILE", _C.put_table, "replace the table; needs --based_on"),
    _command("shift list", "", _C.list_shifts, "list shifts"),
    _command("shift start", "NAME SERVICE SOURCE DESTINATION", _C.start_shift,
             "move --share of a service's requests, at most --cap requests/s"),
    _command("shift end", "NAME", _C.end_shift, "end a shift"),
    _command("stop list", "", _C.list_stops, "list planned stops"),
    _command("stop plan", "HOST", _C.plan_stop, "drain an entry host before a stop"),
    _command("stop end", "HOST", _C.end_stop, "end a planned stop"),
    _command("host list", "", _C.list_hosts, "show hosts and what is in force there"),
    _command("target list", "", _C.list_targets, "show targets and their states"),
    _command("evacuation list", "", _C.list_evacuations, "list evacuated domains"),
    _command("evacuation start", "DOMAIN", _C.start_evacuation,
             "send no more requests to a domain's targets"),
    _command("evacuation end", "DOMAIN", _C.end_evacuation, "end an evacuation"),
    _command("configuration get", "", _C.get_configuration,
             "show routes, services and organisations, without keys"),
    _command("in-force", "", _C.show_in_force, "show the revision in each domain"),
    _command("wait", "REVISION", _C.wait,
             "wait until a revision is in force everywhere"),
    _command("replicas", "", _C.show_replicas, "show the leader and the members"),
)  # fmt: skip


def find_command(arguments: Sequence[str]) -> Command | None:
    """Return the command that matches the given words and argument count.

    A last argument whose name ends in ``...`` may be given several times.
    """
    for command in COMMANDS:
        words = tuple(arguments[: len(command.words)])
        count = len(arguments) - len(command.words)
        if words == command.words and command.accepts_count(count):
            return command
    return None
